//! Encodes envelopes.

use std::time::Duration;

use model::{
    msg::{
        Acquire, CellMsg, CellState, ConfigDoc, Handover, Heartbeat, HeldGrant, Msg, OnceMsg,
        OnceVerdict, ShareState, TokenMsg,
    },
    prelude::*,
};

use crate::{PROTOCOL, peer_capnp as schema};

/// Writes messages into an envelope from one instance to another.
pub fn write(mut out: schema::envelope::Builder<'_>, from: Peer, to: InstanceId, msgs: &[Msg]) {
    out.set_protocol(PROTOCOL);
    out.set_from(from.instance.0);
    out.set_incarnation(from.incarnation.0);
    out.set_to(to.0);
    let mut list = out.init_messages(count(msgs.len()));
    for (i, msg) in msgs.iter().enumerate() {
        write_msg(list.reborrow().get(count(i)), msg);
    }
}

fn write_msg(mut out: schema::message::Builder<'_>, msg: &Msg) {
    match msg {
        Msg::Heartbeat(msg) => heartbeat(out.init_heartbeat(), msg),
        Msg::ConfigPull => out.set_config_pull(()),
        Msg::ConfigDoc(doc) => document(out.init_config_doc(), doc),
        Msg::ListDoc(doc) => document(out.init_list_doc(), doc),
        Msg::Token(msg) => token(out, msg),
        Msg::Cell(msg) => cell(out, msg),
        Msg::Once(msg) => once(out, msg),
        Msg::Handover(Handover::Share(state)) => share_state(out.init_share_state(), state),
        Msg::Handover(Handover::Cell(state)) => cell_state(out.init_cell_state(), state),
    }
}

fn document(mut out: schema::config_doc::Builder<'_>, doc: &ConfigDoc) {
    out.set_version(doc.version.0);
    out.set_text(&doc.text[..]);
}

fn heartbeat(mut out: schema::heartbeat::Builder<'_>, msg: &Heartbeat) {
    out.set_nonce(msg.nonce.0);
    out.set_ack(msg.ack);
    out.set_leaving(msg.leaving);
    out.set_config(msg.config.0);
    out.set_list(msg.list.0);
    let mut list = out.init_cells(count(msg.cells.len()));
    for (i, load) in msg.cells.iter().enumerate() {
        let mut out = list.reborrow().get(count(i));
        out.set_free(load.free);
        out.set_waiting(load.waiting);
        cell_id(out.init_cell(), load.cell);
    }
}

fn token(out: schema::message::Builder<'_>, msg: &TokenMsg) {
    match *msg {
        TokenMsg::Ask { ask, share, wait } => {
            let mut out = out.init_token_ask();
            out.set_ask(ask.0);
            out.set_wait(micros(wait));
            share_id(out.init_share(), share);
        }
        TokenMsg::Give { ask, share, lease, ttl } => {
            let mut out = out.init_token_give();
            out.set_ask(ask.0);
            out.set_lease(lease.0);
            out.set_ttl(micros(ttl));
            share_id(out.init_share(), share);
        }
        TokenMsg::Queued { ask, share, eta } => {
            let mut out = out.init_token_queued();
            out.set_ask(ask.0);
            out.set_eta(micros(eta));
            share_id(out.init_share(), share);
        }
        TokenMsg::Deny { ask, share, reason: why, retry_after } => {
            let mut out = out.init_token_deny();
            out.set_ask(ask.0);
            out.set_reason(reason(why));
            out.set_retry_after(micros(retry_after));
            share_id(out.init_share(), share);
        }
        TokenMsg::Cancel { ask, share } => {
            let mut out = out.init_token_cancel();
            out.set_ask(ask.0);
            share_id(out.init_share(), share);
        }
        TokenMsg::Spent { share, lease } => token_lease(out.init_token_spent(), share, lease),
        TokenMsg::Return { share, lease } => token_lease(out.init_token_return(), share, lease),
    }
}

fn token_lease(mut out: schema::token_lease::Builder<'_>, share: ShareId, lease: LeaseId) {
    out.set_lease(lease.0);
    share_id(out.init_share(), share);
}

fn cell(out: schema::message::Builder<'_>, msg: &CellMsg) {
    match msg {
        CellMsg::Acquire(msg) => acquire(out.init_cell_acquire(), msg),
        CellMsg::Queued { ticket, cell, eta } => {
            let mut out = out.init_cell_queued();
            out.set_ticket(ticket.0);
            out.set_eta(micros(*eta));
            cell_id(out.init_cell(), *cell);
        }
        CellMsg::Grant { ticket, cell, grant, server, start_within } => {
            let mut out = out.init_cell_grant();
            out.set_ticket(ticket.0);
            out.set_grant(grant.0);
            out.set_server(server.0);
            out.set_start_within(micros(*start_within));
            cell_id(out.init_cell(), *cell);
        }
        CellMsg::Refuse { ticket, cell, reason: why, retry_after } => {
            let mut out = out.init_cell_refuse();
            out.set_ticket(ticket.0);
            out.set_reason(reason(*why));
            out.set_retry_after(micros(*retry_after));
            cell_id(out.init_cell(), *cell);
        }
        CellMsg::Cancel { ticket, cell } => {
            let mut out = out.init_cell_cancel();
            out.set_ticket(ticket.0);
            cell_id(out.init_cell(), *cell);
        }
        CellMsg::Release { cell, grant, server, end, cold } => {
            let mut out = out.init_cell_release();
            out.set_grant(grant.0);
            out.set_server(server.0);
            out.set_cold(*cold);
            cell_id(out.reborrow().init_cell(), *cell);
            attempt_end(out.init_end(), *end);
        }
        CellMsg::Preempt { cell, grant } => {
            let mut out = out.init_cell_preempt();
            out.set_grant(grant.0);
            cell_id(out.init_cell(), *cell);
        }
        CellMsg::Held { cell, grants } => {
            let mut out = out.init_cell_held();
            cell_id(out.reborrow().init_cell(), *cell);
            let mut list = out.init_grants(count(grants.len()));
            for (i, grant) in grants.iter().enumerate() {
                held_grant(list.reborrow().get(count(i)), grant);
            }
        }
        CellMsg::Reclaim { cell } => cell_id(out.init_cell_reclaim(), *cell),
    }
}

fn acquire(mut out: schema::cell_acquire::Builder<'_>, req: &Acquire) {
    out.set_ticket(req.ticket.0);
    out.set_account(req.account.0);
    out.set_class(req.class.0);
    out.set_tier(req.tier.0);
    out.set_wait(micros(req.wait));
    out.set_prefix(req.prefix.0);
    out.set_idempotent(req.idempotent);
    cell_id(out.reborrow().init_cell(), req.cell);
    let mut list = out.init_avoid(count(req.avoid.len()));
    for (i, server) in req.avoid.iter().enumerate() {
        list.set(count(i), server.0);
    }
}

fn attempt_end(mut out: schema::cell_release::end::Builder<'_>, end: AttemptEnd) {
    match end {
        AttemptEnd::Completed { first_byte, total, tokens } => {
            let mut out = out.init_completed();
            out.set_first_byte(micros(first_byte));
            out.set_total(micros(total));
            out.set_tokens(tokens);
        }
        AttemptEnd::ConnectFailed => out.set_connect_failed(()),
        AttemptEnd::ServerBusy => out.set_server_busy(()),
        AttemptEnd::Broken { answered } => out.set_broken(answered),
        AttemptEnd::TimedOut { answered } => out.set_timed_out(answered),
        AttemptEnd::CallerLeft => out.set_caller_left(()),
        AttemptEnd::Preempted => out.set_preempted(()),
        AttemptEnd::Unused => out.set_unused(()),
    }
}

fn held_grant(mut out: schema::held_grant::Builder<'_>, grant: &HeldGrant) {
    out.set_grant(grant.grant.0);
    out.set_server(grant.server.0);
    out.set_account(grant.account.0);
    out.set_class(grant.class.0);
    out.set_tier(grant.tier.0);
    out.set_idempotent(grant.idempotent);
}

fn once(out: schema::message::Builder<'_>, msg: &OnceMsg) {
    match *msg {
        OnceMsg::Claim { ask, key, resend } => {
            let mut out = out.init_once_claim();
            out.set_ask(ask.0);
            out.set_resend(resend);
            wide(out.init_key(), key.0);
        }
        OnceMsg::Answer { ask, key, verdict } => {
            let mut out = out.init_once_answer();
            out.set_ask(ask.0);
            out.set_verdict(match verdict {
                OnceVerdict::New => schema::Verdict::New,
                OnceVerdict::Seen => schema::Verdict::Seen,
                OnceVerdict::Unsure => schema::Verdict::Unsure,
            });
            wide(out.init_key(), key.0);
        }
        OnceMsg::Free { ask, key } => {
            let mut out = out.init_once_free();
            out.set_ask(ask.0);
            wide(out.init_key(), key.0);
        }
    }
}

fn share_state(mut out: schema::share_state::Builder<'_>, state: &ShareState) {
    out.set_level_milli(state.level_milli);
    share_id(out.reborrow().init_share(), state.share);
    let mut list = out.init_leases(count(state.leases.len()));
    for (i, lease) in state.leases.iter().enumerate() {
        let mut out = list.reborrow().get(count(i));
        out.set_holder(lease.holder.0);
        out.set_incarnation(lease.incarnation.0);
        out.set_ask(lease.ask.0);
        out.set_lease(lease.lease.0);
        out.set_ttl(micros(lease.ttl));
    }
}

fn cell_state(mut out: schema::cell_state::Builder<'_>, state: &CellState) {
    cell_id(out.reborrow().init_cell(), state.cell);
    let mut servers = out.reborrow().init_servers(count(state.servers.len()));
    for (i, warmth) in state.servers.iter().enumerate() {
        let mut out = servers.reborrow().get(count(i));
        out.set_server(warmth.server.0);
        out.set_limit(warmth.limit);
    }
    let mut grants = out.init_grants(count(state.grants.len()));
    for (i, grant) in state.grants.iter().enumerate() {
        let mut out = grants.reborrow().get(count(i));
        out.set_holder(grant.holder.0);
        out.set_incarnation(grant.incarnation.0);
        held_grant(out.init_held(), &grant.held);
    }
}

fn cell_id(mut out: schema::cell_id::Builder<'_>, cell: CellId) {
    out.set_pool(cell.pool.0);
    out.set_zone(cell.zone.0);
}

fn share_id(mut out: schema::share_id::Builder<'_>, share: ShareId) {
    out.set_account(share.account.0);
    out.set_zone(share.zone.0);
}

fn wide(mut out: schema::wide::Builder<'_>, number: u128) {
    let buf = number.to_be_bytes();
    let [mut high, mut low] = [[0; 8]; 2];
    high.copy_from_slice(&buf[..8]);
    low.copy_from_slice(&buf[8..]);
    out.set_high(u64::from_be_bytes(high));
    out.set_low(u64::from_be_bytes(low));
}

fn reason(reason: Reason) -> schema::Reason {
    match reason {
        Reason::BadRequest => schema::Reason::BadRequest,
        Reason::TooLarge => schema::Reason::TooLarge,
        Reason::SlowCaller => schema::Reason::SlowCaller,
        Reason::NoRoute => schema::Reason::NoRoute,
        Reason::NoKey => schema::Reason::NoKey,
        Reason::OverRate => schema::Reason::OverRate,
        Reason::Capacity => schema::Reason::Capacity,
        Reason::NoServer => schema::Reason::NoServer,
        Reason::NotReady => schema::Reason::NotReady,
        Reason::NoOwner => schema::Reason::NoOwner,
        Reason::Duplicate => schema::Reason::Duplicate,
        Reason::MaybeDuplicate => schema::Reason::MaybeDuplicate,
        // Only the edge program, which does not speak this protocol, follows streams over their servers'
        // versions and holds back parts of prompts.
        Reason::OriginUnknown | Reason::OriginGone => schema::Reason::NoServer,
        Reason::Quarantined | Reason::ServerFailed => schema::Reason::ServerFailed,
        Reason::ServerTimeout => schema::Reason::ServerTimeout,
        Reason::CallerLeft => schema::Reason::CallerLeft,
    }
}

/// Converts a duration to microseconds. Durations in messages are far below the maximum of `u64`.
fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Converts the length of a list. Lists in messages are far shorter than the maximum of `u32`.
fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
