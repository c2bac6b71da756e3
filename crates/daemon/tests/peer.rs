//! Messages between instances, also with instances that fail or misbehave.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test")]

use std::{
    future::Future,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::Arc,
    thread,
    time::Duration,
};

use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::{Timer, block_on};
use async_net::{TcpListener, TcpStream};
use bolero::generator::produce;
use control::Event;
use daemon::{
    Clock, ControlSender, Input,
    peer::{self, Peers, Stats},
};
use fakes::free_port;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _, future};
use model::{
    msg::{
        CellMsg, CellState, ConfigDoc, Handover, Heartbeat, OnceMsg, OnceVerdict, ShareState,
        TokenMsg,
    },
    prelude::*,
};

/// How long tests wait for something that must happen.
const LIMIT: Duration = Duration::from_secs(10);
/// Longer than the maximum age of a message and than the timeout of a call, shorter than both
/// together.
const OUTDATED_AFTER: Duration = Duration::from_millis(700);
/// Bytes of the largest configuration document.
const DOC_BYTES: usize = 1_000_000;

type Executor = Rc<LocalExecutor<'static>>;

/// Runs a test whose instances share one thread.
fn run<F: Future<Output = ()>>(test: impl FnOnce(Executor) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let test = test(Rc::clone(&executor));
    block_on(executor.run(within(LIMIT, test)));
}

async fn within<T>(limit: Duration, fut: impl Future<Output = T>) -> T {
    let late = async {
        Timer::after(limit).await;
        panic!("the future did not complete within {limit:?}")
    };
    fut.or(late).await
}

/// An instance that receives messages.
struct Node {
    id: InstanceId,
    address: SocketAddr,
    inputs: Receiver<Input>,
    /// Keeps the channel open when the node's connections are closed.
    _link: ControlSender,
    _task: Task<()>,
}

impl Node {
    async fn start(executor: &Executor, name: &str) -> Self {
        Self::start_at(executor, name, SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await
    }

    async fn start_at(executor: &Executor, name: &str, address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (link, inputs) = ControlSender::new();
        let id = InstanceId::of(name);
        let serve = peer::serve(id, listener, link.clone(), Clock::start());
        let task = executor.spawn(async { match serve.await {} });
        Self { id, address, inputs, _link: link, _task: task }
    }

    /// Returns the next message and its sender.
    async fn next(&self) -> (Peer, Msg) {
        match within(LIMIT, self.inputs.recv()).await.unwrap() {
            Input::Event(Event::Message { from, msg }) => (from, msg),
            other => panic!("unexpected input: {other:?}"),
        }
    }

    /// Waits until all connections to this node have released their resources.
    async fn wait_until_released(&self) {
        // One sender is kept in this struct, and the listening task holds another one.
        while self.inputs.sender_count() > 2 {
            Timer::after(Duration::from_millis(5)).await;
        }
    }
}

fn sender_id() -> Peer {
    Peer { instance: InstanceId::of("sender"), incarnation: Incarnation(7) }
}

/// An instance that sends messages.
struct Outgoing {
    peers: Peers,
    clock: Clock,
}

impl Outgoing {
    fn new(executor: &Executor) -> Self {
        let clock = Clock::start();
        Self { peers: Peers::new(sender_id(), clock, Rc::clone(executor)), clock }
    }

    /// Sends messages in one envelope.
    fn send_all(&mut self, to: InstanceId, address: SocketAddr, msgs: &[Msg]) {
        for msg in msgs {
            self.peers.send(self.clock.now(), to, address, msg.clone());
        }
        self.peers.flush();
    }

    fn send_to(&mut self, to: InstanceId, address: SocketAddr, msg: Msg) {
        self.send_all(to, address, &[msg]);
    }

    fn send(&mut self, node: &Node, msg: Msg) {
        self.send_to(node.id, node.address, msg);
    }

    /// Waits until every message was delivered or dropped.
    async fn drain(&self) {
        self.peers.drain(self.clock.now() + LIMIT).await;
    }

    fn stats(&self) -> Stats {
        self.peers.stats()
    }
}

/// A small message that is identified by its number.
fn numbered_msg(no: u64) -> Msg {
    let (ask, key) = (AskId(no), IdempotencyId(1));
    Msg::Once(OnceMsg::Answer { ask, key, verdict: OnceVerdict::New })
}

fn large_doc() -> Msg {
    let text = Arc::from("x".repeat(DOC_BYTES));
    Msg::ConfigDoc(ConfigDoc { version: Version(5), text })
}

fn one_of_each() -> Vec<Msg> {
    let share = ShareId { account: AccountId::of("a"), zone: ZoneId::of("z") };
    let cell = CellId { pool: PoolId::of("m"), zone: ZoneId::of("z") };
    let heartbeat = Heartbeat {
        nonce: Nonce(1),
        ack: false,
        leaving: false,
        config: Version(1),
        list: Version(2),
        cells: Vec::new(),
    };
    let share_state = ShareState { share, level_milli: 1, leases: Vec::new() };
    let cell_state = CellState { cell, servers: Vec::new(), grants: Vec::new() };
    vec![
        Msg::Heartbeat(heartbeat),
        Msg::ConfigPull,
        large_doc(),
        Msg::ListDoc(ConfigDoc { version: Version(6), text: Arc::from("{}") }),
        Msg::Token(TokenMsg::Ask { ask: AskId(3), share, wait: OUTDATED_AFTER }),
        Msg::Cell(CellMsg::Reclaim { cell }),
        numbered_msg(4),
        Msg::Handover(Handover::Share(share_state)),
        Msg::Handover(Handover::Cell(cell_state)),
    ]
}

/// Accepts connections, discards what they receive without a reply, and reports when each closes.
async fn accept_silently(listener: TcpListener, closed: async_channel::Sender<()>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        // Waits until the sender closes the connection; what it wrote is ignored.
        let _ = stream.read_to_end(&mut Vec::new()).await;
        closed.send(()).await.unwrap();
    }
}

/// A message that is lost, repeated or reordered between two running instances would make their
/// states differ.
#[test]
fn messages_of_all_kinds_arrive_once_and_in_order() {
    run(|executor| async move {
        let node = Node::start(&executor, "receiver").await;
        let mut outgoing = Outgoing::new(&executor);
        let msgs = one_of_each();

        outgoing.send_all(node.id, node.address, &msgs);

        for msg in &msgs {
            let got = node.next().await;
            assert!(got == (sender_id(), msg.clone()), "wrong message instead of {msg:.60?}");
        }
        outgoing.drain().await;
        assert!(node.inputs.is_empty());
        assert_eq!(outgoing.stats().delivered, msgs.len() as u64);
    });
}

/// After a restart another instance may listen at an address that is still in use by senders. It
/// must not act on messages for its predecessor, while messages for any instance are accepted.
#[test]
fn messages_for_another_instance_are_refused() {
    run(|executor| async move {
        let node = Node::start(&executor, "receiver").await;
        let mut outgoing = Outgoing::new(&executor);

        outgoing.send_to(InstanceId::of("former"), node.address, numbered_msg(1));
        outgoing.send_to(InstanceId(0), node.address, numbered_msg(2));

        assert_eq!(node.next().await.1, numbered_msg(2));
        outgoing.drain().await;
        assert!(node.inputs.is_empty());
        let stats = outgoing.stats();
        assert_eq!((stats.refused, stats.delivered, stats.failures), (1, 1, 0));
    });
}

/// An instance that accepts connections but never replies must not delay messages to others, nor
/// let its queue grow without bound.
#[test]
fn an_instance_that_never_replies_delays_no_other_and_its_queue_is_bounded() {
    run(|executor| async move {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let silent = listener.local_addr().unwrap();
        let (tx, closed) = async_channel::unbounded();
        let _accepting = executor.spawn(accept_silently(listener, tx));
        let node = Node::start(&executor, "receiver").await;
        let mut outgoing = Outgoing::new(&executor);

        let count = 1_000;
        for no in 0..count {
            outgoing.send_to(InstanceId::of("silent"), silent, numbered_msg(no));
        }
        outgoing.send(&node, numbered_msg(count));

        assert_eq!(node.next().await.1, numbered_msg(count));
        closed.recv().await.unwrap();
        outgoing.drain().await;
        let stats = outgoing.stats();
        assert_eq!(stats.delivered, 1);
        assert_eq!(stats.unanswered + stats.dropped, count);
        assert!(stats.dropped > 0, "the queue is not bounded");

        // The sender connects again.
        outgoing.send_to(InstanceId::of("silent"), silent, numbered_msg(0));
        closed.recv().await.unwrap();
    });
}

/// A message that waited while its receiver was down is outdated: delivered after the restart, it
/// would be acted on as current.
#[test]
fn after_a_restart_new_messages_arrive_and_outdated_ones_do_not() {
    run(|executor| async move {
        // A port that no outgoing connection uses while nothing listens there.
        let address = free_port();
        let node = Node::start_at(&executor, "receiver", address).await;
        let mut outgoing = Outgoing::new(&executor);
        outgoing.send(&node, numbered_msg(1));
        assert_eq!(node.next().await.1, numbered_msg(1));
        outgoing.drain().await;

        drop(node);
        outgoing.send_to(InstanceId::of("receiver"), address, numbered_msg(2));
        Timer::after(OUTDATED_AFTER).await;
        let node = Node::start_at(&executor, "receiver", address).await;
        // A message that is sent before the sender notices a broken connection is lost.
        let mut received = None;
        for no in 3.. {
            outgoing.send(&node, numbered_msg(no));
            let pause = async {
                Timer::after(Duration::from_millis(50)).await;
                None
            };
            received = async { Some(node.next().await.1) }.or(pause).await;
            if received.is_some() {
                break;
            }
        }

        assert_ne!(received, Some(numbered_msg(2)));
    });
}

/// A process that is paused (by SIGSTOP, or by its host) between queueing and writing a message
/// would write it after the pause, before any timer fires.
#[test]
fn a_process_resumed_after_a_pause_sends_no_outdated_message() {
    run(|executor| async move {
        let node = Node::start(&executor, "receiver").await;
        let mut outgoing = Outgoing::new(&executor);
        outgoing.send(&node, numbered_msg(1));
        assert_eq!(node.next().await.1, numbered_msg(1));
        outgoing.drain().await;

        outgoing.send(&node, numbered_msg(2));
        // Blocks the only thread, so that nothing runs meanwhile, as in a process that is paused.
        thread::sleep(OUTDATED_AFTER);
        outgoing.send(&node, numbered_msg(3));

        assert_eq!(node.next().await.1, numbered_msg(3));
        assert_eq!(outgoing.stats().dropped, 1);
    });
}

/// A process that sends malformed bytes must neither disturb other connections nor leave tasks or
/// memory behind.
#[test]
fn arbitrary_bytes_close_only_their_own_connection_and_leak_nothing() {
    run(|executor| async move {
        let node = Rc::new(Node::start(&executor, "receiver").await);
        let mut outgoing = Outgoing::new(&executor);
        outgoing.send(&node, numbered_msg(1));
        node.next().await;
        let held = node.inputs.sender_count();

        let address = node.address;
        let sending = thread::spawn(move || {
            seeded::check(produce::<Vec<u8>>(), 300, |bytes| {
                block_on(send_bytes(address, bytes));
            });
        });
        while !sending.is_finished() {
            future::yield_now().await;
            Timer::after(Duration::from_millis(5)).await;
        }
        sending.join().unwrap();

        while node.inputs.sender_count() > held {
            Timer::after(Duration::from_millis(5)).await;
        }
        outgoing.send(&node, numbered_msg(2));
        assert_eq!(node.next().await.1, numbered_msg(2));
        outgoing.drain().await;
        assert_eq!(outgoing.stats().failures, 0);
        drop(outgoing);
        node.wait_until_released().await;
    });
}

/// Sends bytes and waits until the receiver closes the connection.
async fn send_bytes(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The receiver may close the connection before all bytes are written.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let _ = within(LIMIT, stream.read_to_end(&mut Vec::new())).await;
}
