//! Decodes envelopes.

use std::{sync::Arc, time::Duration};

use model::{
    msg::{
        Acquire, CellLoad, CellMsg, CellState, ConfigDoc, Handover, Heartbeat, HeldGrant, Msg,
        OnceMsg, OnceVerdict, OwnedGrant, ServerWarmth, ShareLease, ShareState, TokenMsg,
    },
    prelude::*,
};

use crate::{ReadError, peer_capnp as schema};

/// A longer duration is shortened to this one: it is an error of the sender.
const MAX_SPAN: Duration = Duration::from_secs(24 * 3_600);

/// The sender and the receiver of an envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The newest protocol version that the sender supports.
    pub protocol: u16,
    /// The instance that sent the envelope, with its incarnation.
    pub from: Peer,
    /// The intended receiver. The address may meanwhile belong to another instance.
    pub to: InstanceId,
}

impl Header {
    /// Reads the header of an envelope.
    pub fn read(envelope: schema::envelope::Reader<'_>) -> Self {
        let from = Peer {
            instance: InstanceId(envelope.get_from()),
            incarnation: Incarnation(envelope.get_incarnation()),
        };
        Self { protocol: envelope.get_protocol(), from, to: InstanceId(envelope.get_to()) }
    }
}

/// Reads the messages of an envelope. Messages of unknown types are left out.
pub fn read(envelope: schema::envelope::Reader<'_>) -> Result<Vec<Msg>, ReadError> {
    let list = envelope.get_messages()?;
    let mut msgs = Vec::new();
    for msg in list {
        msgs.extend(read_msg(msg)?);
    }
    Ok(msgs)
}

fn read_msg(msg: schema::message::Reader<'_>) -> Result<Option<Msg>, ReadError> {
    use schema::message::Which;

    let Ok(which) = msg.which() else { return Ok(None) };
    let msg = match which {
        Which::Heartbeat(reader) => Msg::Heartbeat(heartbeat(reader?)?),
        Which::ConfigPull(()) => Msg::ConfigPull,
        Which::ConfigDoc(reader) => Msg::ConfigDoc(config_doc(reader?)?),
        Which::ListDoc(reader) => Msg::ListDoc(config_doc(reader?)?),
        Which::TokenAsk(reader) => Msg::Token(token_ask(reader?)?),
        Which::TokenGive(reader) => Msg::Token(token_give(reader?)?),
        Which::TokenQueued(reader) => Msg::Token(token_queued(reader?)?),
        Which::TokenDeny(reader) => Msg::Token(token_deny(reader?)?),
        Which::TokenCancel(reader) => Msg::Token(token_cancel(reader?)?),
        Which::TokenSpent(reader) => {
            let reader = reader?;
            let share = share_id(reader.get_share()?);
            Msg::Token(TokenMsg::Spent { share, lease: LeaseId(reader.get_lease()) })
        }
        Which::TokenReturn(reader) => {
            let reader = reader?;
            let share = share_id(reader.get_share()?);
            Msg::Token(TokenMsg::Return { share, lease: LeaseId(reader.get_lease()) })
        }
        Which::CellAcquire(reader) => Msg::Cell(CellMsg::Acquire(acquire(reader?)?)),
        Which::CellQueued(reader) => Msg::Cell(cell_queued(reader?)?),
        Which::CellGrant(reader) => Msg::Cell(cell_grant(reader?)?),
        Which::CellRefuse(reader) => Msg::Cell(cell_refuse(reader?)?),
        Which::CellCancel(reader) => Msg::Cell(cell_cancel(reader?)?),
        Which::CellRelease(reader) => Msg::Cell(cell_release(reader?)?),
        Which::CellPreempt(reader) => Msg::Cell(cell_preempt(reader?)?),
        Which::CellHeld(reader) => Msg::Cell(cell_held(reader?)?),
        Which::CellReclaim(reader) => Msg::Cell(CellMsg::Reclaim { cell: cell_id(reader?) }),
        Which::OnceClaim(reader) => Msg::Once(once_claim(reader?)?),
        Which::OnceAnswer(reader) => Msg::Once(once_answer(reader?)?),
        Which::OnceFree(reader) => Msg::Once(once_free(reader?)?),
        Which::ShareState(reader) => Msg::Handover(Handover::Share(share_state(reader?)?)),
        Which::CellState(reader) => Msg::Handover(Handover::Cell(cell_state(reader?)?)),
    };
    Ok(Some(msg))
}

fn heartbeat(reader: schema::heartbeat::Reader<'_>) -> Result<Heartbeat, ReadError> {
    let mut cells = Vec::new();
    for load in reader.get_cells()? {
        cells.push(CellLoad {
            cell: cell_id(load.get_cell()?),
            free: load.get_free(),
            waiting: load.get_waiting(),
        });
    }
    Ok(Heartbeat {
        nonce: Nonce(reader.get_nonce()),
        ack: reader.get_ack(),
        leaving: reader.get_leaving(),
        config: Version(reader.get_config()),
        list: Version(reader.get_list()),
        cells,
    })
}

fn config_doc(reader: schema::config_doc::Reader<'_>) -> Result<ConfigDoc, ReadError> {
    let text = reader.get_text()?.to_str()?;
    Ok(ConfigDoc { version: Version(reader.get_version()), text: Arc::from(text) })
}

fn token_ask(reader: schema::token_ask::Reader<'_>) -> Result<TokenMsg, ReadError> {
    Ok(TokenMsg::Ask {
        ask: AskId(reader.get_ask()),
        share: share_id(reader.get_share()?),
        wait: span(reader.get_wait()),
    })
}

fn token_give(reader: schema::token_give::Reader<'_>) -> Result<TokenMsg, ReadError> {
    Ok(TokenMsg::Give {
        ask: AskId(reader.get_ask()),
        share: share_id(reader.get_share()?),
        lease: LeaseId(reader.get_lease()),
        ttl: span(reader.get_ttl()),
    })
}

fn token_queued(reader: schema::token_queued::Reader<'_>) -> Result<TokenMsg, ReadError> {
    Ok(TokenMsg::Queued {
        ask: AskId(reader.get_ask()),
        share: share_id(reader.get_share()?),
        eta: span(reader.get_eta()),
    })
}

fn token_deny(reader: schema::token_deny::Reader<'_>) -> Result<TokenMsg, ReadError> {
    Ok(TokenMsg::Deny {
        ask: AskId(reader.get_ask()),
        share: share_id(reader.get_share()?),
        reason: reason(reader.get_reason()?),
        retry_after: span(reader.get_retry_after()),
    })
}

fn token_cancel(reader: schema::token_cancel::Reader<'_>) -> Result<TokenMsg, ReadError> {
    Ok(TokenMsg::Cancel { ask: AskId(reader.get_ask()), share: share_id(reader.get_share()?) })
}

fn acquire(reader: schema::cell_acquire::Reader<'_>) -> Result<Acquire, ReadError> {
    Ok(Acquire {
        ticket: TicketId(reader.get_ticket()),
        cell: cell_id(reader.get_cell()?),
        account: AccountId(reader.get_account()),
        class: ClassId(reader.get_class()),
        tier: Tier(reader.get_tier()),
        wait: span(reader.get_wait()),
        prefix: PrefixHash(reader.get_prefix()),
        idempotent: reader.get_idempotent(),
        avoid: reader.get_avoid()?.iter().map(ServerId).collect(),
    })
}

fn cell_queued(reader: schema::cell_queued::Reader<'_>) -> Result<CellMsg, ReadError> {
    Ok(CellMsg::Queued {
        ticket: TicketId(reader.get_ticket()),
        cell: cell_id(reader.get_cell()?),
        eta: span(reader.get_eta()),
    })
}

fn cell_grant(reader: schema::cell_grant::Reader<'_>) -> Result<CellMsg, ReadError> {
    Ok(CellMsg::Grant {
        ticket: TicketId(reader.get_ticket()),
        cell: cell_id(reader.get_cell()?),
        grant: GrantId(reader.get_grant()),
        server: ServerId(reader.get_server()),
        start_within: span(reader.get_start_within()),
    })
}

fn cell_refuse(reader: schema::cell_refuse::Reader<'_>) -> Result<CellMsg, ReadError> {
    Ok(CellMsg::Refuse {
        ticket: TicketId(reader.get_ticket()),
        cell: cell_id(reader.get_cell()?),
        reason: reason(reader.get_reason()?),
        retry_after: span(reader.get_retry_after()),
    })
}

fn cell_cancel(reader: schema::cell_cancel::Reader<'_>) -> Result<CellMsg, ReadError> {
    Ok(CellMsg::Cancel { ticket: TicketId(reader.get_ticket()), cell: cell_id(reader.get_cell()?) })
}

fn cell_release(reader: schema::cell_release::Reader<'_>) -> Result<CellMsg, ReadError> {
    Ok(CellMsg::Release {
        cell: cell_id(reader.get_cell()?),
        grant: GrantId(reader.get_grant()),
        server: ServerId(reader.get_server()),
        end: attempt_end(reader.get_end())?,
        cold: reader.get_cold(),
    })
}

fn attempt_end(reader: schema::cell_release::end::Reader<'_>) -> Result<AttemptEnd, ReadError> {
    use schema::cell_release::end::Which;

    Ok(match reader.which()? {
        Which::Completed(reader) => {
            let reader = reader?;
            AttemptEnd::Completed {
                first_byte: span(reader.get_first_byte()),
                total: span(reader.get_total()),
                tokens: reader.get_tokens(),
            }
        }
        Which::ConnectFailed(()) => AttemptEnd::ConnectFailed,
        Which::ServerBusy(()) => AttemptEnd::ServerBusy,
        Which::Broken(answered) => AttemptEnd::Broken { answered },
        Which::TimedOut(answered) => AttemptEnd::TimedOut { answered },
        Which::CallerLeft(()) => AttemptEnd::CallerLeft,
        Which::Preempted(()) => AttemptEnd::Preempted,
        Which::Unused(()) => AttemptEnd::Unused,
    })
}

fn cell_preempt(reader: schema::cell_preempt::Reader<'_>) -> Result<CellMsg, ReadError> {
    Ok(CellMsg::Preempt { cell: cell_id(reader.get_cell()?), grant: GrantId(reader.get_grant()) })
}

fn cell_held(reader: schema::cell_held::Reader<'_>) -> Result<CellMsg, ReadError> {
    let grants = reader.get_grants()?.iter().map(held_grant).collect();
    Ok(CellMsg::Held { cell: cell_id(reader.get_cell()?), grants })
}

fn held_grant(reader: schema::held_grant::Reader<'_>) -> HeldGrant {
    HeldGrant {
        grant: GrantId(reader.get_grant()),
        server: ServerId(reader.get_server()),
        account: AccountId(reader.get_account()),
        class: ClassId(reader.get_class()),
        tier: Tier(reader.get_tier()),
        idempotent: reader.get_idempotent(),
    }
}

fn once_claim(reader: schema::once_claim::Reader<'_>) -> Result<OnceMsg, ReadError> {
    Ok(OnceMsg::Claim {
        ask: AskId(reader.get_ask()),
        key: IdempotencyId(wide(reader.get_key()?)),
        resend: reader.get_resend(),
    })
}

fn once_answer(reader: schema::once_answer::Reader<'_>) -> Result<OnceMsg, ReadError> {
    let verdict = match reader.get_verdict()? {
        schema::Verdict::New => OnceVerdict::New,
        schema::Verdict::Seen => OnceVerdict::Seen,
        schema::Verdict::Unsure => OnceVerdict::Unsure,
    };
    let key = IdempotencyId(wide(reader.get_key()?));
    Ok(OnceMsg::Answer { ask: AskId(reader.get_ask()), key, verdict })
}

fn once_free(reader: schema::once_free::Reader<'_>) -> Result<OnceMsg, ReadError> {
    let key = IdempotencyId(wide(reader.get_key()?));
    Ok(OnceMsg::Free { ask: AskId(reader.get_ask()), key })
}

fn share_state(reader: schema::share_state::Reader<'_>) -> Result<ShareState, ReadError> {
    let leases = reader.get_leases()?.iter().map(|lease| ShareLease {
        holder: InstanceId(lease.get_holder()),
        incarnation: Incarnation(lease.get_incarnation()),
        ask: AskId(lease.get_ask()),
        lease: LeaseId(lease.get_lease()),
        ttl: span(lease.get_ttl()),
    });
    Ok(ShareState {
        share: share_id(reader.get_share()?),
        level_milli: reader.get_level_milli(),
        leases: leases.collect(),
    })
}

fn cell_state(reader: schema::cell_state::Reader<'_>) -> Result<CellState, ReadError> {
    let servers = reader.get_servers()?.iter().map(|server| ServerWarmth {
        server: ServerId(server.get_server()),
        limit: server.get_limit(),
    });
    let mut grants = Vec::new();
    for grant in reader.get_grants()? {
        grants.push(OwnedGrant {
            holder: InstanceId(grant.get_holder()),
            incarnation: Incarnation(grant.get_incarnation()),
            held: held_grant(grant.get_held()?),
        });
    }
    Ok(CellState { cell: cell_id(reader.get_cell()?), servers: servers.collect(), grants })
}

fn cell_id(reader: schema::cell_id::Reader<'_>) -> CellId {
    CellId { pool: PoolId(reader.get_pool()), zone: ZoneId(reader.get_zone()) }
}

fn share_id(reader: schema::share_id::Reader<'_>) -> ShareId {
    ShareId { account: AccountId(reader.get_account()), zone: ZoneId(reader.get_zone()) }
}

fn wide(reader: schema::wide::Reader<'_>) -> u128 {
    u128::from(reader.get_high()) << 64 | u128::from(reader.get_low())
}

fn reason(reason: schema::Reason) -> Reason {
    match reason {
        schema::Reason::BadRequest => Reason::BadRequest,
        schema::Reason::TooLarge => Reason::TooLarge,
        schema::Reason::SlowCaller => Reason::SlowCaller,
        schema::Reason::NoRoute => Reason::NoRoute,
        schema::Reason::NoKey => Reason::NoKey,
        schema::Reason::OverRate => Reason::OverRate,
        schema::Reason::Capacity => Reason::Capacity,
        schema::Reason::NoServer => Reason::NoServer,
        schema::Reason::NotReady => Reason::NotReady,
        schema::Reason::NoOwner => Reason::NoOwner,
        schema::Reason::Duplicate => Reason::Duplicate,
        schema::Reason::MaybeDuplicate => Reason::MaybeDuplicate,
        schema::Reason::ServerFailed => Reason::ServerFailed,
        schema::Reason::ServerTimeout => Reason::ServerTimeout,
        schema::Reason::CallerLeft => Reason::CallerLeft,
    }
}

fn span(micros: u64) -> Duration {
    Duration::from_micros(micros).min(MAX_SPAN)
}
