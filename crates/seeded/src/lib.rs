//! Properties over generated values with fixed seeds, so that every run gives the same verdict.
//!
//! `bolero::check!` draws new seeds on every run. [`check`] takes the same generators and feeds
//! them from a fixed sequence of seeds, and names the seed of a value that fails.

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::{TypeGenerator, ValueGenerator};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

/// Runs `test` on the values that `generator` makes from the seeds 0 to `seeds`.
pub fn check<G: ValueGenerator>(generator: G, seeds: u64, test: impl Fn(&G::Output)) {
    for seed in 0..seeds {
        let options = Options::default();
        let mut driver = Rng::new(ChaCha8Rng::seed_from_u64(seed), &options);
        let Some(value) = generator.generate(&mut driver) else { continue };
        let report = ReportSeed(seed);
        test(&value);
        std::mem::forget(report);
    }
}

/// As [`check`], on any value of a type.
pub fn check_type<T: TypeGenerator>(seeds: u64, test: impl Fn(&T)) {
    check(bolero::generator::produce::<T>(), seeds, test);
}

/// Prints its seed when a test's panic drops it.
struct ReportSeed(u64);

impl Drop for ReportSeed {
    fn drop(&mut self) {
        eprintln!("the value of seed {} failed", self.0);
    }
}
