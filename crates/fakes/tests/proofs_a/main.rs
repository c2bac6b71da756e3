//! Tests with real daemon processes behind fault-injecting proxies: cold starts, evacuated zones
//! and leaving backend servers, API keys, graceful shutdown and the configuration.
#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test")]

mod cold;
mod configuration;
mod keys;
mod leaving;
mod shutdown;
mod support;
