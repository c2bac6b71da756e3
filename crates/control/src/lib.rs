//! control.
