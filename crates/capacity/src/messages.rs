//! Bytes of each message.

use std::error::Error;

use capnp::{message::Builder, serialize};
use model::{
    msg::{
        Acquire, CellLoad, CellMsg, ConfigDoc, Heartbeat, HeldGrant, OnceMsg, OnceVerdict, TokenMsg,
    },
    prelude::*,
};

use crate::{
    AIM,
    harness::{Cost, Harness},
    rpc::{self, CallBytes},
    site::Site,
};

const ZONE: ZoneId = ZoneId(1);
const CELL: CellId = CellId { pool: PoolId(1), zone: ZONE };
const SHARE: ShareId = ShareId { account: AccountId(1), zone: ZONE };
/// Requests of which the messages are counted, and the simulated time between two of them.
const REQUESTS: u32 = 2_000;
const GAP: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Returns the bytes of a message in an envelope of its own.
pub(crate) fn bytes_of(from: Peer, to: InstanceId, msg: &Msg) -> u64 {
    let mut builder = Builder::new_default();
    wire::write(builder.init_root(), from, to, std::slice::from_ref(msg));
    serialize::compute_serialized_size_in_words(&builder) as u64 * 8
}

/// Prints the bytes of each message.
pub(crate) fn print() -> Result<(), Box<dyn Error>> {
    println!("\nbytes of a message in an envelope of its own, and on its connection");
    println!("  {:<34}{:>10}{:>10}{:>10}", "", "envelope", "sender", "receiver");
    let from = Peer { instance: InstanceId(1), incarnation: Incarnation(1) };
    for (name, msg) in messages()? {
        let CallBytes { sender, receiver } = rpc::call(&msg)?;
        let envelope = bytes_of(from, InstanceId(2), &msg);
        println!("  {name:<34}{envelope:>10}{sender:>10}{receiver:>10}");
    }
    print_request()
}

/// Prints the messages of a request at its entry. Timers included: reports of spent tokens.
fn print_request() -> Result<(), Box<dyn Error>> {
    let mut on = Harness::start(AIM)?;
    on.answers.bytes = true;
    for i in 0..REQUESTS {
        on.now = on.now + GAP;
        on.request(i as usize % AIM.accounts);
        on.wake();
    }
    let Cost { sent, received, bytes, .. } = on.cost;
    let each = |count: u64| count as f64 / f64::from(REQUESTS);
    println!("\nmessages of a request at its entry, heartbeats included");
    println!("  {:<34}{:>10.2}", "sent", each(sent));
    println!("  {:<34}{:>10.2}", "received", each(received));
    println!("  {:<34}{:>10.0}", "bytes of the envelopes sent", each(bytes));
    Ok(())
}

type Named = (&'static str, Msg);

fn messages() -> Result<Vec<Named>, Box<dyn Error>> {
    let mut all = vec![
        ("heartbeat", heartbeat(0)),
        ("heartbeat with one cell", heartbeat(1)),
        ("heartbeat with ten cells", heartbeat(10)),
        ("configuration pull", Msg::ConfigPull),
    ];
    all.extend(documents()?);
    all.extend(tokens());
    all.extend(cells());
    all.extend(once());
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

fn documents() -> Result<[Named; 2], Box<dyn Error>> {
    let site = Site::new(AIM);
    let version = Version(1);
    let config = ConfigDoc { version, text: site.text()? };
    let list = ConfigDoc { version, text: serde_json::to_string(&site.list)?.into() };
    Ok([("configuration document", Msg::ConfigDoc(config)), ("list document", Msg::ListDoc(list))])
}

fn tokens() -> [Named; 3] {
    let (ask, share, lease) = (AskId(1), SHARE, LeaseId(1));
    [
        ("token ask", Msg::Token(TokenMsg::Ask { ask, share, wait: SECOND })),
        ("token give", Msg::Token(TokenMsg::Give { ask, share, lease, ttl: SECOND })),
        ("token spent", Msg::Token(TokenMsg::Spent { share, lease })),
    ]
}

fn cells() -> [Named; 5] {
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

fn once() -> [Named; 2] {
    let (ask, key) = (AskId(1), IdempotencyId(1));
    let verdict = OnceVerdict::New;
    [
        ("idempotency claim", Msg::Once(OnceMsg::Claim { ask, key, resend: false })),
        ("idempotency answer", Msg::Once(OnceMsg::Answer { ask, key, verdict })),
    ]
}
