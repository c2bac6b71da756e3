//! The documents that operators write: settings, configuration and instance list.
//!
//! * [`Settings`] are read by one process at its start: its name, addresses, zone and own limits.
//! * [`Config`] is published for the whole fleet: classes, accounts, zones, backend servers, routes.
//!   [`Catalog`] is its form for look-ups.
//! * [`InstanceList`] is published by the platform.

mod catalog;
mod document;
mod list;
mod settings;

pub use catalog::{AccountSpec, Catalog, ClassSpec, RouteSpec, ServerSpec};
pub use document::{
    Account, Class, Config, Engine, Order, OrderKind, Pool, PoolKind, Route, Server, ServerState,
    Zone, ZoneState,
};
pub use list::{Instance, InstanceList, InstanceState};
pub use settings::{Limits, Ownership, Platform, Policy, Settings};
