//! What the answer to a request looks like.

use serde_json::json;

use crate::{Fault, Knobs, Received};

const MAX_TOKENS: u64 = 1_000_000;

/// What the answer to a request looks like.
pub(super) struct Shape {
    pub(super) request_id: String,
    nonce: String,
    pub(super) wanted: u32,
    pub(super) skip: u32,
    pub(super) stream: bool,
    pub(super) fault: Option<Fault>,
}

impl Shape {
    pub(super) fn of(request: &Received, knobs: &Knobs, fault: Option<Fault>) -> Self {
        let body = request.json();
        let asked = ["max_tokens", "tokens"].iter().find_map(|it| body[*it].as_u64());
        let asked = asked.unwrap_or(knobs.default_tokens.into()).min(MAX_TOKENS);
        let resume = request.header("x-resume-from").and_then(|it| it.parse().ok());
        let foreign = fault == Some(Fault::Foreign);
        let own = |text: &str| if foreign { "foreign".to_owned() } else { text.to_owned() };
        Self {
            request_id: own(request.header("x-request-id").unwrap_or_default()),
            nonce: own(&request.mark("nonce")),
            wanted: u32::try_from(asked).unwrap_or(u32::MAX),
            skip: resume.filter(|_| knobs.resumes).unwrap_or(0),
            stream: body["stream"].as_bool().unwrap_or(false),
            fault,
        }
    }

    pub(super) fn event(&self, index: u32) -> Vec<u8> {
        let event = json!({
            "id": self.request_id, "index": index, "nonce": self.nonce, "text": "token ",
        });
        format!("data: {event}\n\n").into_bytes()
    }

    pub(super) fn whole(&self) -> Vec<u8> {
        let body = json!({
            "id": self.request_id, "nonce": self.nonce, "tokens": self.wanted,
            "text": "token ".repeat(self.wanted as usize),
        });
        body.to_string().into_bytes()
    }
}
