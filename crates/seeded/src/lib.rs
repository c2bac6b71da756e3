//! Property tests over generated values with fixed seeds, so that every run has the same result.
//!
//! `bolero::check!` uses new random seeds in every run. [`check`] takes the same generators, runs
//! them with a fixed sequence of seeds and prints the seed of a value that fails.

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::{TypeGenerator, ValueGenerator};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

/// Runs `test` on the values that `generator` produces from the seeds `0..seeds`.
///
/// A seed from which it produces no value is skipped.
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

/// Runs [`check`] with the default generator of a type.
pub fn check_type<T: TypeGenerator>(seeds: u64, test: impl Fn(&T)) {
    check(bolero::generator::produce::<T>(), seeds, test);
}

/// Prints its seed when dropped, which happens only if the test panics.
struct ReportSeed(u64);

impl Drop for ReportSeed {
    fn drop(&mut self) {
        eprintln!("the test failed on the value from seed {}", self.0);
    }
}
