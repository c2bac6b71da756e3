//! Tests with real daemon processes behind fault-injecting proxies: rates, idempotency, refusals,
//! responses, tiers and overload.
//!
//! The environment variable `PROOF_POLICY` (for example `static-limits` or `fifo`) runs them with a
//! baseline scheduling policy, which is expected to fail them.
#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test")]

mod answers;
mod once;
mod order;
mod overload;
mod rates;
mod refusals;
mod support;
