//! Membership: heartbeats, the instance list, and how documents spread between instances.

use std::sync::Arc;

use config::{Catalog, Config, InstanceList, InstanceState};
use model::{
    msg::{ConfigDoc, Heartbeat},
    prelude::*,
};
use own::{DueHeartbeat, ListEntry};
use rand::RngExt as _;

use crate::{
    Effect, LogEntry, Metric,
    state::{Phase, State},
};

/// Time between two requests to the seeds for the documents, while one of them is missing.
const SEED_INTERVAL: Duration = Duration::from_millis(500);

/// Stands for a receiver of which only the address is known.
const UNKNOWN_INSTANCE: InstanceId = InstanceId(0);

impl State {
    /// Handles an instance list from the platform; the read began at `asked_at`.
    pub(crate) fn list_read(&mut self, now: Time, asked_at: Time, list: &InstanceList) {
        self.docs.list_down = false;
        let version = Version(list.version);
        let is_new = self.members.list_read(now, asked_at, version, listed(list));
        self.use_list(now, is_new, list);
    }

    /// Handles an instance list from another instance. Unlike a read from the platform, it does not
    /// count for the permit to use shards.
    pub(crate) fn list_received(&mut self, now: Time, text: &str) {
        let Ok(list) = InstanceList::parse(text) else { return };
        let is_new = self.members.list_received(now, Version(list.version), listed(&list));
        self.use_list(now, is_new, &list);
    }

    fn use_list(&mut self, now: Time, is_new: bool, list: &InstanceList) {
        if !is_new {
            return;
        }
        self.docs.list = serde_json::to_string(list).ok().map(Arc::from);
        let count = u32::try_from(self.members.iter().count()).unwrap_or(u32::MAX);
        self.static_limits = limit::StaticLimits::new(count);
        self.free_unlisted(now);
        self.refresh_shards(now);
        self.heartbeat_all(now);
    }

    /// Handles a failed read of a platform service. Only the first failure in a row is logged.
    pub(crate) fn platform_failed(&mut self, service: &'static str) {
        let down = match service {
            "instance list" => &mut self.docs.list_down,
            _ => &mut self.docs.config_down,
        };
        if !std::mem::replace(down, true) {
            self.out.log(LogEntry::PlatformDown { service });
        }
    }

    /// Handles a configuration document from the platform or another instance. A version that is
    /// not higher than the one in force changes nothing.
    pub(crate) fn config_received(&mut self, now: Time, text: Arc<str>) {
        self.docs.config_down = false;
        if self.docs.config.as_deref() == Some(&*text) {
            return;
        }
        let cfg = match Config::parse(&text) {
            Ok(cfg) => cfg,
            Err(findings) => return self.config_rejected(findings.to_string()),
        };
        if Version(cfg.version) <= self.catalog.version {
            return;
        }
        self.docs.rejected = None;
        self.docs.config = Some(text);
        self.catalog = Arc::new(Catalog::new(&cfg));
        let version = self.catalog.version;
        self.out.effects.push(Effect::Install(Arc::clone(&self.catalog)));
        self.out.effects.push(Effect::Count(Metric::ConfigAccepted));
        self.out.log(LogEntry::ConfigInForce { version });
        self.configure_shards(now);
        self.recheck_keys(now);
    }

    fn config_rejected(&mut self, findings: String) {
        if self.docs.rejected.as_deref() == Some(&*findings) {
            return;
        }
        self.docs.rejected = Some(findings.clone());
        self.out.effects.push(Effect::Count(Metric::ConfigRejected));
        self.out.log(LogEntry::ConfigRejected { version: None, findings });
    }

    /// Sends the documents in use to an instance that asks for them.
    pub(crate) fn send_docs(&mut self, to: InstanceId) {
        if let Some(text) = self.docs.config.clone() {
            let version = self.catalog.version;
            self.send(to, Msg::ConfigDoc(ConfigDoc { version, text }));
        }
        if let Some(text) = self.docs.list.clone() {
            let version = self.members.list_version();
            self.send(to, Msg::ListDoc(ConfigDoc { version, text }));
        }
    }

    /// Asks the seeds for the documents while one of them is missing: the platform may be down.
    pub(crate) fn ask_seeds(&mut self, now: Time) {
        let knows_all = self.docs.config.is_some() && self.docs.list.is_some();
        if knows_all || now < self.docs.next_seed_ask {
            return;
        }
        self.docs.next_seed_ask = now + SEED_INTERVAL;
        for address in self.setup.seeds.clone() {
            let msg = Msg::ConfigPull;
            self.out.effects.push(Effect::Send { to: UNKNOWN_INSTANCE, address, msg });
        }
    }

    /// Records that the sender of a message is alive, and frees what its earlier incarnations
    /// held.
    pub(crate) fn sender_seen(&mut self, now: Time, from: Peer) {
        let update = self.members.message_received(now, from);
        if update.restarted {
            self.instance_gone(now, from.instance, Some(from.incarnation));
        }
        if update.owners_changed {
            self.refresh_shards(now);
        }
    }

    /// Handles a heartbeat: acknowledges it, and asks for documents that are newer than those here.
    pub(crate) fn heartbeat(&mut self, now: Time, from: Peer, msg: &Heartbeat) {
        let update = self.members.heartbeat_received(from, msg);
        if update.owners_changed {
            self.refresh_shards(now);
        }
        for load in &msg.cells {
            self.cell_loads.insert(load.cell, *load);
        }
        if msg.config > self.catalog.version || msg.list > self.members.list_version() {
            self.send(from.instance, Msg::ConfigPull);
        }
        if !msg.ack {
            let reply = self.new_heartbeat(now, msg.nonce, true);
            self.send(from.instance, reply);
        }
    }

    /// Sends the heartbeats that are due: to all instances while this one joins or waits to take
    /// shards over, as it needs all acknowledgements then.
    pub(crate) fn send_heartbeats(&mut self, now: Time) {
        let is_joining = matches!(self.phase, Phase::Joining { .. });
        let all = is_joining || self.owned_shards.waiting() > 0;
        let rng = &mut self.rng;
        let due = self.members.due_heartbeats(now, all, |below| rng.random_range(0..below));
        self.send_each(now, due);
    }

    /// Sends a heartbeat to all instances at once, so that they learn of a change without delay.
    pub(crate) fn heartbeat_all(&mut self, now: Time) {
        let due = self.members.heartbeats_to_all(now);
        self.send_each(now, due);
    }

    fn send_each(&mut self, now: Time, due: Vec<DueHeartbeat>) {
        for hb in due {
            let msg = self.new_heartbeat(now, hb.nonce, false);
            self.out.effects.push(Effect::Send { to: hb.to, address: hb.address, msg });
        }
    }

    fn new_heartbeat(&self, now: Time, nonce: Nonce, ack: bool) -> Msg {
        Msg::Heartbeat(Heartbeat {
            nonce,
            ack,
            leaving: self.members.is_leaving(),
            config: self.catalog.version,
            list: self.members.list_version(),
            cells: self.cells.values().map(|cell| cell.summary(now)).collect(),
        })
    }
}

fn listed(list: &InstanceList) -> Vec<ListEntry> {
    let entries = list.instances.iter().map(|instance| ListEntry {
        instance: InstanceId::of(&instance.name),
        zone: ZoneId::of(&instance.zone),
        address: instance.peer,
        leaving: instance.state == InstanceState::Leaving,
    });
    entries.collect()
}
