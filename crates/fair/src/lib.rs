//! Shares of client accounts in engines that are short.
//!
//! Each instance measures what its requests of each account ask for. The fleet adds that up, and
//! each instance compares the total with the tokens that the engines can serve: an account that
//! asks for more than its max-min fair share has an excess. Requests with a greater excess wait
//! longer; nothing is held back while engines have room.
//!
//! This crate uses neither sockets nor a clock.
//!
//! * [`UseMeter`]: what the requests of each account asked for lately,
//! * [`fair_level`]: the largest share if the capacity is divided by max-min fairness,
//! * [`FairShares`]: which accounts are above their share,
//! * [`Excess`]: by how much.

mod excess;
mod fair_level;
mod fair_shares;
mod use_meter;

pub use excess::Excess;
pub use fair_level::fair_level;
pub use fair_shares::{ExcessChange, FairShares};
pub use use_meter::UseMeter;
