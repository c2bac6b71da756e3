//! Measures the bytes of each kind of message.

use std::error::Error;

use capnp::{message::Builder, serialize};
use model::{
    msg::{
        Acquire, CellLoad, CellMsg, ConfigDoc, Heartbeat, HeldGrant, OnceMsg, OnceVerdict, TokenMsg,
    },
    prelude::*,
};

use crate::{
    DESIGN_SIZE,
    fleet::Fleet,
    harness::{Cost, Harness},
    rpc::{self, CallBytes},
};

const ZONE: ZoneId = ZoneId(1);
const CELL: CellId = CellId { pool: PoolId(1), zone: ZONE };
const SHARE: ShareId = ShareId { account: AccountId(1), zone: ZONE };
/// Requests over which the messages are averaged.
const REQUESTS: u32 = 2_000;
/// Simulated time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Returns the bytes of an envelope that holds one message.
pub(crate) fn envelope_bytes(from: Peer, to: InstanceId, msg: &Msg) -> u64 {
    let mut builder = Builder::new_default();
    wire::write(builder.init_root(), from, to, std::slice::from_ref(msg));
    serialize::compute_serialized_size_in_words(&builder) as u64 * 8
}

/// Prints the bytes of each kind of message, then the messages of a request.
pub(crate) fn print() -> Result<(), Box<dyn Error>> {
    println!("\nbytes of a message in an envelope of its own, and on its connection");
    println!("  {:<34}{:>10}{:>10}{:>10}", "", "envelope", "sender", "receiver");
    let from = Peer { instance: InstanceId(1), incarnation: Incarnation(1) };
    for (name, msg) in all_messages()? {
        let CallBytes { sender, receiver } = rpc::bytes_per_call(&msg)?;
        let envelope = envelope_bytes(from, InstanceId(2), &msg);
        println!("  {name:<34}{envelope:>10}{sender:>10}{receiver:>10}");
    }
    print_request()
}

/// Prints how many messages the instance that serves a request sends and receives for it. Due timers
/// run after each request, so that reports of spent tokens are counted.
fn print_request() -> Result<(), Box<dyn Error>> {
    let mut harness = Harness::start(DESIGN_SIZE)?;
    harness.options.count_bytes = true;
    for i in 0..REQUESTS {
        harness.now = harness.now + REQUEST_INTERVAL;
        harness.serve_request(i as usize % DESIGN_SIZE.accounts);
        harness.run_due_timers();
    }
    let Cost { sent, received, bytes, .. } = harness.cost;
    let each = |count: u64| count as f64 / f64::from(REQUESTS);
    println!("\nmessages of a request at its entry, heartbeats included");
    println!("  {:<34}{:>10.2}", "sent", each(sent));
    println!("  {:<34}{:>10.2}", "received", each(received));
    println!("  {:<34}{:>10.0}", "bytes of the envelopes sent", each(bytes));
    Ok(())
}

/// The label of a row and the message that it measures.
type NamedMessage = (&'static str, Msg);

fn all_messages() -> Result<Vec<NamedMessage>, Box<dyn Error>> {
    let mut all = vec![
        ("heartbeat", heartbeat(0)),
        ("heartbeat with one cell", heartbeat(1)),
        ("heartbeat with ten cells", heartbeat(10)),
        ("configuration pull", Msg::ConfigPull),
    ];
    all.extend(document_messages()?);
    all.extend(token_messages());
    all.extend(cell_messages());
    all.extend(idempotency_messages());
    Ok(all)
}

fn heartbeat(cells: usize) -> Msg {
    Msg::Heartbeat(Heartbeat {
        nonce: Nonce(1),
        ack: false,
        leaving: false,
        config: Version(1),
        list: Version(1),
        cells: vec![CellLoad { cell: CELL, free: 1, waiting: 1 }; cells],
    })
}

fn document_messages() -> Result<[NamedMessage; 2], Box<dyn Error>> {
    let fleet = Fleet::new(DESIGN_SIZE);
    let version = Version(1);
    let config = ConfigDoc { version, text: fleet.config_text()? };
    let list = ConfigDoc { version, text: serde_json::to_string(&fleet.list)?.into() };
    Ok([("configuration document", Msg::ConfigDoc(config)), ("list document", Msg::ListDoc(list))])
}

fn token_messages() -> [NamedMessage; 3] {
    let (ask, share, lease) = (AskId(1), SHARE, LeaseId(1));
    [
        ("token ask", Msg::Token(TokenMsg::Ask { ask, share, wait: SECOND })),
        ("token give", Msg::Token(TokenMsg::Give { ask, share, lease, ttl: SECOND })),
        ("token spent", Msg::Token(TokenMsg::Spent { share, lease })),
    ]
}

fn cell_messages() -> [NamedMessage; 5] {
    let (ticket, grant, server, cell) = (TicketId(1), GrantId(1), ServerId(1), CELL);
    let acquire = Acquire {
        ticket,
        cell,
        account: AccountId(1),
        class: ClassId(1),
        tier: Tier(1),
        wait: SECOND,
        prefix: PrefixHash(1),
        idempotent: true,
        avoid: Vec::new(),
    };
    let end = AttemptEnd::Completed { first_byte: SECOND, total: SECOND, tokens: 1 };
    let held = HeldGrant {
        grant,
        server,
        account: AccountId(1),
        class: ClassId(1),
        tier: Tier(1),
        idempotent: true,
    };
    [
        ("cell acquire", Msg::Cell(CellMsg::Acquire(acquire))),
        (
            "cell grant",
            Msg::Cell(CellMsg::Grant { ticket, cell, grant, server, start_within: SECOND }),
        ),
        ("cell release", Msg::Cell(CellMsg::Release { cell, grant, server, end, cold: false })),
        ("cell held, empty", Msg::Cell(CellMsg::Held { cell, grants: Vec::new() })),
        ("cell held, ten grants", Msg::Cell(CellMsg::Held { cell, grants: vec![held; 10] })),
    ]
}

fn idempotency_messages() -> [NamedMessage; 2] {
    let (ask, key) = (AskId(1), IdempotencyId(1));
    let verdict = OnceVerdict::New;
    [
        ("idempotency claim", Msg::Once(OnceMsg::Claim { ask, key, resend: false })),
        ("idempotency answer", Msg::Once(OnceMsg::Answer { ask, key, verdict })),
    ]
}
