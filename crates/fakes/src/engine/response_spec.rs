//! Contents of the response to a request.

use serde_json::json;

use crate::{EngineBehavior, Fault, ReceivedRequest};

/// Limits the size of a response, whatever a request asks for.
const MAX_TOKENS: u64 = 1_000_000;

/// Contents of the response to a request.
pub(super) struct ResponseSpec {
    pub(super) request_id: String,
    nonce: String,
    pub(super) total_tokens: u32,
    /// Tokens before the index from which a stream is resumed.
    pub(super) skipped_tokens: u32,
    pub(super) stream: bool,
    pub(super) fault: Option<Fault>,
}

impl ResponseSpec {
    pub(super) fn of(
        request: &ReceivedRequest,
        behavior: &EngineBehavior,
        fault: Option<Fault>,
    ) -> Self {
        let body = request.json();
        let requested = ["max_tokens", "tokens"].iter().find_map(|field| body[*field].as_u64());
        let requested = requested.unwrap_or(behavior.default_tokens.into()).min(MAX_TOKENS);
        let resume = request.header("x-resume-from").and_then(|it| it.parse().ok());
        let foreign = fault == Some(Fault::Foreign);
        let echo = |text: &str| if foreign { "foreign".to_owned() } else { text.to_owned() };
        Self {
            request_id: echo(request.header("x-request-id").unwrap_or_default()),
            nonce: echo(&request.mark("nonce")),
            total_tokens: u32::try_from(requested).unwrap_or(u32::MAX),
            skipped_tokens: resume.filter(|_| behavior.resumes).unwrap_or(0),
            stream: body["stream"].as_bool().unwrap_or(false),
            fault,
        }
    }

    /// Returns the event of the token with this index.
    pub(super) fn event(&self, index: u32) -> Vec<u8> {
        let event = json!({
            "id": self.request_id, "index": index, "nonce": self.nonce, "text": "token ",
        });
        format!("data: {event}\n\n").into_bytes()
    }

    /// Returns the body of a response that is not streamed.
    pub(super) fn complete_body(&self) -> Vec<u8> {
        let body = json!({
            "id": self.request_id, "nonce": self.nonce, "tokens": self.total_tokens,
            "text": "token ".repeat(self.total_tokens as usize),
        });
        body.to_string().into_bytes()
    }
}
