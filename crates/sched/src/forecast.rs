//! Learned service times and output lengths, and the waits that follow from them.

use std::collections::HashMap;

use model::prelude::*;

use crate::fair::UNIT_COST;

/// The part of a new sample in a moving average.
const SAMPLE_SHARE: f64 = 0.1;

/// Samples of a class before anything is concluded from them.
const MIN_SAMPLES: u32 = 20;

/// The bounds of the cost of a request in requests of ordinary length.
const COST_BOUNDS: (f64, f64) = (0.25, 4.0);

/// What is known of the requests of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Profile {
    samples: u32,
    seconds: f64,
    deviation: f64,
    tokens: f64,
}

impl Profile {
    fn learn(&mut self, seconds: f64, tokens: f64) {
        self.samples = self.samples.saturating_add(1);
        let share = SAMPLE_SHARE.max(1.0 / f64::from(self.samples));
        self.deviation += share * ((seconds - self.seconds).abs() - self.deviation);
        self.seconds += share * (seconds - self.seconds);
        self.tokens += share * (tokens - self.tokens);
    }

    fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}

/// Learns from attempts that completed.
#[derive(Debug, Default)]
pub(crate) struct Forecast {
    classes: HashMap<ClassId, Profile>,
    all: Profile,
}

impl Forecast {
    /// Learns from an attempt that completed.
    pub(crate) fn learn(&mut self, class: ClassId, total: Duration, tokens: u32) {
        let (seconds, tokens) = (total.as_secs_f64(), f64::from(tokens));
        self.classes.entry(class).or_default().learn(seconds, tokens);
        self.all.learn(seconds, tokens);
    }

    /// Returns the mean service time of a class, once enough attempts have completed.
    pub(crate) fn service(&self, class: ClassId) -> Option<Duration> {
        self.known(class).map(|it| Duration::from_secs_f64(it.seconds))
    }

    /// Returns the mean service time over all classes, once enough attempts have completed.
    pub(crate) fn mean_service(&self) -> Option<Duration> {
        self.all.is_known().then(|| Duration::from_secs_f64(self.all.seconds))
    }

    /// Returns a service time that most attempts of a class exceed.
    pub(crate) fn low_service(&self, class: ClassId) -> Option<Duration> {
        self.known(class).map(|it| Duration::from_secs_f64((it.seconds - it.deviation).max(0.0)))
    }

    /// Returns the cost of a request of a class for [`crate::fair::Fair::charge`]: its expected
    /// output length against the others', or [`UNIT_COST`] while that is not known.
    pub(crate) fn cost(&self, class: ClassId) -> u64 {
        let Some(profile) = self.known(class).filter(|_| self.all.tokens > 0.0) else {
            return UNIT_COST;
        };
        let (low, high) = COST_BOUNDS;
        let ratio = (profile.tokens / self.all.tokens).clamp(low, high);
        (ratio * UNIT_COST as f64) as u64
    }

    fn known(&self, class: ClassId) -> Option<&Profile> {
        self.classes.get(&class).filter(|it| it.is_known())
    }
}
