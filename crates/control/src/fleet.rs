//! Membership, and how the configuration spreads.

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

/// Time between two questions to the seeds while no configuration is known.
const SEED_INTERVAL: Duration = Duration::from_millis(500);

/// The receiver of a message whose name is not known, only its address.
const ANYBODY: InstanceId = InstanceId(0);

impl State {
    pub(crate) fn list_read(&mut self, now: Time, asked_at: Time, list: &InstanceList) {
        self.docs.list_down = false;
        let version = Version(list.version);
        let is_new = self.members.list_read(now, asked_at, version, listed(list));
        self.use_list(now, is_new, list);
    }

    /// Takes a list from another instance: it names instances, but permits nothing.
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
        self.forget_unlisted(now);
        self.refresh_shards(now);
        self.heartbeat_all(now);
    }

    pub(crate) fn platform_failed(&mut self, service: &'static str) {
        let down = match service {
            "instance list" => &mut self.docs.list_down,
            _ => &mut self.docs.config_down,
        };
        if !std::mem::replace(down, true) {
            self.out.log(LogEntry::PlatformDown { service });
        }
    }

    /// Takes a configuration document, whoever it came from. A version that is not higher than the
    /// one in force changes nothing.
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
        self.configure_duties(now);
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

    /// Asks the seeds while the platform has given no documents.
    pub(crate) fn ask_seeds(&mut self, now: Time) {
        let knows_all = self.docs.config.is_some() && self.docs.list.is_some();
        if knows_all || now < self.docs.next_seed_ask {
            return;
        }
        self.docs.next_seed_ask = now + SEED_INTERVAL;
        for address in self.setup.seeds.clone() {
            let msg = Msg::ConfigPull;
            self.out.effects.push(Effect::Send { to: ANYBODY, address, msg });
        }
    }

    /// Takes a message's sender as a sign of life.
    pub(crate) fn sender_seen(&mut self, now: Time, from: Peer) {
        let heard = self.members.message_received(now, from);
        if heard.restarted {
            self.instance_gone(now, from.instance, Some(from.incarnation));
        }
        if heard.owners_changed {
            self.refresh_shards(now);
        }
    }

    pub(crate) fn heartbeat(&mut self, now: Time, from: Peer, beat: &Heartbeat) {
        let heard = self.members.heartbeat_received(from, beat);
        if heard.owners_changed {
            self.refresh_shards(now);
        }
        for load in &beat.cells {
            self.cell_loads.insert(load.cell, *load);
        }
        if beat.config > self.catalog.version || beat.list > self.members.list_version() {
            self.send(from.instance, Msg::ConfigPull);
        }
        if !beat.ack {
            let msg = self.beat(now, beat.nonce, true);
            self.send(from.instance, msg);
        }
    }

    pub(crate) fn send_heartbeats(&mut self, now: Time) {
        let is_joining = matches!(self.phase, Phase::Joining { .. });
        let all = is_joining || self.owned_shards.waiting() > 0;
        let rng = &mut self.rng;
        let beats = self.members.due_heartbeats(now, all, |below| rng.random_range(0..below));
        self.send_each(now, beats);
    }

    /// Tells all instances at once of a change.
    pub(crate) fn heartbeat_all(&mut self, now: Time) {
        let beats = self.members.heartbeats_to_all(now);
        self.send_each(now, beats);
    }

    fn send_each(&mut self, now: Time, beats: Vec<DueHeartbeat>) {
        for beat in beats {
            let msg = self.beat(now, beat.nonce, false);
            self.out.effects.push(Effect::Send { to: beat.to, address: beat.address, msg });
        }
    }

    fn beat(&self, now: Time, nonce: Nonce, ack: bool) -> Msg {
        Msg::Heartbeat(Heartbeat {
            nonce,
            ack,
            leaving: self.members.is_leaving(),
            config: self.catalog.version,
            list: self.members.list_version(),
            cells: self.cells.values().map(|it| it.summary(now)).collect(),
        })
    }
}

fn listed(list: &InstanceList) -> Vec<ListEntry> {
    let entries = list.instances.iter().map(|it| ListEntry {
        instance: InstanceId::of(&it.name),
        zone: ZoneId::of(&it.zone),
        address: it.peer,
        leaving: it.state == InstanceState::Leaving,
    });
    entries.collect()
}
