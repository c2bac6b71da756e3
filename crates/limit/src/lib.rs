//! Rates and bursts of client accounts, counted once in the whole fleet.
//!
//! An account's rate and burst are cut into one part for each availability zone ([`split`]). Each
//! part, a share, is held by one instance, its owner, which hands out tokens ([`Shares`]). A token
//! is the right to give one attempt to a backend server. The instance that has a request asks for
//! a token ([`TokenClient`]): first the owner of its own zone's share, and unless that one gives a
//! token at once, the owners of the other zones' shares as well. The first token that comes is
//! used, the others go back. So demand that comes through one zone can use the whole rate, and
//! owners never move tokens between each other.
//!
//! # Why the bound holds over every window
//!
//! A share counts a token as outstanding from when it is handed out until its holder reports that
//! the attempt has been at the backend server for [`REPORT_DELAY`], or until the token expires.
//! So the attempt arrives at the server while its token is outstanding. The bucket keeps
//! `level + outstanding <= burst`: of the attempts that arrive within a window, those with a token
//! handed out before the window were outstanding at its start, and the others were taken from the
//! level at its start or refilled since. That is at most `burst + rate * window`.
//!
//! A holder judges a token's validity from its own clock and from a time that is not after the
//! owner's answer, the owner from its own answer plus a margin. A token that expires unreported
//! counts as spent. Tokens are valid for [`TOKEN_TTL`] at most, and holders that wait for a
//! backend server renew theirs, so a new owner that knows nothing of its predecessor's tokens has
//! to wait only that long ([`Start::Empty`]).
//!
//! # What the bound costs
//!
//! Refill stops while `level + outstanding` is at the burst. A share can thus sustain at most
//! `burst / t` attempts a second, where `t` is the time from handing a token out to its report:
//! the wait for a backend server plus [`REPORT_DELAY`].

mod bucket;
mod growth;
mod leases;
mod queue;
mod share;
mod shares;
mod split;
mod static_limits;
mod wallet;
mod want;

use std::time::Duration;

pub use share::ShareSummary;
pub use shares::{Shares, Start, Timing};
pub use split::{SharePart, ShareSpec, split};
pub use static_limits::{OverRate, StaticLimits};
pub use wallet::{TokenClient, TokenClientOut};

/// The longest that a token is valid without being renewed.
pub const TOKEN_TTL: Duration = Duration::from_secs(1);

/// From when an attempt's request was written to the backend server's connection to the report
/// that its token was spent. By then the request has arrived at the server.
pub const REPORT_DELAY: Duration = Duration::from_millis(100);

/// For how long, and the clocks' margin, a new owner hands out nothing if it knows nothing of its
/// predecessor's tokens: until they have expired and their attempts have arrived.
pub const HOLD_OFF: Duration = TOKEN_TTL.saturating_add(REPORT_DELAY);
