//! Decisions of the reducer, driven by events without a network and with a simulated clock.

#![allow(clippy::unwrap_used)]

mod account_shares;
mod affinity;
mod cold_again;
mod copies;
mod ends;
mod fleet;
mod held_errors;
mod keys;
mod known_loads;
mod lapses;
mod leaving;
mod leaving_reports;
mod live;
mod notice_limits;
mod reading;
mod restart;
mod server_limits;
mod server_notices;
mod shutdown;
mod start_limits;
mod support;
mod tiers;
mod tree;
mod versions;
mod zone_plans;
