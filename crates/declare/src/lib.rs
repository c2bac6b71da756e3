//! declare.
