//! What an attempt read of its server's response.

/// What an attempt read of its server's response, for the log. It decides nothing.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct ResponseTrace {
    /// How the head says where the body ends; `None` if no head was read.
    pub framing: Option<&'static str>,
    /// Events of a stream that went to the caller.
    pub events: u32,
    /// Events that were left out: the caller has them from an earlier attempt.
    pub repeated: u32,
    /// Bytes that were read beyond the end of the response; its connection is not used again.
    pub unread: usize,
    /// Why the response is not used, or not to its end; `None` if it is, or if its time was over.
    pub fault: Option<&'static str>,
}
