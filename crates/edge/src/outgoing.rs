//! Requests to backend servers.

use http1::{Framing, RequestHead, push_field};

use crate::{AttemptFields, HeaderCodec, response_writer::is_hop_by_hop};

/// A caller's request that is forwarded to backend servers.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    /// The head that the caller sent.
    pub(crate) head: RequestHead,
    /// The body, without its framing.
    pub(crate) body: Vec<u8>,
}

impl OutgoingRequest {
    /// Encodes the head for an attempt: the caller's fields without hop-by-hop and private ones,
    /// and the fields of the attempt.
    pub(crate) fn encode_head(
        &self,
        header_codec: &dyn HeaderCodec,
        attempt: &AttemptFields<'_>,
    ) -> Vec<u8> {
        let fields = self.head.fields();
        let mut buf = Vec::with_capacity(768);
        buf.extend_from_slice(self.head.method().as_bytes());
        buf.push(b' ');
        buf.extend_from_slice(self.head.target().as_bytes());
        buf.extend_from_slice(b" HTTP/1.1\r\n");
        for (name, value) in fields.iter() {
            let is_last_event =
                attempt.last_event_id.is_some() && name.eq_ignore_ascii_case("last-event-id");
            if is_hop_by_hop(fields, name) || header_codec.is_private(name) || is_last_event {
                continue;
            }
            push_field(&mut buf, name, value);
        }
        header_codec.write_attempt(&mut buf, attempt);
        if let Some(id) = attempt.last_event_id {
            push_field(&mut buf, "Last-Event-Id", id.to_string().as_bytes());
        }
        if self.head.framing() != Framing::Absent {
            push_field(&mut buf, "Content-Length", self.body.len().to_string().as_bytes());
        }
        buf.extend_from_slice(b"\r\n");
        buf
    }
}
