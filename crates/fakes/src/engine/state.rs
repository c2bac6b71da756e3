//! State of a fake backend server.

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

use crate::{EngineBehavior, Fault, Finish, ReceivedRequest, RecordedRequest};

/// How long past loads are kept, which bounds [`EngineBehavior::report_lag`].
const MAX_REPORT_LAG: Duration = Duration::from_secs(30);

static NEXT_INCARNATION: AtomicU64 = AtomicU64::new(1);

/// State of a fake backend server.
pub(super) struct State {
    pub(super) behavior: EngineBehavior,
    pub(super) incarnation: u64,
    pub(super) cold_until: Instant,
    pub(super) running: usize,
    pub(super) cold_crashes: u32,
    /// Cached prompt prefixes, the most recently used one last.
    cache: VecDeque<Vec<u8>>,
    pub(super) faults: VecDeque<Fault>,
    loads: VecDeque<Load>,
    pub(super) fence: u64,
    pub(super) orders: Vec<Value>,
    pub(super) entries: Vec<RecordedRequest>,
    /// The number of the first entry; later entries are numbered consecutively.
    pub(super) first_number: usize,
    /// Dropped when the server restarts, which ends the connections of the previous incarnation.
    run_guard: Sender<()>,
    pub(super) run_end: Receiver<()>,
}

/// The load at one time.
#[derive(Clone, Copy)]
struct Load {
    at: Instant,
    running: usize,
    cold: bool,
}

impl State {
    pub(super) fn new(behavior: EngineBehavior) -> Self {
        let (run_guard, run_end) = async_channel::bounded(1);
        let mut state = Self {
            behavior,
            incarnation: 0,
            cold_until: Instant::now(),
            running: 0,
            cold_crashes: 0,
            cache: VecDeque::new(),
            faults: VecDeque::new(),
            loads: VecDeque::new(),
            fence: 0,
            orders: Vec::new(),
            entries: Vec::new(),
            first_number: 0,
            run_guard,
            run_end,
        };
        state.restart();
        state
    }

    pub(super) fn restart(&mut self) {
        let now = Instant::now();
        self.incarnation = NEXT_INCARNATION.fetch_add(1, Ordering::Relaxed);
        self.cold_until = now + self.behavior.cold_for;
        self.cache.clear();
        self.loads.clear();
        self.running = 0;
        (self.run_guard, self.run_end) = async_channel::bounded(1);
        for entry in &mut self.entries {
            if entry.finish == Finish::Running {
                entry.finish = Finish::Lost;
                entry.ended = Some(now);
            }
        }
        self.record_load();
    }

    pub(super) fn is_cold(&self) -> bool {
        Instant::now() < self.cold_until
    }

    pub(super) fn record_load(&mut self) {
        let load = Load { at: Instant::now(), running: self.running, cold: self.is_cold() };
        self.loads.push_back(load);
        while self.loads.len() > 1 && load.at - self.loads[0].at > MAX_REPORT_LAG {
            self.loads.pop_front();
        }
    }

    /// Returns the load as it was `report_lag` ago.
    pub(super) fn load_report(&self) -> Value {
        let now = Instant::now();
        let is_old = |it: &&Load| now - it.at >= self.behavior.report_lag;
        let load = self.loads.iter().rev().find(is_old).or(self.loads.front());
        let running = load.map_or(0, |it| it.running);
        let cold = load.is_some_and(|it| it.cold) && self.is_cold();
        json!({ "incarnation": self.incarnation, "running": running, "queued": 0, "cold": cold })
    }

    /// Records a request and returns its number; `None` if it crashed the cold server.
    pub(super) fn start_request(
        &mut self,
        request: Arc<ReceivedRequest>,
        finish: Finish,
    ) -> Option<usize> {
        let is_running = finish == Finish::Running;
        if is_running {
            self.running += 1;
        }
        let cold = self.is_cold();
        self.entries.push(RecordedRequest {
            at: Instant::now(),
            incarnation: self.incarnation,
            cold,
            running: self.running,
            request,
            tokens: 0,
            finish,
            ended: (!is_running).then(Instant::now),
        });
        if cold && self.running > self.behavior.cold_limit {
            self.cold_crashes += 1;
            self.restart();
            return None;
        }
        self.record_load();
        Some(self.first_number + self.entries.len() - 1)
    }

    pub(super) fn finish_request(
        &mut self,
        number: usize,
        incarnation: u64,
        finish: Finish,
        is_slot_freed: bool,
    ) {
        // The restart has already ended the entry.
        if incarnation != self.incarnation {
            return;
        }
        let Some(entry) = self.entry(number).filter(|it| it.finish == Finish::Running) else {
            return;
        };
        entry.finish = finish;
        entry.ended = Some(Instant::now());
        if !is_slot_freed {
            self.running -= 1;
            self.record_load();
        }
    }

    pub(super) fn entry(&mut self, number: usize) -> Option<&mut RecordedRequest> {
        self.entries.get_mut(number.checked_sub(self.first_number)?)
    }

    /// Returns the prefill time, and caches the prefix.
    pub(super) fn prefill(&mut self, prefix: &[u8]) -> Duration {
        let hit = self.cache.iter().position(|cached| cached == prefix);
        if let Some(i) = hit {
            self.cache.remove(i);
        }
        self.cache.push_back(prefix.to_vec());
        while self.cache.len() > self.behavior.cache {
            self.cache.pop_front();
        }
        let full = self.behavior.prefill.mul_f64(self.behavior.slow);
        if hit.is_some() { full / 10 } else { full }
    }

    /// Returns the current output tokens per second of one stream.
    pub(super) fn tokens_per_s(&self) -> f64 {
        let crowding = (self.running as f64 / self.behavior.slots as f64).max(1.0);
        self.behavior.tokens_per_s / crowding / self.behavior.slow
    }
}
