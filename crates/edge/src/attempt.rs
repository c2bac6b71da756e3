//! Attempts at backend servers.

use std::{future::Future, io, pin::pin, task::Poll};

use aio::deadline;
use async_net::TcpStream;
use dispatch::{Attempt, AttemptEnd, Event, RequestKey};
use futures_lite::{AsyncWriteExt as _, future};
use http1::{Buffered, ConnectionError, Framing, ResponseHead, read_whole};
use model::prelude::*;
use rustix::net::sockopt::set_tcp_user_timeout;

use crate::{
    AttemptFields, Instance,
    answer::Answer,
    outgoing::Outgoing,
    pool::Connection,
    relay::{self, Relayed},
};

/// Time for a connection to be established: some round trips between zones, but less than the
/// time after which a lost opening packet is sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which sent bytes that are not acknowledged end a connection.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 3_000;
/// Bytes of a backend server's head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Bytes of a body that is read only to use the connection again.
const MAX_SKIPPED_BYTES: usize = 64 << 10;
/// Answers to other requests that are skipped before the own one.
const MAX_FOREIGN_ANSWERS: usize = 2;
/// Bodies up to this size go in one write with the head.
const MAX_JOINED_BODY: usize = 4 << 10;

/// An attempt that is under way.
pub(crate) struct Run<'a> {
    pub(crate) instance: &'a Instance,
    pub(crate) key: RequestKey,
    /// The request's id.
    pub(crate) id: &'a str,
    /// The account's name.
    pub(crate) account: Option<&'a str>,
    pub(crate) attempt: &'a Attempt,
    pub(crate) outgoing: &'a Outgoing,
    pub(crate) answer: &'a mut Answer,
    /// Where an answer goes that is held back.
    pub(crate) held: &'a mut Option<Held>,
}

/// An answer that says that its server failed, kept for the case that no other server does better.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) head: ResponseHead,
    pub(crate) body: Vec<u8>,
}

/// Why an attempt gave no whole answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Fault {
    Unused,
    NotConnected,
    Rejected { is_misdirected: bool },
    Held,
    Broken,
    TimedOut,
    CallerLeft,
}

impl<E: ConnectionError> From<E> for Fault {
    fn from(_: E) -> Self {
        Self::Broken
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended {
    pub(crate) end: AttemptEnd,
    /// For how long the server says that it is cold.
    pub(crate) cold: Option<Duration>,
}

/// What is known of an attempt however it ends.
#[derive(Debug, Default)]
struct Progress {
    is_sent: bool,
    cold: Option<Duration>,
}

impl Run<'_> {
    /// Makes the attempt.
    pub(crate) async fn run(mut self) -> Ended {
        let mut progress = Progress::default();
        let clock = self.instance.clock;
        let end_by = self.attempt.end_by;
        let done = deadline::until(clock, end_by, self.exchange(&mut progress)).await;
        let is_partial = self.answer.is_begun();
        let end = match done.unwrap_or(Err(Fault::TimedOut)) {
            Ok(relayed) => AttemptEnd::Completed { is_success: relayed.is_success },
            Err(Fault::CallerLeft) => AttemptEnd::CallerLeft,
            Err(Fault::Unused) => AttemptEnd::Unused,
            Err(Fault::NotConnected) => AttemptEnd::NotConnected,
            Err(_) if !progress.is_sent => AttemptEnd::NotConnected,
            Err(Fault::Rejected { is_misdirected }) => AttemptEnd::Rejected { is_misdirected },
            Err(Fault::Held) => AttemptEnd::HeldBack,
            Err(Fault::Broken) => AttemptEnd::Broken { is_partial },
            Err(Fault::TimedOut) => AttemptEnd::TimedOut { is_partial },
        };
        Ended { end, cold: progress.cold }
    }

    async fn exchange(&mut self, progress: &mut Progress) -> Result<Relayed, Fault> {
        let clock = self.instance.clock;
        let first_byte_by = self.attempt.first_byte_by.unwrap_or(self.attempt.end_by);
        let opening = self.open(progress);
        let opened = deadline::until(clock, first_byte_by, opening).await;
        let opened = opened.ok_or(Fault::TimedOut)??;
        relay::run(self, opened).await
    }

    /// Sends the request and reads the answer up to the first bytes of its body.
    async fn open(&mut self, progress: &mut Progress) -> Result<relay::Opened, Fault> {
        let mut connection = self.connect().await?;
        let now = self.instance.clock.now();
        if now >= self.attempt.start_by {
            return Err(Fault::Unused);
        }
        let fields = AttemptFields {
            server: &self.attempt.name,
            time_left: now.until(self.attempt.end_by),
            account: self.account,
            rank: self.attempt.rank,
            last_event_id: self.answer.last_event.as_deref(),
            kv_backup: self.attempt.backup,
            fetch_source: self.attempt.fetch_source,
            kv_copy: self.attempt.resumes_from_backup.then_some((self.attempt.address, self.id)),
        };
        let head = self.outgoing.head(&*self.instance.dialect, &fields);
        progress.is_sent = true;
        self.instance.handle_event(Event::Sent { key: self.key });
        let stream = connection.stream.clone();
        let writing = write(stream, head, &self.outgoing.body);
        let reading = self.read_head(&mut connection.input, progress);
        let (read, is_written) = first_of(writing, reading).await;
        let (head, is_clean) = read?;
        let is_reusable = is_written && is_clean && !head.closes();
        self.judge(&head, &mut connection, is_reusable).await?;
        let opened = relay::Opened::read(connection, head, is_reusable).await?;
        self.instance.handle_event(Event::FirstByte { key: self.key });
        Ok(opened)
    }

    /// Takes an open connection, or opens one.
    async fn connect(&self) -> Result<Connection, Fault> {
        let clock = self.instance.clock;
        let address = self.attempt.address;
        if let Some(connection) = self.instance.pool.take(clock.now(), address).await {
            self.instance.metrics.connections_reused.inc();
            return Ok(connection);
        }
        self.instance.metrics.connections_opened.inc();
        let connecting = TcpStream::connect(address);
        let by = (clock.now() + CONNECT_TIMEOUT).min(self.attempt.end_by);
        let connected = deadline::until(clock, by, connecting).await;
        let Some(Ok(stream)) = connected else { return Err(Fault::NotConnected) };
        tune(&stream);
        Ok(Connection { input: Buffered::new(stream.clone()), stream })
    }

    /// Reads the head of the own answer. Answers to other requests may come before it.
    async fn read_head(
        &self,
        input: &mut Buffered<TcpStream>,
        progress: &mut Progress,
    ) -> Result<(ResponseHead, bool), Fault> {
        let method = self.outgoing.head.method();
        let mut is_clean = true;
        for _ in 0..=MAX_FOREIGN_ANSWERS {
            let head = ResponseHead::read(input, method, MAX_HEAD_BYTES).await?;
            self.instance.handle_event(Event::BytesReceived { server: self.attempt.server });
            let fields = self.instance.dialect.read_backend(&head);
            if fields.id == Some(self.id) {
                progress.cold = fields.cold;
                return Ok((head, is_clean));
            }
            if fields.id.is_none() || head.framing() == Framing::UntilClose {
                return Err(Fault::Broken);
            }
            log::info!(
                request:% = self.id, server:% = self.attempt.name;
                "answer to another request skipped"
            );
            is_clean = false;
            read_whole(input, head.framing(), MAX_SKIPPED_BYTES).await?;
        }
        Err(Fault::Broken)
    }

    /// Decides whether the answer is the server's and goes to the caller.
    async fn judge(
        &mut self,
        head: &ResponseHead,
        connection: &mut Connection,
        is_reusable: bool,
    ) -> Result<(), Fault> {
        let fields = self.instance.dialect.read_backend(head);
        let is_misdirected = head.status() == 421;
        if fields.did_not_run || is_misdirected {
            if is_reusable && !is_misdirected {
                self.recycle(head, connection).await;
            }
            return Err(Fault::Rejected { is_misdirected });
        }
        let promises_not_run = matches!(head.status(), 408 | 429 | 503);
        let is_forged = head.is_success() && !fields.is_signed;
        if promises_not_run || is_forged || head.fields().has("content-encoding") {
            return Err(Fault::Broken);
        }
        if head.status() >= 500 && self.attempt.holds_server_error {
            let body = read_whole(&mut connection.input, head.framing(), MAX_SKIPPED_BYTES).await?;
            *self.held = Some(Held { head: head.clone(), body });
            return Err(Fault::Held);
        }
        if self.answer.is_begun() && !head.is_success() {
            return Err(Fault::Broken);
        }
        Ok(())
    }

    /// Reads the rest of an answer that is of no interest and keeps the connection.
    async fn recycle(&self, head: &ResponseHead, connection: &mut Connection) {
        let body = read_whole(&mut connection.input, head.framing(), MAX_SKIPPED_BYTES).await;
        if body.is_ok() && connection.input.data().is_empty() {
            let kept = Connection {
                stream: connection.stream.clone(),
                input: Buffered::new(connection.stream.clone()),
            };
            self.keep(head, kept);
        }
    }

    /// Keeps a connection for the next attempt.
    pub(crate) fn keep(&self, head: &ResponseHead, connection: Connection) {
        let keep_alive = self.instance.dialect.read_backend(head).keep_alive;
        let now = self.instance.clock.now();
        self.instance.pool.keep(now, self.attempt.address, connection, keep_alive);
    }
}

/// Sets what a connection of this process needs: packets at once, and an end when nothing is
/// acknowledged any more.
pub(crate) fn tune(stream: &TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("cannot switch off Nagle's algorithm: {err}");
    }
    if let Err(err) = set_tcp_user_timeout(stream, UNACKNOWLEDGED_TIMEOUT_MS) {
        log::debug!("cannot set the timeout for unacknowledged bytes: {err}");
    }
}

async fn write(mut stream: TcpStream, mut head: Vec<u8>, body: &[u8]) -> io::Result<()> {
    if body.len() <= MAX_JOINED_BODY {
        head.extend_from_slice(body);
        return stream.write_all(&head).await;
    }
    stream.write_all(&head).await?;
    stream.write_all(body).await
}

/// Runs both until `reading` ends; a server may answer before it has read everything. Returns
/// whether `writing` had succeeded.
async fn first_of<T>(
    writing: impl Future<Output = io::Result<()>>,
    reading: impl Future<Output = T>,
) -> (T, bool) {
    let mut writing = pin!(writing);
    let mut reading = pin!(reading);
    let mut written = None;
    future::poll_fn(|cx| {
        if written.is_none()
            && let Poll::Ready(result) = writing.as_mut().poll(cx)
        {
            // After a failed write an answer may still be there to be read.
            written = Some(result.is_ok());
        }
        reading.as_mut().poll(cx).map(|read| (read, written == Some(true)))
    })
    .await
}
