//! The state of an engine.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use serde_json::{Value, json};

use crate::{Entry, Fault, Finish, Knobs, Received};

const OLDEST_REPORT: Duration = Duration::from_secs(30);

static NEXT_INCARNATION: AtomicU64 = AtomicU64::new(1);

/// The state of an engine.
pub(super) struct State {
    pub(super) knobs: Knobs,
    pub(super) incarnation: u64,
    pub(super) cold_until: Instant,
    pub(super) running: usize,
    pub(super) falls: u32,
    /// Most recently used last.
    cache: VecDeque<Vec<u8>>,
    pub(super) faults: VecDeque<Fault>,
    loads: VecDeque<Load>,
    pub(super) fence: u64,
    pub(super) orders: Vec<Value>,
    pub(super) entries: Vec<Entry>,
    /// The number of the first entry.
    pub(super) base: usize,
    /// Dropped at the end of a run, which ends its connections.
    life: Sender<()>,
    pub(super) life_end: Receiver<()>,
}

/// The load at some time.
#[derive(Clone, Copy)]
struct Load {
    at: Instant,
    running: usize,
    cold: bool,
}

impl State {
    pub(super) fn new(knobs: Knobs) -> Self {
        let (life, life_end) = async_channel::bounded(1);
        let mut state = Self {
            knobs,
            incarnation: 0,
            cold_until: Instant::now(),
            running: 0,
            falls: 0,
            cache: VecDeque::new(),
            faults: VecDeque::new(),
            loads: VecDeque::new(),
            fence: 0,
            orders: Vec::new(),
            entries: Vec::new(),
            base: 0,
            life,
            life_end,
        };
        state.restart();
        state
    }

    pub(super) fn restart(&mut self) {
        let now = Instant::now();
        self.incarnation = NEXT_INCARNATION.fetch_add(1, Ordering::Relaxed);
        self.cold_until = now + self.knobs.cold_for;
        self.cache.clear();
        self.loads.clear();
        self.running = 0;
        (self.life, self.life_end) = async_channel::bounded(1);
        for entry in &mut self.entries {
            if entry.finish == Finish::Running {
                entry.finish = Finish::Lost;
                entry.ended = Some(now);
            }
        }
        self.note_load();
    }

    pub(super) fn is_cold(&self) -> bool {
        Instant::now() < self.cold_until
    }

    pub(super) fn note_load(&mut self) {
        let load = Load { at: Instant::now(), running: self.running, cold: self.is_cold() };
        self.loads.push_back(load);
        while self.loads.len() > 1 && load.at - self.loads[0].at > OLDEST_REPORT {
            self.loads.pop_front();
        }
    }

    /// Returns the load as it was `report_lag` ago.
    pub(super) fn report(&self) -> Value {
        let now = Instant::now();
        let is_old = |it: &&Load| now - it.at >= self.knobs.report_lag;
        let load = self.loads.iter().rev().find(is_old).or(self.loads.front());
        let running = load.map_or(0, |it| it.running);
        let cold = load.is_some_and(|it| it.cold) && self.is_cold();
        json!({ "incarnation": self.incarnation, "running": running, "queued": 0, "cold": cold })
    }

    /// Records a request; none if the engine fell over under it.
    pub(super) fn begin(&mut self, request: Arc<Received>, finish: Finish) -> Option<usize> {
        let runs = finish == Finish::Running;
        if runs {
            self.running += 1;
        }
        let cold = self.is_cold();
        self.entries.push(Entry {
            at: Instant::now(),
            incarnation: self.incarnation,
            cold,
            running: self.running,
            request,
            tokens: 0,
            finish,
            ended: (!runs).then(Instant::now),
        });
        if cold && self.running > self.knobs.cold_limit {
            self.falls += 1;
            self.restart();
            return None;
        }
        self.note_load();
        Some(self.base + self.entries.len() - 1)
    }

    pub(super) fn end(&mut self, no: usize, incarnation: u64, finish: Finish, freed: bool) {
        // A restart has ended the entry already.
        if incarnation != self.incarnation {
            return;
        }
        let Some(entry) = self.entry(no).filter(|it| it.finish == Finish::Running) else { return };
        entry.finish = finish;
        entry.ended = Some(Instant::now());
        if !freed {
            self.running -= 1;
            self.note_load();
        }
    }

    pub(super) fn entry(&mut self, no: usize) -> Option<&mut Entry> {
        self.entries.get_mut(no.checked_sub(self.base)?)
    }

    /// Returns the time before the first token and caches the prefix.
    pub(super) fn prefill(&mut self, prefix: &[u8]) -> Duration {
        let hit = self.cache.iter().position(|it| it == prefix);
        if let Some(i) = hit {
            self.cache.remove(i);
        }
        self.cache.push_back(prefix.to_vec());
        while self.cache.len() > self.knobs.cache {
            self.cache.pop_front();
        }
        let full = self.knobs.prefill.mul_f64(self.knobs.slow);
        if hit.is_some() { full / 10 } else { full }
    }

    /// Returns the tokens a second that one stream gets now.
    pub(super) fn speed(&self) -> f64 {
        let crowding = (self.running as f64 / self.knobs.slots as f64).max(1.0);
        self.knobs.tokens_per_s / crowding / self.knobs.slow
    }
}
