//! Error responses that this process generates itself.

use model::prelude::*;
use serde_json::json;

/// When a caller may return whose request found no memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An error response that this process generates itself.
#[derive(Clone, Debug)]
pub(crate) struct Problem {
    status: u16,
    phrase: &'static str,
    reason: Reason,
    execution: Execution,
    detail: String,
    retry_after: Option<Duration>,
}

impl Problem {
    /// The response to a request that cannot be read or parsed.
    pub(crate) fn unreadable(reason: Reason, detail: impl Into<String>) -> Self {
        let (status, phrase) = match reason {
            Reason::TooLarge => (413, "Content Too Large"),
            Reason::SlowCaller => (408, "Request Timeout"),
            _ => (400, "Bad Request"),
        };
        let execution = Execution::NotRun;
        Self { status, phrase, reason, execution, detail: detail.into(), retry_after: None }
    }

    /// The response to a request for which other ones leave too little memory.
    pub(crate) fn no_memory() -> Self {
        Refusal::not_run(Reason::Capacity).retry_after(NO_MEMORY_RETRY_AFTER).into()
    }

    /// The response to a request whose head exceeds the limits.
    pub(crate) fn head_too_large() -> Self {
        let problem = Self::unreadable(Reason::TooLarge, "the head is too large");
        Self { status: 431, phrase: "Request Header Fields Too Large", ..problem }
    }

    /// Encodes the response. `id` is the name and the value of the field with the request's id; without
    /// `keep` the response says that the connection closes. A response to `HEAD` has the length of a
    /// body and no body.
    pub(crate) fn encode(&self, id: Option<(&str, &str)>, keep: bool, is_head: bool) -> Vec<u8> {
        let body = json!({
            "reason": self.reason,
            "execution": self.execution,
            "detail": self.detail,
        });
        let body = body.to_string();
        let mut text = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            self.status,
            self.phrase,
            body.len()
        );
        if let Some((name, id)) = id {
            text.push_str(&format!("{name}: {id}\r\n"));
        }
        if let Some(span) = self.retry_after {
            text.push_str(&format!("Retry-After: {:.3}\r\n", span.as_secs_f64()));
        }
        text.push_str(if keep { "\r\n" } else { "Connection: close\r\n\r\n" });
        if !is_head {
            text.push_str(&body);
        }
        text.into_bytes()
    }

    pub(crate) fn status(&self) -> u16 {
        self.status
    }
}

impl From<Refusal> for Problem {
    /// Uses a status that promises that the request did not run only if that is certain.
    fn from(refusal: Refusal) -> Self {
        let (status, phrase) = match (refusal.reason, refusal.execution) {
            (Reason::NoRoute, _) => (404, "Not Found"),
            (Reason::NoKey, Execution::NotRun) => (401, "Unauthorized"),
            (_, Execution::NotRun) => (503, "Service Unavailable"),
            (Reason::ServerTimeout, Execution::Unknown) => (504, "Gateway Timeout"),
            (_, Execution::Unknown) => (502, "Bad Gateway"),
        };
        Self {
            status,
            phrase,
            reason: refusal.reason,
            execution: refusal.execution,
            detail: String::new(),
            retry_after: refusal.retry_after,
        }
    }
}
