//! Fakes of the systems around the daemon, and a harness that runs a fleet of real daemon processes
//! for tests and experiments:
//!
//! * [`Engine`] is a fake model engine or plain service, [`Platform`] a fake configuration service
//!   and instance list,
//! * [`Proxy`] injects faults into one link, [`Net`] into all links between daemons,
//! * [`Fleet`] starts, stops and inspects daemons and the fakes around them,
//! * [`Client`] and [`Balancer`] send requests as callers do, [`load`] generates open-loop load.
//!
//! [`Trial`] combines these into one run under load and faults. All fakes and clients of a process
//! share a few threads, see [`rt`].

mod balancer;
mod behavior;
mod builder;
mod client;
mod deployment;
mod engine;
mod error;
mod fleet;
mod http;
mod listener;
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
pub use behavior::{EngineBehavior, Fault};
pub use builder::{FleetBuilder, key_of};
pub use client::{Call, Client, End, Reply, exchange_raw};
pub use deployment::Deployment;
pub use engine::Engine;
pub use error::FleetError;
pub use fleet::Fleet;
pub use http::{Header, ReceivedRequest};
pub use net::Net;
pub use platform::{Platform, ReadCounts};
pub use ports::free_port;
pub use process::Process;
pub use proxy::{Direction, Proxy};
pub use record::{Finish, RecordedRequest, excess, peak, peak_running};
pub use trial::{Outcome, Scenario, Trial};
