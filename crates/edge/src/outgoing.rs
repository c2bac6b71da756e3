//! A request as backend servers get it.

use http1::{Framing, RequestHead, push_field};

use crate::{AttemptFields, HeaderCodec, answer::is_hop_by_hop};

/// A request as backend servers get it.
#[derive(Debug)]
pub(crate) struct Outgoing {
    /// The head of the caller.
    pub(crate) head: RequestHead,
    /// The body.
    pub(crate) body: Vec<u8>,
}

impl Outgoing {
    /// Returns the head for an attempt: what the caller sent, but for what concerns its
    /// connection and what is private.
    pub(crate) fn head(&self, dialect: &dyn HeaderCodec, attempt: &AttemptFields<'_>) -> Vec<u8> {
        let fields = self.head.fields();
        let mut buf = Vec::with_capacity(768);
        buf.extend_from_slice(self.head.method().as_bytes());
        buf.push(b' ');
        buf.extend_from_slice(self.head.target().as_bytes());
        buf.extend_from_slice(b" HTTP/1.1\r\n");
        for (name, value) in fields.iter() {
            let is_last_event =
                attempt.last_event_id.is_some() && name.eq_ignore_ascii_case("last-event-id");
            if is_hop_by_hop(fields, name) || dialect.is_private(name) || is_last_event {
                continue;
            }
            push_field(&mut buf, name, value);
        }
        dialect.write_attempt(&mut buf, attempt);
        if let Some(id) = attempt.last_event_id {
            push_field(&mut buf, "Last-Event-Id", id.as_bytes());
        }
        if self.head.framing() != Framing::Absent {
            push_field(&mut buf, "Content-Length", self.body.len().to_string().as_bytes());
        }
        buf.extend_from_slice(b"\r\n");
        buf
    }
}
