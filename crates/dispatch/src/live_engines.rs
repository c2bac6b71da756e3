//! The engines of each pool that are set apart for live streams.

use gossip::{Demand, PoolDemand, PoolTag};
use model::prelude::*;

use crate::{
    LogEntry, Pool, Server,
    choice::{FIRST_CHOICE_UNCACHED, PREFILL_TOKENS_PER_MS},
    request::Request,
    state::State,
};

/// The share of slots that live streams fill at the engines that are set apart for them, if the
/// other engines have time to spare. The rest takes bursts, and engines that get more streams than
/// others by chance.
const FILL_SHARE: f64 = 0.5;
/// The same if prompts need the other engines. Streams that find no slot wait until one ends.
const MAX_FILL_SHARE: f64 = 0.85;
/// The share of its time that an engine reads prompts if it has as many as it should.
const READING_SHARE: f64 = 0.5;
/// The share of its time that an engine reads the prompts of live streams if it has as many as it
/// should. Reading interrupts the streams that run there.
const LIVE_READING_SHARE: f64 = 0.5;
/// The same if prompts need the other engines.
const MAX_LIVE_READING_SHARE: f64 = 0.75;
/// The largest share of a pool's engines that is set apart. Long prompts are most of the work, and
/// a stream beside long prompts is better than a long prompt without an engine.
const MAX_SHARE: f64 = 0.4;
/// The same if it is known that the other engines are enough for the prompts.
const MAX_KNOWN_SHARE: f64 = 0.6;
/// The share of its time that an engine reads prompts if they need more engines than there are.
const MAX_READING_SHARE: f64 = 0.75;
/// The share that is set apart in a large fleet without any demand. It takes seconds to add up the
/// demand of all instances, and live streams that begin with the first prompts would otherwise
/// share engines with them.
const IDLE_SHARE: f64 = 0.1;
/// Engines in excess are given back at once if prompts leave less than this share of the live ones
/// to spare.
const MIN_SPARE_SHARE: f64 = 0.8;
/// A pool with fewer engines is not divided: the loss of one would stop all streams.
const MIN_ENGINES: usize = 3;
/// Tokens of a prompt that are counted at most: callers state the number, and a wrong one must not
/// change what the whole fleet does. Long prompts have some ten thousand.
const MAX_COUNTED_TOKENS: f64 = 100_000.0;
/// Half of the engines in excess are given back to other requests when fewer have been enough for
/// this time. Each change moves the prefixes that are cached at an engine, so short lulls between
/// bursts change little.
const RELEASE_TIME: Duration = Duration::from_secs(5);

/// The engines of a pool that are set apart for live streams: those that come first in an order on
/// which all instances agree.
///
/// Prefill of a long prompt stops all streams at its engine for as long as it takes. The number of
/// engines follows the streams of the whole fleet, so that all instances choose the same ones.
#[derive(Clone, Copy, Debug)]
pub struct LiveEngines {
    count: usize,
    /// Since when fewer engines than `count` would be enough.
    excess_since: Option<Time>,
    /// The position of the last one; negative if there is none.
    last_position: f64,
}

impl Default for LiveEngines {
    fn default() -> Self {
        Self { count: 0, excess_since: None, last_position: -1.0 }
    }
}

impl LiveEngines {
    /// Returns whether a server is one of them.
    pub fn contains(&self, server: &Server) -> bool {
        server.order_position() <= self.last_position
    }

    /// Returns how many there are.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Adjusts the number of engines to the demand of the whole fleet. `positions` are those of all
    /// engines that can be used, `slots` the requests that each runs at a time.
    pub fn update(&mut self, now: Time, demand: FleetDemand, slots: u32, positions: &mut [f64]) {
        let engines = positions.len();
        let most = demand.most_live_engines(engines);
        let divides = engines >= MIN_ENGINES;
        let needed = if divides { demand.live_engines(slots, engines).min(most) } else { 0 };
        let former = self.count;
        let is_needed_by_prompts = demand.spare_engines(engines) < former as f64 * MIN_SPARE_SHARE;
        let count = if needed >= former || is_needed_by_prompts {
            self.excess_since = None;
            needed
        } else if now.since(*self.excess_since.get_or_insert(now)) >= RELEASE_TIME {
            self.excess_since = None;
            needed.midpoint(former)
        } else {
            former
        };
        let count = count.min(most);
        self.count = count;
        positions.sort_unstable_by(f64::total_cmp);
        let last = count.checked_sub(1).and_then(|last| positions.get(last));
        self.last_position = last.copied().unwrap_or(-1.0);
    }
}

/// What all instances need of a pool of engines.
#[derive(Clone, Copy, Default, Debug)]
pub struct FleetDemand {
    /// Live streams that run.
    pub live_streams: f64,
    /// Prompt tokens of other requests that arrive in a second and have to be read.
    pub prompt_tokens_per_s: f64,
    /// Prompt tokens of live streams that arrive in a second.
    pub live_tokens_per_s: f64,
    /// Prompt tokens that an engine reads in a millisecond; 0 if that is not known.
    pub tokens_per_ms: f64,
    /// Whether nothing has been added up yet in a large fleet, where there may be demand that this
    /// instance has not been told.
    pub is_unknown: bool,
}

impl FleetDemand {
    /// Returns how many of these engines live streams should have to themselves: as many as let
    /// each of them have few streams, unless prompts need the engines.
    fn live_engines(&self, slots: u32, engines: usize) -> usize {
        if self.is_unknown {
            return (engines as f64 * IDLE_SHARE).ceil() as usize;
        }
        let slots = f64::from(slots.max(1));
        let tokens_per_s = self.tokens_per_ms() * 1e3;
        let readers = |share| self.live_tokens_per_s / (tokens_per_s * share);
        let wanted = (self.live_streams / (slots * FILL_SHARE)).max(readers(LIVE_READING_SHARE));
        let least =
            (self.live_streams / (slots * MAX_FILL_SHARE)).max(readers(MAX_LIVE_READING_SHARE));
        self.spare_engines(engines).clamp(least, wanted).ceil() as usize
    }

    /// Returns how many of these engines may be set apart: the others are enough for prompts.
    fn most_live_engines(&self, engines: usize) -> usize {
        let least = engines as f64 * MAX_SHARE;
        if self.tokens_per_ms == 0.0 {
            return least as usize;
        }
        let needed = self.prompt_tokens_per_s / (self.tokens_per_ms * 1e3 * MAX_READING_SHARE);
        (engines as f64 - needed).clamp(least, engines as f64 * MAX_KNOWN_SHARE) as usize
    }

    /// Returns how many of these engines prompts do not need; negative if there are too few.
    fn spare_engines(&self, engines: usize) -> f64 {
        let tokens_per_s = PREFILL_TOKENS_PER_MS * 1e3 * READING_SHARE;
        engines as f64 - self.prompt_tokens_per_s / tokens_per_s
    }

    fn tokens_per_ms(&self) -> f64 {
        if self.tokens_per_ms > 0.0 { self.tokens_per_ms } else { PREFILL_TOKENS_PER_MS }
    }
}

impl State {
    /// Sets engines apart for the live streams that the fleet runs now.
    pub(crate) fn update_live_engines(&mut self, now: Time) {
        let Some(catalog) = self.catalog.clone() else { return };
        for (id, pool) in &catalog.pools {
            let Some(engine) = pool.engine else { continue };
            let demand = self.fleet_demand(now, *id);
            let servers = self.servers.in_pool(*id).iter().filter_map(|key| self.servers.get(*key));
            let usable = servers.filter(|server| self.servers.is_eligible(server));
            let mut positions: Vec<_> = usable.map(Server::order_position).collect();
            let engines = self.live_engines.entry(*id).or_default();
            let former = engines.count();
            engines.update(now, demand, engine.slots, &mut positions);
            let count = engines.count();
            if count != former {
                self.log(LogEntry::LiveEngines { pool: pool.name.clone(), count, demand });
            }
        }
    }

    /// Returns the engines of a pool that are set apart for live streams.
    pub(crate) fn live_engines(&self, id: PoolId, pool: &Pool) -> LiveEngines {
        let engines = self.live_engines.get(&id).copied();
        engines.filter(|_| pool.engine.is_some()).unwrap_or_default()
    }

    /// Counts the prompt of a request that has arrived.
    pub(crate) fn count_prompt(&mut self, now: Time, pool: PoolId, req: &Request) {
        if req.prompt.tokens == 0 {
            return;
        }
        let own = f64::from(req.prompt.own_tokens());
        let shared = f64::from(req.prompt.tokens) - own;
        let demand = self.demand.entry(pool).or_default();
        if req.is_live_stream() {
            // Streams do not go to the engines that have their prefix.
            demand.stream_arrived(now, (own + shared).min(MAX_COUNTED_TOKENS));
        } else {
            let tokens = (own + shared * FIRST_CHOICE_UNCACHED).min(MAX_COUNTED_TOKENS);
            demand.prompt_arrived(now, tokens);
        }
    }

    /// Returns the demand of this instance, as other instances get it.
    pub(crate) fn own_demand(&self, now: Time) -> Demand {
        let pools = self.demand.iter().map(|(pool, demand)| PoolDemand {
            pool: PoolTag::from(*pool),
            live_streams: demand.running_streams(),
            prompt_tokens_per_s: demand.prompt_tokens_per_s(now) as u32,
        });
        Demand::of_member(pools.filter(|it| it.live_streams > 0 || it.prompt_tokens_per_s > 0))
    }

    /// Returns the demand of all instances for a pool. In a small fleet, where nobody adds it up,
    /// each instance is taken to need as much as this one has lately.
    fn fleet_demand(&self, now: Time, pool: PoolId) -> FleetDemand {
        let alive = self.members.alive_count();
        if self.knows_fleet_loads() {
            let Some(demand) = self.fleet_loads.pool_use(PoolTag::from(pool)) else {
                return FleetDemand { is_unknown: true, ..FleetDemand::default() };
            };
            return FleetDemand {
                live_streams: f64::from(demand.live_streams).max(demand.expected_streams()),
                live_tokens_per_s: demand.live_tokens_per_s.into(),
                prompt_tokens_per_s: demand.prompt_tokens_per_s.into(),
                tokens_per_ms: self.reading_speeds.of_pool(pool),
                is_unknown: false,
            };
        }
        if self.members.is_large() {
            let fleet = self.upstream.fleet_demand();
            let factor = fleet.extrapolation(alive);
            let Some(demand) = fleet.of_pool(PoolTag::from(pool)) else {
                return FleetDemand { is_unknown: true, ..FleetDemand::default() };
            };
            return FleetDemand {
                live_streams: f64::from(demand.live_streams) * factor,
                prompt_tokens_per_s: f64::from(demand.prompt_tokens_per_s) * factor,
                ..FleetDemand::default()
            };
        }
        self.demand.get(&pool).map_or_else(FleetDemand::default, |own| FleetDemand {
            live_streams: own.mean_streams(now) * alive as f64,
            prompt_tokens_per_s: own.prompt_tokens_per_s(now) * alive as f64,
            ..FleetDemand::default()
        })
    }
}
