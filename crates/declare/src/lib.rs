//! Declares the configuration of a fleet in Rust.
//!
//! A [`Fleet`] consists of [`Zone`]s, [`Class`]es, [`Account`]s, [`Pool`]s, [`Server`]s and
//! [`Route`]s. [`Fleet::publish`] returns the JSON document to publish. It rejects what the daemons
//! would reject, with the same findings. [`deployment`] declares two complete fleets.
//!
//! ```
//! use std::time::Duration;
//!
//! use declare::{Account, Class, Fleet, Pool, Route, Server, Zone};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let text = Fleet::new(1)
//!     .zone(Zone::new("north"))
//!     .class(Class::new("lookups").tier(0).target(Duration::from_millis(300)))
//!     .account(Account::new("outlet-1").key("the key of outlet 1").rate(20.0).burst(40))
//!     .pool(Pool::service("stock"))
//!     .server(
//!         Server::new("stock-1", "10.0.1.7:80".parse()?)
//!             .zone("north")
//!             .pool("stock")
//!             .limit(32)
//!             .cold_limit(4),
//!     )
//!     .route(Route::get("/stock/level").pool("stock").class("lookups").idempotent())
//!     .publish()?;
//!
//! assert!(config::Config::parse(&text).is_ok());
//! # Ok(())
//! # }
//! ```

mod account;
mod class;
pub mod deployment;
mod fleet;
mod pool;
mod route;
mod server;
mod zone;

pub use account::Account;
pub use class::Class;
pub use config::{Findings, ServerState, ZoneState};
pub use fleet::Fleet;
pub use pool::Pool;
pub use route::Route;
pub use server::{Engine, Server};
pub use zone::Zone;

use std::time::Duration;

/// Rounds a duration down to milliseconds.
fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
