//! Which server a request goes to.

use gossip::TotalLoad;
use model::prelude::*;

use crate::{Pool, Prompt, Server};

/// Prompt tokens that an engine reads in a millisecond, rounded down from the engines' sheets (112
/// and 157).
const PREFILL_TOKENS_PER_MS: f64 = 100.0;
/// Time to a first event of an engine without other work: 26 to 31 ms on the engines' sheets, and
/// some steps.
const ENGINE_BASE: Duration = Duration::from_millis(55);
/// Time that each running request adds until a first event: 0.05 to 0.1 ms a step on the engines'
/// sheets, over the steps of a first event.
const ENGINE_PER_REQUEST: Duration = Duration::from_micros(500);
/// Time that a plain service takes for a request: 30 to 60 ms on the services' sheets.
const PLAIN_WORK: Duration = Duration::from_millis(45);
/// What a request to another availability zone has to gain in time: the bytes between zones cost
/// some hundredths of a request's worth.
const ZONE_COST: Duration = Duration::from_millis(10);
/// What a server has to gain in time for each shared prompt token that it reads again: reading
/// takes the engine's time from all other requests.
const UNREAD_COST_MS: f64 = 0.25;
/// The part of a request's target up to which a longer wait is as good as a shorter one.
const COMFORT: f64 = 0.5;
/// What each millisecond beyond that counts.
const DISCOMFORT: f64 = 4.0;
/// What other requests have to gain in time at the engine that live streams choose first: some
/// pauses of a stream beyond what its caller bears (150 to 200 ms on the sheets).
const LIVE_ENGINE_COST: Duration = Duration::from_millis(600);
/// What a live stream has to gain in time at the last engine of the order: less than the time to a
/// first event on an idle engine, so that it never waits for the sake of the order.
const LIVE_ORDER_COST: Duration = Duration::from_millis(60);
/// What a server that fails every request has to gain in time against one that fails none.
const FAILURE_COST: Duration = Duration::from_millis(1_500);
/// The part of a prompt that is expected to be read again at the server that rendezvous hashing
/// names first for it, if this instance never sent it there: its peers may have.
const FIRST_HOME_UNREAD: f64 = 0.1;
/// The same for the second server, which takes what is too much for the first.
const SECOND_HOME_UNREAD: f64 = 0.6;
/// The part of what an engine is told to fetch that is expected to be read again: the source may
/// have forgotten it, or be reading it still.
const FETCH_UNREAD: f64 = 0.2;
/// Time to begin to fetch, from the engines' sheets.
const FETCH_SETUP: Duration = Duration::from_millis(5);
/// How many times longer a fetch takes between availability zones.
const FAR_FETCH: u32 = 2;
/// A plain service's requests beyond its slots, as a share of them, so that it never idles while
/// loads are told.
const PLAIN_QUEUE: f64 = 1.0;
/// The share of an engine's slots that are filled: the rest takes what other instances send
/// before they hear of each other.
const ENGINE_FILL: f64 = 0.9;
/// The share of a request's target that may be spent at the server before the first byte; the
/// rest of a queue waits here, where rank decides.
const PATIENCE: f64 = 0.6;
/// The same for a request that has waited so long that it will hardly be on time.
const OVERDUE_PATIENCE: f64 = 1.5;

/// A server that might take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a Server,
    /// What other instances have there.
    pub others: TotalLoad,
    /// Whether it is in this instance's zone.
    pub is_near: bool,
    /// Whether rendezvous hashing names it for the prompt.
    pub home: Home,
    /// Shared tokens of the prompt that it has read for this instance.
    pub cached: u32,
    /// Whether it can fetch the shared part of the prompt from another server.
    pub has_fetch_source: bool,
    /// Whether the request is a live stream.
    pub is_live: bool,
    /// The share of the pool's engines that live streams fill.
    pub live_share: f64,
}

/// Whether rendezvous hashing names a server for a prompt, so that instances that do not talk
/// about it choose alike.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Home {
    /// It is named first.
    First,
    /// It is named second.
    Second,
    /// It is not.
    Elsewhere,
}

impl Home {
    /// Returns the part of a prompt that is expected to be read again.
    fn unread(self) -> f64 {
        match self {
            Self::First => FIRST_HOME_UNREAD,
            Self::Second => SECOND_HOME_UNREAD,
            Self::Elsewhere => 1.0,
        }
    }
}

/// What a server is expected to take for a request.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// The time to the first byte.
    pub first_byte: Duration,
    /// The same with all that speaks against the server; the least is chosen.
    pub cost: Duration,
    /// Prompt tokens that it is expected to read.
    pub unread: u32,
    /// Whether the server is full.
    pub is_full: bool,
}

impl Candidate<'_> {
    /// Estimates what the server takes for a request.
    pub fn estimate(&self, now: Time, pool: &Pool, prompt: &Prompt, target: Duration) -> Estimate {
        let missing = self.missing(prompt);
        let fetch = pool.engine.and_then(|it| it.fetch_per_token).filter(|_| self.has_fetch_source);
        let fetching = fetch.filter(|_| missing > 0.0).map_or(Duration::ZERO, |per_token| {
            FETCH_SETUP + per_token.mul_f64(missing) * FAR_FETCH
        });
        let unread = if fetch.is_some() { missing * FETCH_UNREAD } else { missing };
        let (first_byte, is_full) = match pool.engine {
            Some(engine) => self.engine(engine.slots.max(self.server.entry.slots), prompt, unread),
            None => self.plain(),
        };
        let first_byte = first_byte + fetching;
        let health = &self.server.health;
        let first_byte = first_byte.mul_f64(health.pace());
        let zone = if self.is_near { Duration::ZERO } else { ZONE_COST };
        let failures = FAILURE_COST.mul_f64(health.failures(now));
        let comfort = target.mul_f64(COMFORT);
        let discomfort = first_byte.saturating_sub(comfort).mul_f64(DISCOMFORT);
        let reading = Duration::from_secs_f64(unread * UNREAD_COST_MS / 1e3);
        let wait = first_byte.min(comfort) + discomfort;
        let apart = if pool.engine.is_some() { self.apart() } else { Duration::ZERO };
        let cost = wait + apart + reading + zone + failures + 2 * health.silence(now);
        let unread = prompt.own_tokens().saturating_add(unread as u32);
        Estimate { first_byte, cost, unread, is_full }
    }

    /// Returns what speaks against the server for keeping live streams apart from long prompts.
    fn apart(&self) -> Duration {
        let place = self.server.place();
        if self.is_live {
            LIVE_ORDER_COST.mul_f64(place)
        } else if place < self.live_share {
            LIVE_ENGINE_COST.mul_f64(1.0 - place / self.live_share)
        } else {
            Duration::ZERO
        }
    }

    /// Returns the time to the first event of an engine, and whether the engine is full.
    fn engine(&self, slots: u32, prompt: &Prompt, unread: f64) -> (Duration, bool) {
        let attempts = self.server.attempts + self.others.attempts;
        let ahead = (self.server.prefill + self.others.prefill_tokens) as f64;
        let tokens = ahead + unread + f64::from(prompt.own_tokens());
        let reading = Duration::from_secs_f64(tokens / PREFILL_TOKENS_PER_MS / 1e3);
        let is_full = f64::from(attempts) >= f64::from(slots) * ENGINE_FILL;
        (ENGINE_BASE + reading + ENGINE_PER_REQUEST * attempts, is_full)
    }

    /// Returns how many shared tokens of a prompt the server is expected not to have.
    fn missing(&self, prompt: &Prompt) -> f64 {
        let shared = prompt.tokens.saturating_sub(prompt.own_tokens());
        let unread = shared.saturating_sub(self.cached);
        f64::from(unread) * self.home.unread()
    }

    /// Returns the time to the answer of a plain service, and whether the server is full.
    fn plain(&self) -> (Duration, bool) {
        let attempts = f64::from(self.server.attempts + self.others.attempts);
        let slots = f64::from(self.server.entry.slots.max(1));
        let queue = (attempts + 1.0 - slots).max(0.0) / slots;
        // Servers slow down as they fill up.
        let crowding = 0.2 * attempts / slots;
        let is_full = attempts >= slots * (1.0 + PLAIN_QUEUE);
        (PLAIN_WORK.mul_f64(1.0 + queue + crowding), is_full)
    }
}

impl Estimate {
    /// Returns whether a request with this target goes there rather than wait here. Requests of
    /// the highest rank only wait for a server that is not full: nothing that waits goes first.
    /// One that has waited for long takes what it can get.
    pub fn suits(&self, target: Duration, is_top: bool, is_overdue: bool) -> bool {
        let share = if is_overdue { OVERDUE_PATIENCE } else { PATIENCE };
        let is_soon = self.first_byte <= target.mul_f64(share).max(2 * ENGINE_BASE);
        !self.is_full && (is_top || is_soon)
    }
}
