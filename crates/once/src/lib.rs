//! Idempotency keys: a request with a key runs at most once, although instances keep nothing across
//! a restart.
//!
//! Before a request with an idempotency key runs, its instance claims the key at three holders
//! ([`Claims`]): the first three instances in the key's rendezvous order. Each holder remembers
//! for [`RETENTION`] who claimed a key first ([`HeldKeys`]).
//!
//! # Why only one request can claim a key
//!
//! A request that is not marked as a resend runs once two of the three holders have replied that
//! its key is new. Any two such majorities of the same three holders have a holder in common, and
//! that one replies that the key is new only to the first of two claims. The same holds for two of
//! two holders and for a single one.
//!
//! # What happens when holders change
//!
//! * A holder that restarts has lost its keys. Until it has run for [`RETENTION`], it replies
//!   [`Unsure`](model::msg::OnceVerdict::Unsure) to resends with keys that it does not know, and
//!   the resend is refused as a possible duplicate.
//! * When one instance joins or leaves, two of a key's three holders stay, and at least one of
//!   them knows of an earlier claim. A resend runs only if every holder replies that the key is
//!   new, so it is refused.
//! * When more than one instance leaves within [`RETENTION`], all holders that knew of a claim may
//!   be gone, and instances that stayed may have become holders. [`HeldKeys::distrust_unknown`]
//!   makes those unsure too.
//!
//! So a request that the caller marks as a resend never runs twice. A caller that resends a request
//! without saying so is protected only while the holders stay the same.
//!
//! # When a request did not run
//!
//! A request that is refused without having run frees its key ([`Claims::free`]), so that it can
//! be sent again. If that message is lost, the resend is refused as a duplicate, which is safe but
//! unnecessary.

mod claim;
mod claims;
mod held_keys;

use std::time::Duration;

pub use claims::{Claims, ClaimsOut, KeyedRequest};
pub use held_keys::HeldKeys;

/// How long a holder remembers a claimed key, counted from the claim.
pub const RETENTION: Duration = Duration::from_secs(600);
