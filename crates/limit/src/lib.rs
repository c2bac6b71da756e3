//! limit.
