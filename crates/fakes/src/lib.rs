//! fakes.
