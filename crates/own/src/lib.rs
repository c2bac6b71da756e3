//! own.
