//! Every type of message is unchanged by encoding and decoding, and decoding arbitrary or corrupted
//! bytes does not panic.

use std::{sync::Arc, time::Duration};

use bolero::generator::produce;
use capnp::message::{Builder, ReaderOptions};
use model::{
    msg::{
        Acquire, CellLoad, CellMsg, CellState, ConfigDoc, Handover, Heartbeat, HeldGrant, Msg,
        OnceMsg, OnceVerdict, OwnedGrant, ServerWarmth, ShareLease, ShareState, TokenMsg,
    },
    prelude::*,
};
use wire::{Header, peer_capnp::envelope};

const SPAN: Duration = Duration::from_millis(1_234);

fn peer() -> Peer {
    Peer { instance: InstanceId::of("d1"), incarnation: Incarnation(7) }
}

fn cell() -> CellId {
    CellId { pool: PoolId::of("m"), zone: ZoneId::of("z") }
}

fn share() -> ShareId {
    ShareId { account: AccountId::of("a"), zone: ZoneId::of("z") }
}

fn held() -> HeldGrant {
    HeldGrant {
        grant: GrantId(1),
        server: ServerId::of("s"),
        account: AccountId::of("a"),
        class: ClassId::of("c"),
        tier: Tier(3),
        idempotent: true,
    }
}

fn release(end: AttemptEnd) -> Msg {
    let server = ServerId::of("s");
    Msg::Cell(CellMsg::Release { cell: cell(), grant: GrantId(1), server, end, cold: true })
}

fn every_type() -> Vec<Msg> {
    let (ask, ticket, grant, lease) = (AskId(1), TicketId(2), GrantId(3), LeaseId(4));
    let key = IdempotencyId(u128::MAX - 5);
    let heartbeat = Heartbeat {
        nonce: Nonce(9),
        ack: true,
        leaving: true,
        config: Version(5),
        list: Version(6),
        cells: vec![CellLoad { cell: cell(), free: 1, waiting: 2 }],
    };
    let acquire = Acquire {
        ticket,
        cell: cell(),
        account: AccountId::of("a"),
        class: ClassId::of("c"),
        tier: Tier(2),
        wait: SPAN,
        prefix: PrefixHash(11),
        idempotent: true,
        avoid: vec![ServerId(1), ServerId(2)],
    };
    let lease_state = ShareLease {
        holder: peer().instance,
        incarnation: Incarnation(1),
        ask: AskId(2),
        lease,
        ttl: SPAN,
    };
    let cell_state = CellState {
        cell: cell(),
        servers: vec![ServerWarmth { server: ServerId(1), limit: 3 }],
        grants: vec![OwnedGrant {
            holder: peer().instance,
            incarnation: Incarnation(1),
            held: held(),
        }],
    };
    vec![
        Msg::Heartbeat(heartbeat),
        Msg::ConfigPull,
        Msg::ConfigDoc(ConfigDoc { version: Version(5), text: Arc::from("{\"ü\": 1}") }),
        Msg::ListDoc(ConfigDoc { version: Version(6), text: Arc::from("{}") }),
        Msg::Token(TokenMsg::Ask { ask, share: share(), wait: SPAN }),
        Msg::Token(TokenMsg::Give { ask, share: share(), lease, ttl: SPAN }),
        Msg::Token(TokenMsg::Queued { ask, share: share(), eta: SPAN }),
        Msg::Token(TokenMsg::Deny {
            ask,
            share: share(),
            reason: Reason::OverRate,
            retry_after: SPAN,
        }),
        Msg::Token(TokenMsg::Cancel { ask, share: share() }),
        Msg::Token(TokenMsg::Spent { share: share(), lease }),
        Msg::Token(TokenMsg::Return { share: share(), lease }),
        Msg::Cell(CellMsg::Acquire(acquire)),
        Msg::Cell(CellMsg::Queued { ticket, cell: cell(), eta: SPAN }),
        Msg::Cell(CellMsg::Grant {
            ticket,
            cell: cell(),
            grant,
            server: ServerId::of("s"),
            start_within: SPAN,
        }),
        Msg::Cell(CellMsg::Refuse {
            ticket,
            cell: cell(),
            reason: Reason::Capacity,
            retry_after: SPAN,
        }),
        Msg::Cell(CellMsg::Cancel { ticket, cell: cell() }),
        release(AttemptEnd::Completed { first_byte: SPAN, total: SPAN, tokens: 5 }),
        release(AttemptEnd::ConnectFailed),
        release(AttemptEnd::ServerBusy),
        release(AttemptEnd::Broken { answered: true }),
        release(AttemptEnd::TimedOut { answered: false }),
        release(AttemptEnd::CallerLeft),
        release(AttemptEnd::Preempted),
        release(AttemptEnd::Unused),
        Msg::Cell(CellMsg::Preempt { cell: cell(), grant }),
        Msg::Cell(CellMsg::Held { cell: cell(), grants: vec![held(), held()] }),
        Msg::Cell(CellMsg::Reclaim { cell: cell() }),
        Msg::Once(OnceMsg::Claim { ask, key, resend: true }),
        Msg::Once(OnceMsg::Answer { ask, key, verdict: OnceVerdict::Unsure }),
        Msg::Once(OnceMsg::Free { ask, key }),
        Msg::Handover(Handover::Share(ShareState {
            share: share(),
            level_milli: 1_500,
            leases: vec![lease_state],
        })),
        Msg::Handover(Handover::Cell(cell_state)),
    ]
}

fn encode(msgs: &[Msg]) -> Vec<u8> {
    let mut message = Builder::new_default();
    wire::write(message.init_root(), peer(), InstanceId::of("d2"), msgs);
    capnp::serialize::write_message_to_words(&message)
}

fn decode(buf: &[u8]) -> Result<(Header, Vec<Msg>), wire::ReadError> {
    let message = capnp::serialize::read_message(buf, ReaderOptions::new())?;
    let envelope = message.get_root::<envelope::Reader<'_>>()?;
    Ok((Header::read(envelope), wire::read(envelope)?))
}

#[test]
fn every_type_of_message_is_unchanged_by_encoding_and_decoding() {
    let msgs = every_type();

    let (header, read) = decode(&encode(&msgs)).unwrap();

    assert_eq!(header.from, peer());
    assert_eq!(header.to, InstanceId::of("d2"));
    assert_eq!(read, msgs);
}

#[test]
fn decoding_arbitrary_bytes_does_not_panic() {
    seeded::check(produce::<Vec<u8>>(), 3_000, |buf| {
        let _ = decode(buf);
    });
}

#[test]
fn decoding_corrupted_messages_does_not_panic() {
    let valid = encode(&every_type());
    seeded::check(produce::<Vec<(u16, u8)>>(), 3_000, |corruptions| {
        let mut buf = valid.clone();
        for (at, byte) in corruptions {
            let at = usize::from(*at) % buf.len();
            buf[at] ^= byte;
        }

        let _ = decode(&buf);
    });
}
