//! Idempotency keys: a request with a key runs at most once, though nothing lasts in the fleet.
//!
//! Before a request with an idempotency key runs, its instance claims the key at three holders
//! ([`Claims`]): the first three instances in the key's rendezvous order. Each holder remembers
//! who claimed a key first ([`HeldKeys`]) for [`RETENTION`].
//!
//! # Why a key is claimed by one request only
//!
//! A request that is not marked as a resend runs once two of the three holders have called its
//! key new. Any two such majorities of the same three holders have a holder in common, and that
//! one calls the key new only to the first of two claims. The same holds for two of two holders
//! and for a single one.
//!
//! # What happens when holders change
//!
//! * A holder that restarts has forgotten its keys. Until it has run for [`RETENTION`], it answers
//!   [`Unsure`](model::msg::OnceVerdict::Unsure) to resends of keys that it does not know, and the
//!   resend is refused as a possible duplicate.
//! * When one instance joins or leaves, two of a key's three holders stay, and at least one of
//!   them knows of the earlier claim. A resend needs the word of every holder that the key is
//!   new, so it meets that one.
//! * When more than one instance leaves within [`RETENTION`], all who knew may be gone, and
//!   instances that stayed may have become holders. [`HeldKeys::distrust_unknown`] makes those
//!   unsure too.
//!
//! So a resend that says so is never run twice. A caller that sends a request again without
//! saying so is protected only as long as the holders stay the same.
//!
//! # When a request did not run
//!
//! A request that is refused without having run frees its key ([`Claims::free`]), so that it can
//! be sent again. If that message is lost, the resend is refused as a duplicate: safe, if not
//! kind.

mod claim;
mod claims;
mod memory;

use std::time::Duration;

pub use claims::{Claims, ClaimsOut, KeyedRequest};
pub use memory::HeldKeys;

/// How long a claimed key is remembered.
pub const RETENTION: Duration = Duration::from_secs(600);
