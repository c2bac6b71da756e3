//! The expected time and cost of a request at each server that could take it.

use gossip::{LoadByRank, RankTag, TotalLoad};
use model::prelude::*;

use crate::{Pool, Prompt, Rank, Server};

/// Rate at which an engine is assumed to read uncached prompt tokens: rounded down from the 112 and
/// 157 tokens per ms that engines are specified for. Costs count in its time; where the load of the
/// fleet is known, waits are converted to the learned rate.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 100.0;
/// Expected time to the first event at an engine without other work: the 26 to 31 ms that engines
/// are specified for, and some generation steps.
const ENGINE_BASE_LATENCY: Duration = Duration::from_millis(55);
/// Added to the expected time to the first event for each request that runs at the engine. Engines
/// are specified to take 0.05 to 0.1 ms longer for each generation step, and a first event takes
/// several steps.
const ENGINE_LATENCY_PER_REQUEST: Duration = Duration::from_micros(500);
/// Expected time of a request at a plain service without other work. Services are specified for 30
/// to 60 ms.
const PLAIN_SERVICE_TIME: Duration = Duration::from_millis(45);
/// Added to the cost of a server in another availability zone: it is chosen only if it is expected
/// to save more time than this. Bytes between zones are billed, at a few hundredths of what a
/// request is worth. Where operators state a price, [`zones::Crossing`] replaces it.
pub(crate) const CROSS_ZONE_COST: Duration = Duration::from_millis(10);
/// Added to the cost of a server, in milliseconds, for each token of the shared prefix that it has
/// to read: prefill takes the engine's time from all its other requests.
const UNCACHED_TOKEN_COST_MS: f64 = 0.25;
/// The same where the load of the whole fleet is known: a request waits for the server that has its
/// prefix rather than makes another one read it.
const KNOWN_UNCACHED_TOKEN_COST_MS: f64 = 0.4;
/// The share of a request's target up to which each millisecond of the expected time to first byte
/// adds one millisecond to the cost. Beyond it the target is at risk.
const SAFE_TARGET_SHARE: f64 = 0.5;
/// What each further millisecond adds to the cost, in milliseconds.
const LATE_COST_FACTOR: f64 = 4.0;
/// Upper bound on a random addition to the cost of an engine for a live stream. It spreads streams
/// that many instances start at the same time, before any of them knows of the others'.
const SPREAD_COST: Duration = Duration::from_millis(15);
/// Added to the cost of a server that fails every request, and in proportion to its failure rate
/// for others.
const FAILURE_COST: Duration = Duration::from_millis(1_500);
/// Added to the cost of a server that leaves, as another instance said. It is chosen only if no other
/// one has room, so a false report keeps no request waiting.
const REPORTED_LEAVING_COST: Duration = Duration::from_millis(1_500);
/// The share of the uncached prefix that the first choice for it is expected to read: other
/// instances have probably sent the prefix there even if this one has not.
pub(crate) const FIRST_CHOICE_UNCACHED: f64 = 0.1;
/// The same for the second choice, which gets requests only when the first one is overloaded.
const SECOND_CHOICE_UNCACHED: f64 = 0.6;
/// The share of the tokens to be fetched that the engine is expected to read all the same: the
/// source may have evicted them, or may still be reading them itself.
const FETCH_MISS_SHARE: f64 = 0.2;
/// Time to start a fetch, as engines are specified.
const FETCH_SETUP_TIME: Duration = Duration::from_millis(5);
/// How many times longer a fetch takes from another availability zone. Every fetch is estimated
/// with it.
const CROSS_ZONE_FETCH_FACTOR: u32 = 2;
/// Requests that a plain service may have beyond its slots, as a share of its slots. They keep it
/// busy until the instances learn from gossip that slots are free.
const PLAIN_QUEUE_SHARE: f64 = 1.0;
/// The share of an engine's slots that is filled. The rest absorbs the requests that other
/// instances send before gossip has spread the load.
const ENGINE_FILL_SHARE: f64 = 0.9;
/// The same for a request whose work of equal and higher rank leaves slots: the engine admits it
/// before the less urgent ones in its own queue, which is a few times as long as its slots.
const URGENT_FILL_SHARE: f64 = 1.5;
/// The longest expected time to first byte at which a request is sent, as a share of its target.
/// Longer queues are kept at this instance, where they are ordered by rank.
const MAX_FIRST_BYTE_SHARE: f64 = 0.6;
/// The same for an overdue request, which will hardly meet its target any more.
const OVERDUE_MAX_FIRST_BYTE_SHARE: f64 = 1.5;
/// The same for the wait where the load of the whole fleet is known.
const KNOWN_OVERDUE_SHARE: f64 = 0.8;

/// A server that could take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server, with the attempts that this instance has there.
    pub server: &'a Server,
    /// The load at the server, as seen by the request.
    pub load: SeenLoad,
    /// What the request pays for going to its zone; nothing in this instance's zone.
    pub crossing: Duration,
    /// Whether it is a preferred server for the shared prefix.
    pub affinity: Affinity,
    /// Tokens of the shared prefix that requests of this instance have made it read.
    pub cached_tokens: u32,
    /// Whether it can fetch the shared prefix from another server.
    pub has_fetch_source: bool,
    /// The share of the slots that become free before the load of the fleet is told again. As many
    /// requests in the engine's own queue keep them busy.
    pub turnover: f64,
    /// Whether the load includes that of all other instances.
    pub is_load_known: bool,
    /// How much of the random addition to the cost applies, from 0 to 1.
    pub spread: f64,
}

/// The load of a server as a request of some rank sees it, of this and all other instances.
#[derive(Clone, Copy, Default, Debug)]
pub struct SeenLoad {
    /// All load.
    pub all: TotalLoad,
    /// The part of it that is not less urgent. Engines admit the request before the rest.
    pub ahead: TotalLoad,
    /// The part of it that is more urgent.
    pub more_urgent: TotalLoad,
}

impl SeenLoad {
    /// Returns what a request of this rank sees of a server's load.
    pub fn new(own: &LoadByRank, others: Option<&LoadByRank>, rank: Rank) -> Self {
        let rank = RankTag::from(rank);
        let both = |part: fn(&LoadByRank, RankTag) -> TotalLoad| {
            part(own, rank) + others.map(|load| part(load, rank)).unwrap_or_default()
        };
        Self {
            all: both(|load, _| load.total()),
            ahead: both(LoadByRank::up_to),
            more_urgent: both(LoadByRank::above),
        }
    }
}

/// Whether a server is a preferred one for a shared prefix. Rendezvous hashing decides, so that all
/// instances prefer the same servers without exchanging messages.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Affinity {
    /// The server with the highest hash rank for the prefix.
    First,
    /// The server with the second highest hash rank for the prefix.
    Second,
    /// Any other server; also every server if the prompt has no shared prefix.
    Other,
}

impl Affinity {
    /// Returns the share of the shared prefix that the server is expected to read, of what this
    /// instance has not sent there.
    fn uncached_share(self) -> f64 {
        match self {
            Self::First => FIRST_CHOICE_UNCACHED,
            Self::Second => SECOND_CHOICE_UNCACHED,
            Self::Other => 1.0,
        }
    }
}

/// Whether a server has room for a request. A lower value is to be preferred.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Room {
    /// It has free slots.
    Free,
    /// Less urgent requests fill it, and the request goes before those of them that wait.
    ByRank,
    /// It is full.
    None,
}

/// What a request is expected to cost at a server.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// The time to first byte after all other work. Prefill of less urgent prompts interrupts a
    /// response even if the server admits the request before them.
    pub first_byte: Duration,
    /// The time to first byte after the work that is not less urgent.
    pub first_byte_by_rank: Duration,
    /// The time to first byte with all penalties of the server. The server with the least cost is
    /// chosen.
    pub cost: Duration,
    /// Prompt tokens that the server is expected to read.
    pub prefill_tokens: u32,
    /// Prompt tokens that the server reads before it responds, those of other requests included.
    pub tokens_ahead: f64,
    /// Whether the server has room for the request.
    pub room: Room,
    /// Whether the server runs nothing, so that waiting changes nothing.
    pub is_idle: bool,
    /// The time that the server still reads for requests that are not less urgent.
    pub reading_ahead: Duration,
    /// The time that the server still reads for more urgent requests.
    pub urgent_reading: Duration,
}

impl Candidate<'_> {
    /// Estimates the time and cost of a request with this prompt and target at the server.
    pub fn estimate(&self, now: Time, pool: &Pool, prompt: &Prompt, target: Duration) -> Estimate {
        let missing = self.missing_tokens(prompt);
        let fetch = pool.engine.and_then(|it| it.fetch_per_token).filter(|_| self.has_fetch_source);
        let fetch_time = fetch.filter(|_| missing > 0.0).map_or(Duration::ZERO, |per_token| {
            FETCH_SETUP_TIME + per_token.mul_f64(missing) * CROSS_ZONE_FETCH_FACTOR
        });
        let uncached = if fetch.is_some() { missing * FETCH_MISS_SHARE } else { missing };
        let (first_byte, room) = match pool.engine {
            Some(engine) => {
                self.at_engine(engine.slots.max(self.server.entry.slots), prompt, uncached)
            }
            None => self.at_plain_service(),
        };
        let first_byte = first_byte + fetch_time;
        let health = &self.server.health;
        let first_byte = first_byte.mul_f64(health.slowdown());
        let less_urgent = pool.engine.map_or(Duration::ZERO, |_| self.less_urgent_reading());
        let first_byte_by_rank = first_byte.saturating_sub(less_urgent.mul_f64(health.slowdown()));
        let failures = FAILURE_COST.mul_f64(health.failure_rate(now));
        let is_leaving = self.server.is_reported_leaving(now);
        let leaving = if is_leaving { REPORTED_LEAVING_COST } else { Duration::ZERO };
        let safe = target.mul_f64(SAFE_TARGET_SHARE);
        let late = first_byte.saturating_sub(safe).mul_f64(LATE_COST_FACTOR);
        let token_cost_ms =
            if self.is_load_known { KNOWN_UNCACHED_TOKEN_COST_MS } else { UNCACHED_TOKEN_COST_MS };
        let reading = Duration::from_secs_f64(uncached * token_cost_ms / 1e3);
        let wait = first_byte.min(safe) + late;
        let spread = SPREAD_COST.mul_f64(self.spread);
        let silence = 2 * health.excess_silence(now);
        let cost = wait + spread + reading + self.crossing + failures + leaving + silence;
        let prefill_tokens = prompt.own_tokens().saturating_add(uncached as u32);
        let is_idle = self.load.all.attempts == 0;
        let reading_ahead = Self::reading_time(self.load.ahead.prefill_tokens);
        let urgent_reading = Self::reading_time(self.load.more_urgent.prefill_tokens);
        Estimate {
            first_byte,
            first_byte_by_rank,
            cost,
            prefill_tokens,
            tokens_ahead: self.load.all.prefill_tokens as f64 + f64::from(prefill_tokens),
            room,
            is_idle,
            reading_ahead,
            urgent_reading,
        }
    }

    /// Returns the time to the first event at an engine that admits requests in the order in which
    /// they come, and the room there. Requests of lower ranks do not fill it, as it admits a request
    /// before those of them that wait.
    fn at_engine(&self, slots: u32, prompt: &Prompt, uncached: f64) -> (Duration, Room) {
        let SeenLoad { all, ahead, .. } = self.load;
        let own = Duration::from_secs_f64(
            (uncached + f64::from(prompt.own_tokens())) / PREFILL_TOKENS_PER_MS / 1e3,
        );
        let is_filled = |attempts: u32, share| f64::from(attempts) >= f64::from(slots) * share;
        let fill = ENGINE_FILL_SHARE + self.turnover;
        let urgent_fill = URGENT_FILL_SHARE + self.turnover;
        let is_full = is_filled(ahead.attempts, fill) || is_filled(all.attempts, urgent_fill);
        let room = match is_filled(all.attempts, fill) {
            _ if is_full => Room::None,
            true => Room::ByRank,
            false => Room::Free,
        };
        let latency = ENGINE_BASE_LATENCY + ENGINE_LATENCY_PER_REQUEST * all.attempts;
        (latency + Self::reading_time(all.prefill_tokens) + own, room)
    }

    /// Returns the time that an engine still reads for less urgent requests.
    fn less_urgent_reading(&self) -> Duration {
        let SeenLoad { all, ahead, .. } = self.load;
        Self::reading_time(all.prefill_tokens.saturating_sub(ahead.prefill_tokens))
    }

    /// Returns the time in which an engine is assumed to read prompt tokens.
    fn reading_time(tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / PREFILL_TOKENS_PER_MS / 1e3)
    }

    /// Returns how many tokens of the shared prefix the server is expected not to have cached.
    fn missing_tokens(&self, prompt: &Prompt) -> f64 {
        let shared = prompt.tokens.saturating_sub(prompt.own_tokens());
        let not_sent = shared.saturating_sub(self.cached_tokens);
        f64::from(not_sent) * self.affinity.uncached_share()
    }

    /// Returns the time to the response of a plain service, and the room there.
    fn at_plain_service(&self) -> (Duration, Room) {
        let attempts = f64::from(self.load.all.attempts);
        let slots = f64::from(self.server.entry.slots.max(1));
        let queue = (attempts + 1.0 - slots).max(0.0) / slots;
        // A service becomes slower as its slots fill up: by a fifth when all are taken.
        let crowding = 0.2 * attempts / slots;
        let is_full = attempts >= slots * (1.0 + PLAIN_QUEUE_SHARE);
        let room = if is_full { Room::None } else { Room::Free };
        (PLAIN_SERVICE_TIME.mul_f64(1.0 + queue + crowding), room)
    }
}

impl Estimate {
    /// Returns whether the server has no room for the request.
    pub fn is_full(&self) -> bool {
        self.room == Room::None
    }

    /// Returns whether a request is sent to the server now instead of waiting at this instance. A
    /// request of the highest tier of its pool goes to any server that is not full: waiting would
    /// only let requests of a higher tier go first, and no route to the pool has one. An overdue
    /// request accepts a longer time to first byte. No request goes where more urgent ones wait for
    /// as long as they tolerate.
    pub fn is_acceptable(&self, demand: &Demand) -> bool {
        let share = match demand.is_overdue {
            true if demand.is_load_known => KNOWN_OVERDUE_SHARE,
            true => OVERDUE_MAX_FIRST_BYTE_SHARE,
            false => MAX_FIRST_BYTE_SHARE,
        };
        let limit = |target: Duration, share| target.mul_f64(share).max(2 * ENGINE_BASE_LATENCY);
        let Some(least_target_above) = demand.least_target_above else { return !self.is_full() };
        let leaves_room = ENGINE_BASE_LATENCY + self.urgent_reading
            <= limit(least_target_above, MAX_FIRST_BYTE_SHARE);
        let is_soon = if demand.is_load_known {
            let wait = ENGINE_BASE_LATENCY + self.reading_ahead.mul_f64(demand.reading_factor);
            wait <= limit(demand.target, share)
        } else {
            self.first_byte_by_rank <= limit(demand.target, share)
        };
        !self.is_full() && leaves_room && (self.is_idle || is_soon)
    }
}

/// What decides how long a request may be expected to take at a server.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The target of the request's route for the time to first byte.
    pub target: Duration,
    /// The least target among the routes to the pool that have a higher tier; `None` if the request
    /// has the highest one.
    pub least_target_above: Option<Duration>,
    /// Whether the load of the whole fleet is known, so that the wait is known without the time for
    /// the request itself.
    pub is_load_known: bool,
    /// How many times longer than assumed the engines of the pool take to read.
    pub reading_factor: f64,
    /// Whether the request has waited so long that it will hardly meet its target.
    pub is_overdue: bool,
}
