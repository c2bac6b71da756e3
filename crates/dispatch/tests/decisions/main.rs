//! The decisions of one instance, without network and clock.

#![allow(clippy::unwrap_used)]

mod affinity;
mod copies;
mod live;
mod shutdown;
mod support;
