//! What the platform and other instances tell.

use std::{collections::BTreeSet, sync::Arc};

use gossip::{Load, Packet, ServerTag};
use model::prelude::*;

use crate::{
    Catalog, Effect, LogEntry, ServerChange, ServerEntry, ServerKey, request::Stage, state::State,
};

/// Time for the entry of a server that lapsed while the store was away to be listed again: the
/// users state two seconds after the store's return.
const LAPSE_TIME: Duration = Duration::from_millis(2_000);
/// Time after the start in which gossip names the members of a small fleet: some packets of each.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// Added to [`SETTLE_TIME`] for each member that was heard of: a fleet of 340 that starts at once
/// needs up to 20 s until every member knows all.
const SETTLE_TIME_PER_MEMBER: Duration = Duration::from_millis(60);
/// The longest time for which an entry may say that its server is cold; more is a mistake.
const MAX_ENTRY_COLD: Duration = Duration::from_secs(60);

impl State {
    pub(crate) fn config(&mut self, now: Time, catalog: Arc<Catalog>) {
        let known = self.catalog.as_ref().map(|it| it.version);
        if known >= Some(catalog.version) {
            return;
        }
        let (version, routes) = (catalog.version, catalog.route_count());
        self.catalog = Some(catalog);
        self.note(LogEntry::Config { version, routes });
        self.recheck_keys(now);
        self.dispatch_all(now);
    }

    /// Takes a whole list: what is not on it is not listed any more.
    pub(crate) fn listed(&mut self, now: Time, entries: Vec<ServerEntry>) {
        let listed: BTreeSet<ServerId> = entries.iter().map(ServerEntry::id).collect();
        for entry in entries {
            self.server_listed(now, entry);
        }
        let missing = self.servers.iter().filter(|it| !listed.contains(&it.1.id));
        let missing: Vec<_> = missing.map(|it| it.1.id).collect();
        for id in missing {
            self.server_unlisted(now, id);
        }
        self.is_listed = true;
        self.dispatch_all(now);
    }

    pub(crate) fn server(&mut self, now: Time, change: ServerChange) {
        match change {
            ServerChange::Listed(entry) => self.server_listed(now, entry),
            ServerChange::Unlisted(id) => self.server_unlisted(now, id),
        }
        self.dispatch_all(now);
    }

    fn server_listed(&mut self, now: Time, mut entry: ServerEntry) {
        entry.cold = entry.cold.min(MAX_ENTRY_COLD);
        let Some(key) = self.servers.by_id(entry.id()) else {
            return self.server_found(now, entry);
        };
        let cold_start = self.cold_start(entry.pool);
        let Some(server) = self.servers.get_mut(key) else { return };
        let old = std::mem::replace(&mut server.entry, entry);
        let entry = server.entry.clone();
        server.lapsed_at = None;
        server.chill(now, entry.cold);
        let is_restarted = old.incarnation != entry.incarnation || old.address != entry.address;
        if is_restarted {
            server.restarted(now, cold_start);
            self.emit(Effect::Disconnect { address: old.address });
        }
        if old.pool != entry.pool {
            self.servers.remove(key);
            self.servers.insert(now, entry.clone());
        }
        if entry.is_draining && !old.is_draining {
            self.note(LogEntry::ServerLost { server: entry.name, why: "draining" });
        }
    }

    fn server_found(&mut self, now: Time, entry: ServerEntry) {
        let (server, cold) = (Arc::clone(&entry.name), entry.cold);
        self.servers.insert(now, entry);
        self.note(LogEntry::ServerFound { server, cold });
    }

    fn server_unlisted(&mut self, now: Time, id: ServerId) {
        let Some(key) = self.servers.by_id(id) else { return };
        let is_doubtful = self.was_store_away();
        let Some(server) = self.servers.get_mut(key) else { return };
        if is_doubtful && !server.entry.is_draining {
            server.lapsed_at.get_or_insert(now);
            return;
        }
        self.server_gone(key, "not listed");
    }

    /// Returns whether the store was away until now, so that entries have lapsed for want of a place
    /// to report to. Where another instance could read it meanwhile, only this one was cut off.
    fn was_store_away(&self) -> bool {
        self.outage.is_some_and(|since| self.peer_read_at.is_none_or(|it| it <= since))
    }

    fn server_gone(&mut self, key: ServerKey, why: &'static str) {
        let Some(server) = self.servers.remove(key) else { return };
        self.emit(Effect::Disconnect { address: server.entry.address });
        self.note(LogEntry::ServerLost { server: server.entry.name, why });
    }

    /// Drops servers that were not listed again after the store came back.
    pub(crate) fn drop_lapsed(&mut self, now: Time) {
        let is_over = |it: Option<Time>| it.is_some_and(|at| now.since(at) >= LAPSE_TIME);
        let lapsed = self.servers.iter().filter(|it| is_over(it.1.lapsed_at));
        let lapsed: Vec<_> = lapsed.map(|it| it.0).collect();
        for key in lapsed {
            self.server_gone(key, "lapsed while the store was away");
        }
    }

    pub(crate) fn withdrawn(&mut self, now: Time, zones: BTreeSet<ZoneId>) {
        if zones == self.servers.withdrawn {
            return;
        }
        let count = zones.len();
        let former = std::mem::replace(&mut self.servers.withdrawn, zones);
        let returned: Vec<_> = former.difference(&self.servers.withdrawn).copied().collect();
        // Servers of a zone that comes back may have been restarted meanwhile.
        let back = self.servers.iter().filter(|it| returned.contains(&it.1.entry.zone));
        for key in back.map(|it| it.0).collect::<Vec<_>>() {
            self.chill(now, key);
        }
        self.note(LogEntry::ZonesEvacuated { zones: count });
        self.dispatch_all(now);
    }

    /// Takes a server for cold that may have been restarted.
    pub(crate) fn chill(&mut self, now: Time, key: ServerKey) {
        let Some(pool) = self.servers.get(key).map(|it| it.entry.pool) else { return };
        let cold_start = self.cold_start(pool);
        if let Some(server) = self.servers.get_mut(key) {
            server.chill(now, cold_start);
        }
    }

    fn cold_start(&self, pool: PoolId) -> Duration {
        let pool = self.catalog.as_ref().and_then(|it| it.pools.get(&pool));
        pool.map_or(Duration::ZERO, |it| it.cold_start)
    }

    pub(crate) fn packet(&mut self, now: Time, packet: Packet) {
        let Some(heard) = self.members.receive(now, packet) else { return };
        if heard.is_new {
            let alive = self.members.alive_count();
            self.note(LogEntry::MemberFound { address: heard.sender.address, alive });
        }
        if let Some(as_of) = heard.as_of {
            self.peer_read_at = self.peer_read_at.max(Some(as_of));
            self.freshness.told(heard.view_status.view, as_of);
            if self.freshness.is_behind(heard.view_status.view) && !self.is_behind {
                self.is_behind = true;
                self.emit(Effect::ReadPlatform);
            }
        }
        self.loads.update(now, heard.sender.address, heard.loads);
        self.update_share(now);
    }

    /// Sends what is due to other instances.
    pub(crate) fn gossip(&mut self, now: Time) {
        self.loads.expire(now);
        if now < self.members.next_wake() {
            return;
        }
        let loads = self.own_loads();
        let (packets, died) = self.members.tick(now, self.freshness.knowledge(now), &loads);
        for outgoing in packets {
            self.emit(Effect::Send(outgoing));
        }
        for card in died {
            let alive = self.members.alive_count();
            self.note(LogEntry::MemberLost { address: card.address, alive });
        }
        self.update_share(now);
    }

    fn own_loads(&self) -> Vec<Load> {
        let busy = self.servers.iter().filter(|it| it.1.attempts > 0);
        let load = |it: (ServerKey, &crate::Server)| Load {
            server: ServerTag::from(it.1.id),
            attempts: u16::try_from(it.1.attempts).unwrap_or(u16::MAX),
            prefill_tokens: u32::try_from(it.1.prefill).unwrap_or(u32::MAX),
        };
        busy.map(load).collect()
    }

    fn update_share(&mut self, now: Time) {
        let members = u32::try_from(self.members.possible_count()).unwrap_or(u32::MAX);
        let settling = SETTLE_TIME + SETTLE_TIME_PER_MEMBER.saturating_mul(members);
        let is_settled = now.since(self.started) >= settling;
        self.share.update(self.members.addresses(), is_settled);
    }

    /// Refuses requests that wait with a key that is not in force any more.
    fn recheck_keys(&mut self, now: Time) {
        let Some(catalog) = self.catalog.clone() else { return };
        for key in self.queue.keys() {
            let Some(req) = self.requests.get(key) else { continue };
            let Some(hash) = &req.routed.key else { continue };
            let account = catalog.accounts.as_ref().and_then(|it| it.get(hash));
            if account != req.routed.account.as_ref() && matches!(req.stage, Stage::Waiting(_)) {
                let refusal = req.refusal(Reason::NoKey);
                self.refuse(now, key, refusal);
            }
        }
    }
}
