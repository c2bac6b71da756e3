//! Changes of the configuration, of the server list and of the members of the fleet.

use std::{collections::BTreeSet, sync::Arc};

use gossip::{Load, Packet, RankedLoad, ServerTag, TotalLoad};
use model::prelude::*;

use crate::{
    Account, Catalog, Effect, FleetKnowledge, LogEntry, ServerChange, ServerEntry, ServerKey,
    reading::EXPIRED_ENTRY_GRACE, request::Stage, state::State,
};

/// Time from the start after which gossip has found the members of a small fleet, from a few
/// packets of each. Until then the fleet is assumed to be larger than it seems.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// Added to [`SETTLE_TIME`] for each known member: when 340 instances start at once, it takes up to
/// 20 s until each knows all others.
const SETTLE_TIME_PER_MEMBER: Duration = Duration::from_millis(60);
/// The same for an instance that has heard of no other, although its settings name some: they may be
/// restarting, or a network partition may keep them away for a while.
const ALONE_SETTLE_TIME: Duration = Duration::from_secs(10);
/// The longest time for which the entry of a server can make it cold. A longer time is taken for an
/// error, which would keep requests from the server.
const MAX_ENTRY_COLD: Duration = Duration::from_secs(60);

impl State {
    /// Puts a configuration in force if it is newer than the current one.
    pub(crate) fn config(&mut self, now: Time, catalog: Arc<Catalog>) {
        let known = self.catalog.as_ref().map(|catalog| catalog.version);
        if known >= Some(catalog.version) {
            return;
        }
        let (version, routes) = (catalog.version, catalog.route_count());
        let (view_age, origin) = (self.view_age(now), catalog.origin);
        self.catalog = Some(catalog);
        self.log(LogEntry::Config { version, routes, view_age, origin });
        self.recheck_keys(now);
        self.dispatch_all(now);
    }

    /// Replaces the server list: servers that are not among `entries` are not listed any more.
    pub(crate) fn servers_listed(&mut self, now: Time, entries: Vec<ServerEntry>) {
        let listed: BTreeSet<ServerId> = entries.iter().map(ServerEntry::id).collect();
        for entry in entries {
            self.server_listed(now, entry);
        }
        let missing = self.servers.iter().filter(|pair| !listed.contains(&pair.1.id));
        let missing: Vec<_> = missing.map(|pair| pair.1.id).collect();
        for id in missing {
            self.server_unlisted(now, id);
        }
        self.has_server_list = true;
        // Servers may have come and left since the last list.
        self.software_use.known_from(now);
        self.dispatch_all(now);
    }

    pub(crate) fn server_changed(&mut self, now: Time, change: ServerChange) {
        match change {
            ServerChange::Listed(entry) => self.server_listed(now, entry),
            ServerChange::Unlisted(id) => self.server_unlisted(now, id),
        }
        self.dispatch_all(now);
    }

    fn server_listed(&mut self, now: Time, mut entry: ServerEntry) {
        entry.cold = entry.cold.min(MAX_ENTRY_COLD);
        let Some(key) = self.servers.by_id(entry.id()) else {
            return self.server_added(now, entry);
        };
        let cold_start = self.cold_start(entry.pool);
        let Some(server) = self.servers.get_mut(key) else { return };
        let old = std::mem::replace(&mut server.entry, entry);
        let entry = server.entry.clone();
        server.expired_at = None;
        server.mark_cold(now, entry.cold);
        let is_other_version = old.software != entry.software;
        let is_restarted = old.incarnation != entry.incarnation
            || old.address != entry.address
            || is_other_version;
        if is_other_version {
            self.version_left(now, old.id(), old.pool, old.software);
            self.doubt_streams_at(now, old.id());
        }
        let Some(server) = self.servers.get_mut(key) else { return };
        if is_restarted {
            server.restarted(now, cold_start);
            self.emit(Effect::Disconnect { address: old.address });
        }
        if old.pool != entry.pool {
            self.servers.remove(key);
            self.servers.insert(now, entry.clone());
        }
        if entry.is_draining && !old.is_draining {
            let unsent = self.servers.get(key).map_or(0, |server| server.unsent);
            let view_age = self.view_age(now);
            let why = "draining";
            self.log(LogEntry::ServerLost { server: entry.name, why, unsent, view_age });
        }
    }

    fn server_added(&mut self, now: Time, entry: ServerEntry) {
        let (server, cold) = (Arc::clone(&entry.name), entry.cold);
        let former = self.software_use.former(entry.id());
        if former.is_some_and(|it| it != entry.software) {
            self.doubt_streams_at(now, entry.id());
        }
        self.servers.insert(now, entry);
        self.log(LogEntry::ServerFound { server, cold });
    }

    fn server_unlisted(&mut self, now: Time, id: ServerId) {
        let Some(key) = self.servers.by_id(id) else {
            // It came and left between two reads, and may have been of any version.
            return self.software_use.known_from(now);
        };
        let expired_at = self.entries_expired_at(now);
        let Some(server) = self.servers.get_mut(key) else { return };
        if let (Some(expired_at), false) = (expired_at, server.entry.is_draining) {
            let is_first = server.expired_at.is_none();
            server.expired_at.get_or_insert(expired_at);
            let server = Arc::clone(&server.entry.name);
            if is_first {
                let view_age = self.view_age(now);
                let failing = self.failing_since.map(|since| now.since(since));
                self.log(LogEntry::ServerExpired { server, view_age, failing });
            }
            return;
        }
        self.remove_server(now, key, "not listed");
    }

    fn remove_server(&mut self, now: Time, key: ServerKey, why: &'static str) {
        let Some(server) = self.servers.remove(key) else { return };
        self.version_left(now, server.id, server.entry.pool, server.entry.software);
        self.emit(Effect::Disconnect { address: server.entry.address });
        let (unsent, view_age) = (server.unsent, self.view_age(now));
        self.log(LogEntry::ServerLost { server: server.entry.name, why, unsent, view_age });
    }

    /// Removes the servers that were not listed again after the store came back.
    pub(crate) fn remove_expired_servers(&mut self, now: Time) {
        let is_over =
            |time: Option<Time>| time.is_some_and(|at| now.since(at) >= EXPIRED_ENTRY_GRACE);
        let expired = self.servers.iter().filter(|pair| is_over(pair.1.expired_at));
        let expired: Vec<_> = expired.map(|pair| pair.0).collect();
        for key in expired {
            self.remove_server(now, key, "lapsed while the store was away");
        }
    }

    /// Replaces the set of evacuated zones, whose servers get no requests.
    pub(crate) fn evacuated_zones(&mut self, now: Time, zones: BTreeSet<ZoneId>) {
        if zones == self.servers.evacuated_zones {
            return;
        }
        let count = zones.len();
        let former = std::mem::replace(&mut self.servers.evacuated_zones, zones);
        let returned: Vec<_> = former.difference(&self.servers.evacuated_zones).copied().collect();
        // Servers of a zone that is back in use may have been restarted meanwhile.
        let back = self.servers.iter().filter(|pair| returned.contains(&pair.1.entry.zone));
        for key in back.map(|pair| pair.0).collect::<Vec<_>>() {
            self.mark_cold(now, key);
        }
        self.log(LogEntry::ZonesEvacuated { zones: count });
        self.dispatch_all(now);
    }

    /// Treats a server as cold for the cold start of its pool, as it may have been restarted.
    pub(crate) fn mark_cold(&mut self, now: Time, key: ServerKey) {
        let Some(pool) = self.servers.get(key).map(|server| server.entry.pool) else { return };
        let cold_start = self.cold_start(pool);
        if let Some(server) = self.servers.get_mut(key) {
            server.mark_cold(now, cold_start);
        }
    }

    /// Returns how long servers of a pool are cold after a start.
    fn cold_start(&self, pool: PoolId) -> Duration {
        let pool = self.catalog.as_ref().and_then(|catalog| catalog.pools.get(&pool));
        pool.map_or(Duration::ZERO, |pool| pool.cold_start)
    }

    /// Handles a packet of another instance.
    pub(crate) fn packet(&mut self, now: Time, packet: Packet) {
        let Some(update) = self.members.receive(now, packet) else { return };
        if update.is_new {
            let alive = self.members.alive_count();
            self.log(LogEntry::MemberFound { address: update.sender.address, alive });
            self.ask_new_member(update.sender.address);
        }
        self.peer_view(now, update.sender.address, update.view_status.view, update.as_of);
        let from = update.sender.address;
        self.loads.update(now, from, &update.loads, &update.ranked_loads);
        if !update.evidence.is_empty() {
            self.quarantine.merge(now, &update.evidence);
            self.update_quarantine(now);
        }
        if !update.limits.is_empty() {
            self.heed_limit_report(now, &update.limits);
        }
        if !update.leaving.is_empty() {
            self.heed_leaving_report(now, &update.leaving);
        }
        if self.members.possible_count() != self.share.known_members() {
            self.update_share(now);
        }
    }

    /// Sends the packets that are due to other instances.
    pub(crate) fn gossip(&mut self, now: Time) {
        self.loads.expire(now);
        if now < self.members.next_wake() {
            return;
        }
        // Where sums reach everybody, packets do not repeat a part of them.
        let (loads, ranked_loads) =
            if self.knows_fleet_loads() { <_>::default() } else { self.own_loads() };
        let evidence = self.quarantine.report(now);
        let leaving = self.leaving_report(now);
        let limits = self.limit_report(now);
        let (packets, died) = self.members.tick(now, self.freshness.view_status(now), &loads);
        for mut outgoing in packets {
            outgoing.packet.ranked_loads.clone_from(&ranked_loads);
            outgoing.packet.evidence.clone_from(&evidence);
            outgoing.packet.leaving.clone_from(&leaving);
            outgoing.packet.limits.clone_from(&limits);
            self.emit(Effect::Send(outgoing));
        }
        for member in died {
            let alive = self.members.alive_count();
            self.log(LogEntry::MemberLost { address: member.address, alive });
        }
        self.update_share(now);
        self.probe_parent(now);
    }

    /// Returns the load of this instance at each server, and its parts by rank.
    fn own_loads(&self) -> (Vec<Load>, Vec<RankedLoad>) {
        let (mut loads, mut ranked) = (Vec::new(), Vec::new());
        let attempts = |load: TotalLoad| u16::try_from(load.attempts).unwrap_or(u16::MAX);
        let prefill_tokens =
            |load: TotalLoad| u32::try_from(load.prefill_tokens).unwrap_or(u32::MAX);
        for server in self.servers.iter().map(|pair| pair.1) {
            let total = server.load.total();
            if total.attempts == 0 {
                continue;
            }
            if let Ok(index) = u8::try_from(loads.len()) {
                ranked.extend(server.load.iter().map(|(rank, load)| RankedLoad {
                    load: index,
                    rank,
                    attempts: attempts(load),
                    prefill_tokens: prefill_tokens(load),
                }));
            }
            loads.push(Load {
                server: ServerTag::from(server.id),
                attempts: attempts(total),
                prefill_tokens: prefill_tokens(total),
            });
        }
        (loads, ranked)
    }

    /// Updates the members among which the limits of the fleet are divided.
    fn update_share(&mut self, now: Time) {
        let members = u32::try_from(self.members.possible_count()).unwrap_or(u32::MAX);
        let settling = SETTLE_TIME + SETTLE_TIME_PER_MEMBER.saturating_mul(members);
        let is_alone = members == 1 && self.members.has_seeds();
        let settling = if is_alone { ALONE_SETTLE_TIME } else { settling };
        let knowledge = if now.since(self.started_at) < settling {
            FleetKnowledge::Unsettled
        } else if is_alone {
            FleetKnowledge::Alone
        } else {
            FleetKnowledge::Settled
        };
        let former = self.share.size();
        self.share.update(now, self.members.addresses(), knowledge);
        let divisor = self.share.size();
        if divisor != former {
            let members = self.share.known_members();
            self.log(LogEntry::LimitDivisor { divisor, members });
        }
    }

    /// Refuses the waiting requests whose key the configuration does not contain any more.
    fn recheck_keys(&mut self, now: Time) {
        let Some(catalog) = self.catalog.clone() else { return };
        for key in self.queue.keys().into_iter().chain(self.searching.clone()) {
            let Some(req) = self.requests.get(key) else { continue };
            let Some(hash) = &req.routed.key else { continue };
            let account = catalog.accounts.as_ref().and_then(|accounts| accounts.get(hash));
            // Another account may have got the key. A new tier of the same one revokes nothing.
            let is_revoked = account_name(account) != account_name(req.routed.account.as_ref());
            if is_revoked && matches!(req.stage, Stage::Waiting(_) | Stage::Searching(_)) {
                let refusal = req.refusal(Reason::NoKey);
                self.refuse(now, key, refusal);
            }
        }
    }
}

fn account_name(account: Option<&Arc<Account>>) -> Option<&str> {
    account.map(|account| &*account.name)
}
