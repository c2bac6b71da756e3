//! Proofs with real processes behind the fault proxy: cold starts, availability zones and backend
//! servers that leave, keys, graceful shutdown and the configuration.
#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test")]

mod cold;
mod configuration;
mod keys;
mod leaving;
mod shutdown;
mod support;
