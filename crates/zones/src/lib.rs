//! Whether requests leave their availability zone, and how many.
//!
//! Pure decisions, without sockets and clocks:
//!
//! * [`ZonePlan`]: the share of requests that may go to each other zone, and what that costs them,
//! * [`ZoneLoad`]: what the engines of a zone carry and could carry,
//! * [`ZoneDemand`]: what the requests that came to a zone need,
//! * [`RoundTrips`]: the time to connect to each zone,
//! * [`Homes`]: the engines that keep a shared part of prompts,
//! * [`may_leave`]: whether a single request is within a share.

mod division;
mod homes;
mod may_leave;
mod round_trips;
mod work;
mod zone_demand;
mod zone_load;
mod zone_plan;

pub use homes::{Homes, zone_home_pays};
pub use may_leave::may_leave;
pub use round_trips::RoundTrips;
pub use zone_demand::ZoneDemand;
pub use zone_load::ZoneLoad;
pub use zone_plan::{PlanContext, ZonePlan};
