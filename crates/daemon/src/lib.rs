//! The daemon `clementined`: sockets and threads around the reducer of the `control` crate.

mod clock;
mod link;

pub use clock::Clock;
pub use link::{Input, Link, Shared};
