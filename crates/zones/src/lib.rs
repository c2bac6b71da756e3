//! Whether requests leave their availability zone, and how many.
//!
//! Pure decisions, without sockets and clocks:
//!
//! * [`ZonePlan`]: the share of requests that may go to each other zone,
//! * [`ZoneLoad`]: what the engines of a zone carry and could carry,
//! * [`Crossing`]: what a request pays for going to another zone.

mod crossing;
mod zone_load;
mod zone_plan;

pub use crossing::Crossing;
pub use zone_load::ZoneLoad;
pub use zone_plan::{PlanContext, ZonePlan};
