//! Tests of the traffic threads over sockets, with scripted callers, backend servers, platform
//! services and control thread.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test")]

mod admin;
mod backend;
mod bench;
mod caller;
mod callers;
mod early_responses;
mod foreign;
mod forwarding;
mod framing;
mod fuzz;
mod invalid_heads;
mod platform;
mod shutdown;
mod watch;
