//! ctl.
fn main() {}
