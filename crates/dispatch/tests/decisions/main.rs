//! The decisions of one instance, without network and clock.

#![allow(clippy::unwrap_used)]

mod affinity;
mod copies;
mod keys;
mod lapses;
mod live;
mod reading;
mod restart;
mod shutdown;
mod support;
