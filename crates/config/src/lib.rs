//! The documents that operators write: settings, configuration and instance list.
//!
//! * [`Settings`] are read by each process at its start: its name, addresses, zone and own limits.
//! * [`Config`] is published for the whole fleet: classes, accounts, zones, backend servers and
//!   routes. [`Catalog`] is its indexed form.
//! * [`InstanceList`] is published by the platform.
//!
//! Each has the same three functions: `parse` and `check` read a JSON text and report its errors
//! and warnings as [`Findings`], `schema` returns the JSON Schema. [`diff()`] compares two
//! configurations.

mod catalog;
mod check;
mod diff;
mod document;
mod finding;
mod list;
mod schema;
mod settings;

pub use catalog::{AccountSpec, Catalog, ClassSpec, RouteSpec, ServerSpec};
pub use check::{Checked, MAX_DOCUMENT_BYTES};
pub use diff::{Change, Edit, diff};
pub use document::{
    Account, Class, Config, Engine, Order, OrderKind, Pool, PoolKind, Route, Server, ServerState,
    Zone, ZoneState,
};
pub use finding::{Finding, Findings, Place, Severity};
pub use list::{Instance, InstanceList, InstanceState};
pub use settings::{Limits, Ownership, Platform, Policy, Settings};
