//! The daemon `clementined`: sockets and threads around the reducer of the `control` crate.

pub mod admin;
mod clock;
mod deadline;
mod forward;
pub mod front;
mod http;
mod link;
pub mod metrics;
pub mod platform;
mod traffic;
pub mod watch;

pub use clock::Clock;
pub use link::{Input, Link, Shared};
pub use traffic::{Pool, Traffic};
