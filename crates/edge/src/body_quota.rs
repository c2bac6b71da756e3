//! The memory that request bodies take.

use std::rc::Rc;

use async_net::TcpStream;
use http1::{BodyDecoder, BodyError, Buffered, Framing};

use crate::Instance;

/// Request bodies together may take the process's memory divided by this; beyond it, further
/// requests are rejected.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Memory that a request reserves for its body, released on drop.
pub(crate) struct BodyQuota {
    instance: Rc<Instance>,
    bytes: usize,
}

impl BodyQuota {
    /// Reserves bytes; returns `None` if other bodies leave too little.
    pub(crate) fn reserve(instance: &Rc<Instance>, bytes: usize) -> Option<Self> {
        let mut quota = Self { instance: Rc::clone(instance), bytes: 0 };
        quota.grow(bytes).then_some(quota)
    }

    /// Reserves further bytes. Returns `false` and leaves the reservation as it is if other bodies leave
    /// too little. A body that is the only one is admitted even if it exceeds the limit.
    pub(crate) fn grow(&mut self, more: usize) -> bool {
        let max = self.instance.settings.memory_bytes / BODY_MEMORY_DIVISOR;
        let taken = self.instance.body_bytes.get();
        if taken + more > max && taken > self.bytes {
            return false;
        }
        self.instance.body_bytes.set(taken + more);
        self.bytes += more;
        true
    }
}

impl Drop for BodyQuota {
    fn drop(&mut self) {
        self.instance.body_bytes.set(self.instance.body_bytes.get().saturating_sub(self.bytes));
    }
}

/// Reads a chunked body of at most `limit` bytes, for each of which memory is reserved before it is
/// kept. Returns `None` if there is too little.
pub(crate) async fn read_counted(
    input: &mut Buffered<TcpStream>,
    limit: usize,
    quota: &mut BodyQuota,
) -> Result<Option<Vec<u8>>, BodyError> {
    let mut decoder = BodyDecoder::new(Framing::Chunked);
    let mut body = Vec::new();
    while let Some(piece) = decoder.next(input).await? {
        if body.len() + piece.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        if !quota.grow(piece.len()) {
            return Ok(None);
        }
        body.extend_from_slice(&piece);
    }
    Ok(Some(body))
}
