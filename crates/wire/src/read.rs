//! Envelopes into messages.

use std::{sync::Arc, time::Duration};

use model::{
    msg::{
        Acquire, CellLoad, CellMsg, CellState, ConfigDoc, Handover, Heartbeat, HeldGrant, Msg,
        OnceMsg, OnceVerdict, OwnedGrant, ServerWarmth, ShareLease, ShareState, TokenMsg,
    },
    prelude::*,
};

use crate::{ReadError, peer_capnp as schema};

/// The longest duration that is accepted; anything longer is a sender's fault.
const MAX_SPAN: Duration = Duration::from_secs(24 * 3_600);

/// Who sent an envelope to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The newest protocol version that the sender speaks.
    pub protocol: u16,
    /// The sender.
    pub from: Peer,
    /// The receiver that the sender meant.
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

/// Reads the messages of an envelope. Messages of kinds that this version does not know are left
/// out.
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
        Which::Heartbeat(it) => Msg::Heartbeat(heartbeat(it?)?),
        Which::ConfigPull(()) => Msg::ConfigPull,
        Which::ConfigDoc(it) => Msg::ConfigDoc(config_doc(it?)?),
        Which::ListDoc(it) => Msg::ListDoc(config_doc(it?)?),
        Which::TokenAsk(it) => Msg::Token(token_ask(it?)?),
        Which::TokenGive(it) => Msg::Token(token_give(it?)?),
        Which::TokenQueued(it) => Msg::Token(token_queued(it?)?),
        Which::TokenDeny(it) => Msg::Token(token_deny(it?)?),
        Which::TokenCancel(it) => Msg::Token(token_cancel(it?)?),
        Which::TokenSpent(it) => {
            let it = it?;
            let share = share_id(it.get_share()?);
            Msg::Token(TokenMsg::Spent { share, lease: LeaseId(it.get_lease()) })
        }
        Which::TokenReturn(it) => {
            let it = it?;
            let share = share_id(it.get_share()?);
            Msg::Token(TokenMsg::Return { share, lease: LeaseId(it.get_lease()) })
        }
        Which::CellAcquire(it) => Msg::Cell(CellMsg::Acquire(acquire(it?)?)),
        Which::CellQueued(it) => Msg::Cell(cell_queued(it?)?),
        Which::CellGrant(it) => Msg::Cell(cell_grant(it?)?),
        Which::CellRefuse(it) => Msg::Cell(cell_refuse(it?)?),
        Which::CellCancel(it) => Msg::Cell(cell_cancel(it?)?),
        Which::CellRelease(it) => Msg::Cell(cell_release(it?)?),
        Which::CellPreempt(it) => Msg::Cell(cell_preempt(it?)?),
        Which::CellHeld(it) => Msg::Cell(cell_held(it?)?),
        Which::CellReclaim(it) => Msg::Cell(CellMsg::Reclaim { cell: cell_id(it?) }),
        Which::OnceClaim(it) => Msg::Once(once_claim(it?)?),
        Which::OnceAnswer(it) => Msg::Once(once_answer(it?)?),
        Which::OnceFree(it) => Msg::Once(once_free(it?)?),
        Which::ShareState(it) => Msg::Handover(Handover::Share(share_state(it?)?)),
        Which::CellState(it) => Msg::Handover(Handover::Cell(cell_state(it?)?)),
    };
    Ok(Some(msg))
}

fn heartbeat(it: schema::heartbeat::Reader<'_>) -> Result<Heartbeat, ReadError> {
    let mut cells = Vec::new();
    for load in it.get_cells()? {
        cells.push(CellLoad {
            cell: cell_id(load.get_cell()?),
            free: load.get_free(),
            waiting: load.get_waiting(),
        });
    }
    Ok(Heartbeat {
        nonce: Nonce(it.get_nonce()),
        ack: it.get_ack(),
        leaving: it.get_leaving(),
        config: Version(it.get_config()),
        list: Version(it.get_list()),
        cells,
    })
}

fn config_doc(it: schema::config_doc::Reader<'_>) -> Result<ConfigDoc, ReadError> {
    let text = it.get_text()?.to_str()?;
    Ok(ConfigDoc { version: Version(it.get_version()), text: Arc::from(text) })
}

fn token_ask(it: schema::token_ask::Reader<'_>) -> Result<TokenMsg, ReadError> {
    Ok(TokenMsg::Ask {
        ask: AskId(it.get_ask()),
        share: share_id(it.get_share()?),
        wait: span(it.get_wait()),
    })
}

fn token_give(it: schema::token_give::Reader<'_>) -> Result<TokenMsg, ReadError> {
    Ok(TokenMsg::Give {
        ask: AskId(it.get_ask()),
        share: share_id(it.get_share()?),
        lease: LeaseId(it.get_lease()),
        ttl: span(it.get_ttl()),
    })
}

fn token_queued(it: schema::token_queued::Reader<'_>) -> Result<TokenMsg, ReadError> {
    Ok(TokenMsg::Queued {
        ask: AskId(it.get_ask()),
        share: share_id(it.get_share()?),
        eta: span(it.get_eta()),
    })
}

fn token_deny(it: schema::token_deny::Reader<'_>) -> Result<TokenMsg, ReadError> {
    Ok(TokenMsg::Deny {
        ask: AskId(it.get_ask()),
        share: share_id(it.get_share()?),
        reason: reason(it.get_reason()?),
        retry_after: span(it.get_retry_after()),
    })
}

fn token_cancel(it: schema::token_cancel::Reader<'_>) -> Result<TokenMsg, ReadError> {
    Ok(TokenMsg::Cancel { ask: AskId(it.get_ask()), share: share_id(it.get_share()?) })
}

fn acquire(it: schema::cell_acquire::Reader<'_>) -> Result<Acquire, ReadError> {
    Ok(Acquire {
        ticket: TicketId(it.get_ticket()),
        cell: cell_id(it.get_cell()?),
        account: AccountId(it.get_account()),
        class: ClassId(it.get_class()),
        tier: Tier(it.get_tier()),
        wait: span(it.get_wait()),
        prefix: PrefixHash(it.get_prefix()),
        idempotent: it.get_idempotent(),
        avoid: it.get_avoid()?.iter().map(ServerId).collect(),
    })
}

fn cell_queued(it: schema::cell_queued::Reader<'_>) -> Result<CellMsg, ReadError> {
    Ok(CellMsg::Queued {
        ticket: TicketId(it.get_ticket()),
        cell: cell_id(it.get_cell()?),
        eta: span(it.get_eta()),
    })
}

fn cell_grant(it: schema::cell_grant::Reader<'_>) -> Result<CellMsg, ReadError> {
    Ok(CellMsg::Grant {
        ticket: TicketId(it.get_ticket()),
        cell: cell_id(it.get_cell()?),
        grant: GrantId(it.get_grant()),
        server: ServerId(it.get_server()),
        start_within: span(it.get_start_within()),
    })
}

fn cell_refuse(it: schema::cell_refuse::Reader<'_>) -> Result<CellMsg, ReadError> {
    Ok(CellMsg::Refuse {
        ticket: TicketId(it.get_ticket()),
        cell: cell_id(it.get_cell()?),
        reason: reason(it.get_reason()?),
        retry_after: span(it.get_retry_after()),
    })
}

fn cell_cancel(it: schema::cell_cancel::Reader<'_>) -> Result<CellMsg, ReadError> {
    Ok(CellMsg::Cancel { ticket: TicketId(it.get_ticket()), cell: cell_id(it.get_cell()?) })
}

fn cell_release(it: schema::cell_release::Reader<'_>) -> Result<CellMsg, ReadError> {
    Ok(CellMsg::Release {
        cell: cell_id(it.get_cell()?),
        grant: GrantId(it.get_grant()),
        server: ServerId(it.get_server()),
        end: attempt_end(it.get_end())?,
        cold: it.get_cold(),
    })
}

fn attempt_end(it: schema::cell_release::end::Reader<'_>) -> Result<AttemptEnd, ReadError> {
    use schema::cell_release::end::Which;

    Ok(match it.which()? {
        Which::Completed(it) => {
            let it = it?;
            AttemptEnd::Completed {
                first_byte: span(it.get_first_byte()),
                total: span(it.get_total()),
                tokens: it.get_tokens(),
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

fn cell_preempt(it: schema::cell_preempt::Reader<'_>) -> Result<CellMsg, ReadError> {
    Ok(CellMsg::Preempt { cell: cell_id(it.get_cell()?), grant: GrantId(it.get_grant()) })
}

fn cell_held(it: schema::cell_held::Reader<'_>) -> Result<CellMsg, ReadError> {
    let grants = it.get_grants()?.iter().map(held_grant).collect();
    Ok(CellMsg::Held { cell: cell_id(it.get_cell()?), grants })
}

fn held_grant(it: schema::held_grant::Reader<'_>) -> HeldGrant {
    HeldGrant {
        grant: GrantId(it.get_grant()),
        server: ServerId(it.get_server()),
        account: AccountId(it.get_account()),
        class: ClassId(it.get_class()),
        tier: Tier(it.get_tier()),
        idempotent: it.get_idempotent(),
    }
}

fn once_claim(it: schema::once_claim::Reader<'_>) -> Result<OnceMsg, ReadError> {
    Ok(OnceMsg::Claim {
        ask: AskId(it.get_ask()),
        key: IdempotencyId(wide(it.get_key()?)),
        resend: it.get_resend(),
    })
}

fn once_answer(it: schema::once_answer::Reader<'_>) -> Result<OnceMsg, ReadError> {
    let verdict = match it.get_verdict()? {
        schema::Verdict::New => OnceVerdict::New,
        schema::Verdict::Seen => OnceVerdict::Seen,
        schema::Verdict::Unsure => OnceVerdict::Unsure,
    };
    let key = IdempotencyId(wide(it.get_key()?));
    Ok(OnceMsg::Answer { ask: AskId(it.get_ask()), key, verdict })
}

fn once_free(it: schema::once_free::Reader<'_>) -> Result<OnceMsg, ReadError> {
    let key = IdempotencyId(wide(it.get_key()?));
    Ok(OnceMsg::Free { ask: AskId(it.get_ask()), key })
}

fn share_state(it: schema::share_state::Reader<'_>) -> Result<ShareState, ReadError> {
    let leases = it.get_leases()?.iter().map(|it| ShareLease {
        holder: InstanceId(it.get_holder()),
        incarnation: Incarnation(it.get_incarnation()),
        ask: AskId(it.get_ask()),
        lease: LeaseId(it.get_lease()),
        ttl: span(it.get_ttl()),
    });
    Ok(ShareState {
        share: share_id(it.get_share()?),
        level_milli: it.get_level_milli(),
        leases: leases.collect(),
    })
}

fn cell_state(it: schema::cell_state::Reader<'_>) -> Result<CellState, ReadError> {
    let servers = it
        .get_servers()?
        .iter()
        .map(|it| ServerWarmth { server: ServerId(it.get_server()), limit: it.get_limit() });
    let mut grants = Vec::new();
    for grant in it.get_grants()? {
        grants.push(OwnedGrant {
            holder: InstanceId(grant.get_holder()),
            incarnation: Incarnation(grant.get_incarnation()),
            held: held_grant(grant.get_held()?),
        });
    }
    Ok(CellState { cell: cell_id(it.get_cell()?), servers: servers.collect(), grants })
}

fn cell_id(it: schema::cell_id::Reader<'_>) -> CellId {
    CellId { pool: PoolId(it.get_pool()), zone: ZoneId(it.get_zone()) }
}

fn share_id(it: schema::share_id::Reader<'_>) -> ShareId {
    ShareId { account: AccountId(it.get_account()), zone: ZoneId(it.get_zone()) }
}

fn wide(it: schema::wide::Reader<'_>) -> u128 {
    u128::from(it.get_high()) << 64 | u128::from(it.get_low())
}

fn reason(it: schema::Reason) -> Reason {
    match it {
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
