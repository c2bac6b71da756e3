//! The daemon `clementined`: sockets and threads around the reducer of the `control` crate.

pub mod admin;
pub mod driver;
mod forward;
pub mod front;
mod http;
mod link;
pub mod metrics;
pub mod peer;
pub mod platform;
mod process;
mod traffic;
pub mod watch;

pub use aio::Clock;
use aio::deadline;
pub use link::{Input, Link, Shared};
pub use process::{RunError, run};
pub use traffic::{Pool, Traffic};
