//! Whether requests leave their availability zone, and how many.
//!
//! * [`ZoneLoad`]: what the engines of a zone carry and could carry.

mod zone_load;

pub use zone_load::ZoneLoad;
