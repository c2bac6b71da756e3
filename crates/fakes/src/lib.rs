//! Stand-ins of the systems around the daemon, and what tests and experiments need to run a fleet
//! of real processes:
//!
//! * [`Engine`] stands for a model engine or a plain service, [`Platform`] for the configuration
//!   service and the instance list,
//! * [`Proxy`] injects faults into one link, [`Net`] into all links between daemons,
//! * [`Fleet`] starts, stops and inspects daemons together with everything around them,
//! * [`Client`] and [`Balancer`] call the fleet as callers do, [`load`] does so many times.
//!
//! [`Trial`] puts these together to one run under load and faults. Everything in this process runs
//! on a few shared threads, see [`rt`].

mod balancer;
mod builder;
mod client;
mod deployment;
mod engine;
mod error;
mod fleet;
mod host;
mod http;
mod knobs;
pub mod load;
mod net;
mod platform;
mod ports;
mod presets;
mod process;
mod proxy;
mod record;
pub mod rt;
mod trial;

pub use balancer::{Balancer, Spread};
pub use builder::{FleetBuilder, key_of};
pub use client::{Call, Client, End, Reply, exchange_raw};
pub use deployment::Deployment;
pub use engine::Engine;
pub use error::FleetError;
pub use fleet::Fleet;
pub use http::{Header, Received};
pub use knobs::{Fault, Knobs};
pub use net::Net;
pub use platform::{Platform, Reads};
pub use ports::free_port;
pub use process::Process;
pub use proxy::{Direction, Proxy};
pub use record::{Entry, Finish, excess, peak, peak_running};
pub use trial::{Outcome, Scenario, Trial};
