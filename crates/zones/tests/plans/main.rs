//! How many requests leave their zone, for the loads that zones may have.

#![allow(clippy::unwrap_used)]

mod bounds;
mod lost;
mod short;
mod support;
mod unknown;
mod waves;
mod wrong;
