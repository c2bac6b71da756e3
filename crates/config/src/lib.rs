//! config.
