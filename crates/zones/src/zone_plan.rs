//! How many requests leave their zone.

use std::collections::BTreeMap;

use model::prelude::*;

use crate::ZoneLoad;

/// The growth in a second of the share for a zone.
const GROWTH_PER_SECOND: f64 = 1.0;
/// The decline in a second of a share that is not needed any more.
const DECLINE_PER_SECOND: f64 = 0.25;
/// The decline in a second of a share that exceeds what the other zone can take.
const CROWDED_DECLINE_PER_SECOND: f64 = 1.0;
/// The longest time between two updates that counts for these steps.
const MAX_STEP: Duration = Duration::from_secs(1);
/// The share of the engines of this zone whose loss within an update is a fall.
const FALL_SHARE: f64 = 0.5;
/// Time after a fall in which shares follow it without steps. Later only the pressure counts: the
/// zone may have fewer engines for good.
const FALL_TIME: Duration = Duration::from_secs(10);

/// What a plan depends on beside the loads.
#[derive(Clone, Copy, Debug)]
pub struct PlanContext {
    /// The difference of pressure that callers tolerate: a part of the least target of the pool's
    /// routes.
    pub margin: Duration,
    /// What any request pays for going to another zone.
    pub crossing: Duration,
}

impl PlanContext {
    fn margin_ms(&self) -> f64 {
        self.margin.as_secs_f64() * 1e3
    }

    fn pressure_ms(&self, load: &ZoneLoad) -> f64 {
        load.pressure_ms(self.margin_ms())
    }

    /// Returns by how much the pressure of a zone exceeds that of another one and the crossing.
    fn gap_ms(&self, from: &ZoneLoad, to: &ZoneLoad) -> f64 {
        self.pressure_ms(from) - self.pressure_ms(to) - self.crossing.as_secs_f64() * 1e3
    }
}

/// How many requests of one kind to one pool may go from this zone to each other one.
///
/// A share grows step by step while the pressure here, which is the time to read the prompts at
/// engines and to wait for a slot, exceeds that of the other zone by a margin, and declines when it
/// exceeds it by less than half of that. It is at most what the other zone can take before its own
/// pressure reaches the margin.
#[derive(Clone, Debug)]
pub struct ZonePlan {
    own: ZoneId,
    /// The shares of the other zones that have engines.
    shares: BTreeMap<ZoneId, f64>,
    /// Prompt tokens that the engines of this zone read in a millisecond.
    tokens_per_ms: f64,
    fall: Option<Fall>,
    /// When the plan was updated last.
    updated_at: Option<Time>,
}

/// The loss of most engines of this zone at once.
#[derive(Clone, Copy, Debug)]
struct Fall {
    /// What the engines read in a millisecond before.
    tokens_per_ms: f64,
    at: Time,
}

impl ZonePlan {
    /// Creates the plan of an instance in this zone, which knows of no engines yet.
    pub fn new(own: ZoneId) -> Self {
        let shares = BTreeMap::new();
        Self { own, shares, tokens_per_ms: 0.0, fall: None, updated_at: None }
    }

    /// Updates the plan by the loads of all zones with engines, this one included. A zone without a
    /// load has no engines.
    pub fn update(&mut self, now: Time, loads: &[ZoneLoad], cx: &PlanContext) {
        let elapsed = self.updated_at.map_or(Duration::ZERO, |at| now.since(at)).min(MAX_STEP);
        self.updated_at = Some(now);
        let own = loads.iter().find(|load| load.zone == self.own);
        let own = own.copied().unwrap_or(ZoneLoad::without_engines(self.own));
        self.note_fall(now, &own);
        self.tokens_per_ms = own.tokens_per_ms;
        let others = loads.iter().filter(|load| load.zone != self.own && load.is_usable());
        let others: Vec<_> = others.copied().collect();
        let total: f64 = others.iter().map(|load| load.tokens_per_ms).sum();
        let lost = self.lost_share(&own);
        let share = |load: &ZoneLoad| {
            let old = self.shares.get(&load.zone).copied().unwrap_or_default();
            let by_size = lost * load.tokens_per_ms / total;
            let share = if by_size > 0.0 && cx.gap_ms(&own, load) > 0.0 {
                old.max(by_size)
            } else {
                next_share(old, elapsed, cx.gap_ms(&own, load), limit(&own, load, loads, cx), cx)
            };
            (load.zone, share)
        };
        let mut shares: BTreeMap<_, _> = others.iter().map(share).collect();
        let sum: f64 = shares.values().sum();
        shares.values_mut().for_each(|share| *share /= sum.max(1.0));
        self.shares = shares;
    }

    fn note_fall(&mut self, now: Time, own: &ZoneLoad) {
        let remains = |fall: &Fall| {
            let is_recent = now.since(fall.at) <= FALL_TIME;
            is_recent && own.tokens_per_ms < fall.tokens_per_ms * FALL_SHARE
        };
        self.fall = self.fall.filter(remains);
        if self.fall.is_none() && own.tokens_per_ms < self.tokens_per_ms * FALL_SHARE {
            self.fall = Some(Fall { tokens_per_ms: self.tokens_per_ms, at: now });
        }
    }

    /// Returns the part of this zone's engines that is lost, all of them or lately in a fall; otherwise
    /// zero.
    fn lost_share(&self, own: &ZoneLoad) -> f64 {
        let lost = self.fall.map(|fall| 1.0 - own.tokens_per_ms / fall.tokens_per_ms);
        if own.is_usable() { lost.unwrap_or_default() } else { 1.0 }
    }

    /// Returns the share of this zone's requests that may leave it, from 0 to 1.
    pub fn leaving_share(&self) -> f64 {
        self.shares.values().sum::<f64>().min(1.0)
    }

    /// Returns whether the request with this hash of its id may go to a zone. It may go to at most one
    /// other zone, so that as many leave as the shares add up to. It depends on nothing else, so that
    /// an instance answers for a request as before while the shares stay.
    pub fn may_go(&self, zone: ZoneId, hash: u64) -> bool {
        if zone == self.own {
            return true;
        }
        let Some(share) = self.shares.get(&zone) else { return false };
        let before: f64 = self.shares.range(..zone).map(|it| it.1).sum();
        (before..before + share).contains(&position(hash))
    }
}

/// Returns the share that follows on `old` after this time.
fn next_share(old: f64, elapsed: Duration, gap_ms: f64, limit: f64, cx: &PlanContext) -> f64 {
    let secs = elapsed.as_secs_f64();
    let wanted = if gap_ms > cx.margin_ms() {
        old + GROWTH_PER_SECOND * secs
    } else if gap_ms < cx.margin_ms() / 2.0 {
        old - DECLINE_PER_SECOND * secs
    } else {
        old
    };
    wanted.min(limit.max(old - CROWDED_DECLINE_PER_SECOND * secs)).max(0.0)
}

/// Returns the share for which another zone has room until its pressure reaches the margin, if zones
/// are asked for as much as their engines read. All zones for which leaving to it would pay divide
/// the room.
fn limit(own: &ZoneLoad, to: &ZoneLoad, loads: &[ZoneLoad], cx: &PlanContext) -> f64 {
    let room = 1.0 - cx.pressure_ms(to) / cx.margin_ms();
    let pays = |from: &&ZoneLoad| from.zone != own.zone && cx.gap_ms(from, to) > cx.margin_ms();
    let competing = loads.iter().filter(pays).map(|from| from.tokens_per_ms);
    let needed = own.tokens_per_ms + competing.sum::<f64>();
    (room * to.tokens_per_ms / needed).clamp(0.0, 1.0)
}

/// Returns the position of a hash among all hashes, from 0 to less than 1.
fn position(hash: u64) -> f64 {
    // The 53 bits that a double keeps: rounding up to 1 would leave requests out of the share 1.
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
