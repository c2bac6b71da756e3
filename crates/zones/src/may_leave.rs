//! Whether a single request is within a share.

/// Returns whether a request with this hash of its id is within a share of all requests, from 0 to 1.
///
/// It depends on nothing else, so that retries and instances agree. A request within a share is also
/// within each larger one.
pub fn may_leave(share: f64, hash: u64) -> bool {
    position(hash) < share
}

/// Returns the position of a hash among all hashes, from 0 to less than 1.
pub(crate) fn position(hash: u64) -> f64 {
    // The 53 bits that a double keeps: rounding up to 1 would leave requests out of the share 1.
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
