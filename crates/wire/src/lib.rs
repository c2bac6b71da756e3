//! wire.
