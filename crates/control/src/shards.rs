//! The shards that this instance owns, for which it decides for the whole fleet.

use std::collections::BTreeSet;

use config::AccountSpec;
use limit::{ShareStart, split};
use model::{
    msg::{CellMsg, Handover, OutgoingMsg, TokenMsg},
    prelude::*,
};
use own::{OwnershipChange, Shard};
use sched::{Cell, CellStart, ServerConfig};

use crate::{Effect, LoadError, LoadReport, LogEntry, Metric, state::State};

impl State {
    /// Returns whether this instance may decide for a shard now: it owns the shard and has the
    /// permit.
    pub(crate) fn decides(&self, now: Time, shard: Shard) -> bool {
        self.owned_shards.is_active(shard) && self.members.has_permit(now)
    }

    /// Continues takeovers and handovers. If the permit was lost, regained, and the list has
    /// changed meanwhile, the shards are discarded and taken over again.
    pub(crate) fn update_ownership(&mut self, now: Time) {
        let changes = self.owned_shards.tick(now, &self.members);
        self.apply_changes(now, changes);
    }

    /// Updates the owned shards after the instance list or the configuration has changed.
    pub(crate) fn refresh_shards(&mut self, now: Time) {
        let shards = self.zone_shards();
        let changes = self.owned_shards.refresh(&self.members, shards);
        self.apply_changes(now, changes);
        self.update_ownership(now);
    }

    /// Returns the shards of this instance's availability zone; it may own only these.
    fn zone_shards(&self) -> Vec<Shard> {
        let zone = self.setup.zone;
        let accounts = self.catalog.accounts.keys();
        let has_shares = self.catalog.share_zones().contains(&zone);
        let shares = accounts.filter(|_| has_shares);
        let shares = shares.map(|account| Shard::Share(ShareId { account: *account, zone }));
        let cells = self.catalog.cells().into_iter().filter(|cell| cell.zone == zone);
        shares.chain(cells.map(Shard::Cell)).collect()
    }

    fn apply_changes(&mut self, now: Time, changes: Vec<OwnershipChange>) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                OwnershipChange::TakeOver(Shard::Share(share)) => {
                    self.open_share(now, share, ShareStart::Empty);
                }
                OwnershipChange::TakeOver(Shard::Cell(cell)) => {
                    self.open_cell(now, cell, CellStart::Fresh);
                }
                OwnershipChange::HandOver { shard, to } => self.hand_over(now, shard, to),
                OwnershipChange::Discard(shard) => self.discard_shard(now, shard),
            }
        }
        let owned = u32::try_from(self.owned_shards.active().count()).unwrap_or(u32::MAX);
        self.out.effects.push(Effect::Count(Metric::ShardsOwned(owned)));
    }

    fn open_share(&mut self, now: Time, share: ShareId, start: ShareStart) {
        let Some(spec) = self.catalog.accounts.get(&share.account) else { return };
        let zones = self.catalog.share_zones();
        let Some(part) = part_of(spec, share, &zones) else { return };
        if start == ShareStart::Empty {
            self.hold_off_until = now + self.hold_off();
        }
        self.shares.open(now, share, part, start);
        self.out.log(LogEntry::ShardTaken { shard: Shard::Share(share).to_string() });
    }

    fn open_cell(&mut self, now: Time, id: CellId, start: CellStart) {
        let is_fresh = matches!(start, CellStart::Fresh);
        let cell = Cell::new(now, id, self.setup.policy, start).owned_by(self.setup.me);
        self.cells.insert(id, cell);
        self.configure_cell(now, id);
        if is_fresh {
            let all: Vec<_> = self.members.iter().map(|(instance, _)| instance).collect();
            let Some(cell) = self.cells.get_mut(&id) else { return };
            let replies = cell.reclaim_from(now, all);
            self.send_cell(replies);
        }
        self.refresh_watches();
        self.out.log(LogEntry::ShardTaken { shard: Shard::Cell(id).to_string() });
    }

    /// Closes a shard and sends its state to the new owner.
    fn hand_over(&mut self, now: Time, shard: Shard, to: InstanceId) {
        let state = match shard {
            Shard::Share(share) => self.shares.close(now, share).map(Handover::Share),
            Shard::Cell(id) => self.cells.remove(&id).map(|cell| Handover::Cell(cell.handover())),
        };
        if let Some(state) = state {
            self.send(to, Msg::Handover(state));
        }
        self.shard_released(shard);
    }

    /// Closes a shard without a handover.
    fn discard_shard(&mut self, now: Time, shard: Shard) {
        match shard {
            Shard::Share(share) => drop(self.shares.close(now, share)),
            Shard::Cell(id) => drop(self.cells.remove(&id)),
        }
        self.shard_released(shard);
    }

    fn shard_released(&mut self, shard: Shard) {
        self.refresh_watches();
        self.out.log(LogEntry::ShardReleased { shard: shard.to_string() });
    }

    /// Handles a handover from the former owner of a shard: uses the shard at once if this instance
    /// waits to take it over.
    pub(crate) fn handover(&mut self, now: Time, handover: Handover) {
        let shard = match &handover {
            Handover::Share(state) => Shard::Share(state.share),
            Handover::Cell(state) => Shard::Cell(state.cell),
        };
        if !self.owned_shards.accept_handover(shard) {
            return;
        }
        match handover {
            Handover::Share(state) => {
                self.open_share(now, state.share, ShareStart::HandedOver(state));
            }
            Handover::Cell(state) => self.open_cell(now, state.cell, CellStart::HandedOver(state)),
        }
    }

    /// Applies a new configuration to the owned shards.
    pub(crate) fn configure_shards(&mut self, now: Time) {
        self.refresh_shards(now);
        let zones = self.catalog.share_zones();
        for share in self.shares.ids() {
            let spec = self.catalog.accounts.get(&share.account);
            if let Some(part) = spec.and_then(|spec| part_of(spec, share, &zones)) {
                self.shares.resize(now, share, part);
            }
        }
        let cells: Vec<_> = self.cells.keys().copied().collect();
        for cell in cells {
            self.configure_cell(now, cell);
        }
        self.refresh_watches();
    }

    fn configure_cell(&mut self, now: Time, id: CellId) {
        let Some(cell) = self.cells.get_mut(&id) else { return };
        for (account, spec) in &self.catalog.accounts {
            cell.set_weight(*account, spec.weight);
        }
        let servers = self.catalog.servers.iter().filter(|(_, spec)| spec.cell == id);
        let servers = servers.map(|(server, spec)| ServerConfig {
            id: *server,
            limit: spec.limit,
            cold_limit: spec.cold_limit,
            open: spec.open,
        });
        let replies = cell.set_servers(now, servers);
        self.send_cell(replies);
    }

    /// Starts and stops reading the load of backend servers, so that those of the owned cells are
    /// read and no others.
    fn refresh_watches(&mut self) {
        let servers = self.catalog.servers.iter();
        let owned = servers.filter(|(_, spec)| self.cells.contains_key(&spec.cell));
        let wanted: BTreeSet<_> = owned.map(|(id, _)| *id).collect();
        for server in self.watched.difference(&wanted) {
            self.orders.remove(*server);
            self.out.effects.push(Effect::Unwatch { server: *server });
        }
        for server in wanted.difference(&self.watched) {
            let address = self.catalog.servers[server].address;
            self.out.effects.push(Effect::Watch { server: *server, address });
        }
        self.watched = wanted;
    }

    /// Handles a load report of a backend server, or the failure to read one.
    pub(crate) fn load(
        &mut self,
        now: Time,
        server: ServerId,
        report: Result<LoadReport, LoadError>,
    ) {
        let Some(spec) = self.catalog.servers.get(&server) else { return };
        if let Ok(report) = &report {
            self.orders.incarnation_seen(server, report.incarnation);
        }
        let Some(cell) = self.cells.get_mut(&spec.cell) else { return };
        let replies = cell.handle_load(now, server, report);
        if self.decides(now, Shard::Cell(spec.cell)) {
            self.send_cell(replies);
        }
    }

    pub(crate) fn tick_shards(&mut self, now: Time) {
        if !self.members.has_permit(now) {
            return;
        }
        let replies = self.shares.tick(now);
        self.send_token(replies);
        let mut replies = Vec::new();
        for cell in self.cells.values_mut() {
            replies.extend(cell.tick(now));
        }
        self.send_cell(replies);
        let send_orders = self.orders.next(now, &self.catalog, &self.watched);
        self.out.effects.extend(send_orders);
    }

    /// Handles a message about tokens: one for the owner of a share, or its reply.
    pub(crate) fn token_message(&mut self, now: Time, from: Peer, msg: &TokenMsg) {
        match *msg {
            TokenMsg::Give { .. } | TokenMsg::Queued { .. } | TokenMsg::Deny { .. } => {
                let out = self.token_client.handle(now, msg);
                self.handle_token_output(now, out);
            }
            TokenMsg::Ask { ask, share, wait } if !self.decides(now, Shard::Share(share)) => {
                let reason = Reason::NoOwner;
                let msg = TokenMsg::Deny { ask, share, reason, retry_after: wait };
                self.send(from.instance, Msg::Token(msg));
            }
            _ => {
                let replies = self.shares.handle(now, from, msg);
                self.send_token(replies);
            }
        }
    }

    /// Handles a message for the owner of a cell. If this instance does not own it, it refuses an
    /// acquire and ignores other messages.
    pub(crate) fn cell_owner_message(&mut self, now: Time, from: Peer, id: CellId, msg: &CellMsg) {
        if !self.decides(now, Shard::Cell(id)) {
            if let CellMsg::Acquire(acquire) = msg {
                let ticket = acquire.ticket;
                let reason = Reason::NoOwner;
                let msg = CellMsg::Refuse { ticket, cell: id, reason, retry_after: acquire.wait };
                self.send(from.instance, Msg::Cell(msg));
            }
            return;
        }
        let Some(cell) = self.cells.get_mut(&id) else { return };
        let replies = cell.handle(now, from, msg);
        self.send_cell(replies);
    }

    /// Frees the grants of all incarnations of an instance but `keep`.
    pub(crate) fn instance_gone(
        &mut self,
        now: Time,
        instance: InstanceId,
        keep: Option<Incarnation>,
    ) {
        let mut replies = Vec::new();
        for cell in self.cells.values_mut() {
            replies.extend(cell.instance_gone(now, instance, keep));
        }
        if self.members.has_permit(now) {
            self.send_cell(replies);
        }
    }

    /// Frees what instances held that are not in the list any more.
    pub(crate) fn free_unlisted(&mut self, now: Time) {
        let listed: BTreeSet<_> = self.members.iter().map(|(id, _)| id).collect();
        let gone: Vec<_> = self.listed.difference(&listed).copied().collect();
        self.distrust_unknown_keys(now, gone.len());
        for instance in gone {
            self.instance_gone(now, instance, None);
        }
        self.listed = listed;
    }

    /// Stops trusting that an unknown idempotency key is new, after two instances were removed
    /// within [`once::RETENTION`]: they may have been the only ones that remembered the key.
    fn distrust_unknown_keys(&mut self, now: Time, gone: usize) {
        let recent = self.last_removal_at.is_some_and(|at| now < at + once::RETENTION);
        if gone + usize::from(recent) > 1 {
            self.held_keys.distrust_unknown(now);
        }
        if gone > 0 {
            self.last_removal_at = Some(now);
        }
    }

    fn send_token(&mut self, replies: Vec<OutgoingMsg<TokenMsg>>) {
        for reply in replies {
            self.send(reply.to, Msg::Token(reply.msg));
        }
    }

    pub(crate) fn send_cell(&mut self, replies: Vec<OutgoingMsg<CellMsg>>) {
        for reply in replies {
            self.send(reply.to, Msg::Cell(reply.msg));
        }
    }
}

/// Returns the limits of a share, or `None` if its zone has no share of the account.
fn part_of(account: &AccountSpec, share: ShareId, zones: &[ZoneId]) -> Option<limit::ShareSpec> {
    let parts = split(share.account, account.rate, account.burst, zones);
    parts.into_iter().find(|part| part.share == share).map(|part| part.spec)
}
