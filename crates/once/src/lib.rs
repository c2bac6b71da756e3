//! once.
