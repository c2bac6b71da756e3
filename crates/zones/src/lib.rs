//! Whether requests leave their availability zone, and how many.
//!
//! Pure decisions, without sockets and clocks:
//!
//! * [`ZoneLoad`]: what the engines of a zone carry and could carry,
//! * [`RoundTrips`]: the time to connect to each zone,
//! * [`Homes`]: the engines that keep a shared part of prompts,
//! * [`may_leave`]: whether a single request is within a share.

mod homes;
mod may_leave;
mod round_trips;
mod zone_load;

pub use homes::{Homes, zone_home_pays};
pub use may_leave::may_leave;
pub use round_trips::RoundTrips;
pub use zone_load::ZoneLoad;
