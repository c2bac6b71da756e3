//! daemon.
