//! Service times and output lengths, learned from completed attempts.

use std::collections::HashMap;

use model::prelude::*;

use crate::fair::UNIT_COST;

/// The weight of a new sample in a moving average; the first samples weigh more.
const SMOOTHING: f64 = 0.1;

/// Completed attempts before the averages of a class are used.
const MIN_SAMPLES: u32 = 20;

/// The lowest and highest cost of a request, relative to one of average output length.
const COST_BOUNDS: (f64, f64) = (0.25, 4.0);

/// Moving averages over the completed attempts of a class, or of all classes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceStats {
    samples: u32,
    mean_seconds: f64,
    /// The mean absolute deviation from the mean service time, in seconds.
    seconds_deviation: f64,
    mean_tokens: f64,
}

impl ServiceStats {
    fn learn(&mut self, seconds: f64, tokens: f64) {
        self.samples = self.samples.saturating_add(1);
        let smoothing = SMOOTHING.max(1.0 / f64::from(self.samples));
        self.seconds_deviation +=
            smoothing * ((seconds - self.mean_seconds).abs() - self.seconds_deviation);
        self.mean_seconds += smoothing * (seconds - self.mean_seconds);
        self.mean_tokens += smoothing * (tokens - self.mean_tokens);
    }

    fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}

/// Expected service times and output lengths.
#[derive(Debug, Default)]
pub(crate) struct Forecast {
    classes: HashMap<ClassId, ServiceStats>,
    all: ServiceStats,
}

impl Forecast {
    /// Adds a completed attempt to the averages.
    pub(crate) fn learn(&mut self, class: ClassId, total: Duration, tokens: u32) {
        let (seconds, tokens) = (total.as_secs_f64(), f64::from(tokens));
        self.classes.entry(class).or_default().learn(seconds, tokens);
        self.all.learn(seconds, tokens);
    }

    /// Returns the mean service time of a class; none until enough attempts have completed.
    pub(crate) fn service_time(&self, class: ClassId) -> Option<Duration> {
        self.known(class).map(|stats| Duration::from_secs_f64(stats.mean_seconds))
    }

    /// Returns the mean service time over all classes; none until enough attempts have completed.
    pub(crate) fn overall_service_time(&self) -> Option<Duration> {
        self.all.is_known().then(|| Duration::from_secs_f64(self.all.mean_seconds))
    }

    /// Returns a service time that most attempts of a class exceed; none until enough attempts have
    /// completed.
    pub(crate) fn short_service_time(&self, class: ClassId) -> Option<Duration> {
        self.known(class).map(|stats| {
            Duration::from_secs_f64((stats.mean_seconds - stats.seconds_deviation).max(0.0))
        })
    }

    /// Returns the cost of a request of a class for [`crate::fair::FairOrder::charge`]: its
    /// expected output length relative to the mean over all classes, or [`UNIT_COST`] while that
    /// is unknown.
    pub(crate) fn cost(&self, class: ClassId) -> u64 {
        let Some(stats) = self.known(class).filter(|_| self.all.mean_tokens > 0.0) else {
            return UNIT_COST;
        };
        let (low, high) = COST_BOUNDS;
        let ratio = (stats.mean_tokens / self.all.mean_tokens).clamp(low, high);
        (ratio * UNIT_COST as f64) as u64
    }

    fn known(&self, class: ClassId) -> Option<&ServiceStats> {
        self.classes.get(&class).filter(|stats| stats.is_known())
    }
}
