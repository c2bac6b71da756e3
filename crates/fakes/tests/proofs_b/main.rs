//! Proofs with real processes behind fault proxies: rates, idempotency, refusals, answers, tiers and
//! overload.
//!
//! `PROOF_POLICY` (for example `static-limits` or `fifo`) runs them with a baseline policy, which
//! is expected to fail them.
#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test")]

mod answers;
mod once;
mod order;
mod overload;
mod rates;
mod refusals;
mod support;
