//! Rate limits of client accounts, enforced across the whole fleet.
//!
//! An account's rate and burst are divided into one part for each availability zone ([`split`]).
//! Each part, a share, is owned by one instance, which hands out its tokens ([`Shares`]). A token
//! is the right to send one attempt to a backend server. An instance that has a request asks for a
//! token ([`TokenClient`]): first the owner of its own zone's share and, unless that owner gives
//! one at once, the owners of the other zones' shares too. The first token that arrives is used,
//! the others are returned. So requests that all enter through one zone can use the whole rate,
//! and owners need not move tokens between each other.
//!
//! # Why the limit holds over every window
//!
//! A share counts a token as outstanding from when it is handed out until its holder reports it
//! spent, [`REPORT_DELAY`] after sending the attempt, or until the token expires. So the attempt
//! arrives at the server while its token is outstanding. The bucket keeps
//! `level + outstanding <= burst`. Of the attempts that arrive within a window, those whose token
//! was handed out before the window were outstanding at its start; the tokens of the others were
//! in the bucket at its start or refilled since. That is at most `burst + rate * window`.
//!
//! A holder measures a token's validity with its own clock from a time that is not after the
//! owner's reply; the owner measures it from its own reply and adds a margin. A token that expires
//! without a report counts as spent. Tokens are valid for [`TOKEN_TTL`] at most, and holders that
//! wait for a backend server renew theirs, so a new owner that knows nothing of its predecessor's
//! tokens has to wait only that long ([`ShareStart::Empty`]).
//!
//! # What the limit costs
//!
//! Refill stops while `level + outstanding` equals the burst. A share can thus sustain at most
//! `burst / t` attempts a second, where `t` is the time from handing out a token to its report:
//! the wait for a backend server plus [`REPORT_DELAY`].

mod bucket;
mod leases;
mod queue;
mod share;
mod shares;
mod split;
mod staged_limits;
mod static_limits;
mod token_request;
mod wallet;

use std::time::Duration;

pub use share::ShareSummary;
pub use shares::{ShareStart, Shares, Timing};
pub use split::{SharePart, ShareSpec, split};
pub use static_limits::{OverRate, StaticLimits};
pub use wallet::{TokenClient, TokenClientOut};

/// How long a token is valid at most, from when it was handed out or last renewed.
pub const TOKEN_TTL: Duration = Duration::from_secs(1);

/// Time between writing an attempt's request to the backend server's connection and reporting its
/// token as spent. The request must have arrived at the server by then.
pub const REPORT_DELAY: Duration = Duration::from_millis(100);

/// How long a new owner that knows nothing of its predecessor's tokens hands out none, apart from
/// the margin for differing clocks: by then the old tokens have expired and their attempts have
/// arrived.
pub const HOLD_OFF: Duration = TOKEN_TTL.saturating_add(REPORT_DELAY);
