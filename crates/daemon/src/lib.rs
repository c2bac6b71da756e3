//! The daemon `clementined`: runs the reducer of the `control` crate on sockets and threads.
//!
//! The control thread runs the reducer and the connections to other instances. The traffic threads
//! serve callers and operators, forward requests to backend servers and read the platform.

pub mod admin;
mod channel;
pub mod driver;
mod forward;
pub mod front;
mod http;
pub mod metrics;
pub mod peer;
pub mod platform;
mod process;
mod traffic;
pub mod watch;

pub use aio::Clock;
use aio::deadline;
pub use channel::{ControlSender, Input, Shared};
pub use process::{RunError, run};
pub use traffic::{Context, ThreadPool};
