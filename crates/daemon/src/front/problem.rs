//! Error responses to callers.

use std::time::Duration;

use http_types::{Response, StatusCode};
use model::prelude::*;
use serde::Serialize;

/// A refusal with the status and the message that the caller gets.
#[derive(Debug)]
pub(super) struct Problem {
    refusal: Refusal,
    status: StatusCode,
    message: &'static str,
}

impl Problem {
    /// Refuses a request that did not run, with a more specific message than that of the reason.
    pub(super) fn not_run(reason: Reason, message: &'static str) -> Self {
        Self { message, ..Self::from(Refusal::not_run(reason)) }
    }

    /// Refuses a request whose path has a route, but not with the request's method.
    pub(super) fn method_not_allowed() -> Self {
        Self {
            status: StatusCode::MethodNotAllowed,
            ..Self::not_run(Reason::NoRoute, "the path has no route with this method")
        }
    }

    /// Returns why the request was refused.
    pub(super) fn reason(&self) -> Reason {
        self.refusal.reason
    }

    /// Returns the response with the error document.
    pub(super) fn response(&self, id: RequestId) -> Response {
        let mut res = Response::new(self.status);
        let error = ErrorBody {
            reason: self.refusal.reason,
            message: self.message,
            outcome: self.refusal.execution,
            request_id: id,
        };
        res.set_body(serde_json::to_vec(&Document { error }).unwrap_or_default());
        res.insert_header("content-type", "application/json");
        res.insert_header("x-outcome", outcome(self.refusal.execution));
        if let Some(span) = self.refusal.retry_after {
            res.insert_header("retry-after", seconds_rounded_up(span).to_string());
        }
        res
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let (status, message) = match refusal.reason {
            Reason::BadRequest => (StatusCode::BadRequest, "the request is not well formed"),
            Reason::TooLarge => (StatusCode::PayloadTooLarge, "the request is too large"),
            Reason::SlowCaller => (StatusCode::RequestTimeout, "the request was sent too slowly"),
            Reason::NoRoute => (StatusCode::NotFound, "there is no such route or model"),
            Reason::NoKey => (StatusCode::Unauthorized, "the route requires a valid API key"),
            Reason::OverRate => {
                (StatusCode::TooManyRequests, "the client account is over its rate")
            }
            Reason::Capacity => {
                (StatusCode::ServiceUnavailable, "there is not enough capacity at present")
            }
            Reason::NoServer => {
                (StatusCode::ServiceUnavailable, "no backend server is available at present")
            }
            Reason::NotReady => {
                (StatusCode::ServiceUnavailable, "the instance is starting or shutting down")
            }
            Reason::NoOwner => {
                (StatusCode::ServiceUnavailable, "a required instance cannot be reached")
            }
            Reason::Duplicate => {
                (StatusCode::Conflict, "a request with this idempotency key was received before")
            }
            Reason::MaybeDuplicate => (
                StatusCode::Conflict,
                "a request with this idempotency key may have been received before",
            ),
            Reason::OriginUnknown | Reason::OriginGone => (
                StatusCode::ServiceUnavailable,
                "no server has the software version that began the stream, or that is not known",
            ),
            Reason::Quarantined => {
                (StatusCode::ServiceUnavailable, "a part of the prompt has ended servers")
            }
            Reason::ServerFailed => (StatusCode::BadGateway, "the backend server failed"),
            Reason::ServerTimeout => {
                (StatusCode::GatewayTimeout, "the backend server did not respond in time")
            }
            Reason::CallerLeft => (StatusCode::BadRequest, "the caller closed the connection"),
        };
        Self { refusal, status, message }
    }
}

#[derive(Serialize)]
struct Document {
    error: ErrorBody,
}

#[derive(Serialize)]
struct ErrorBody {
    #[serde(rename = "type")]
    reason: Reason,
    message: &'static str,
    outcome: Execution,
    request_id: RequestId,
}

fn outcome(execution: Execution) -> &'static str {
    match execution {
        Execution::NotRun => "not-run",
        Execution::Unknown => "unknown",
    }
}

/// Rounds up to seconds, at least one, so that the caller does not retry too early.
fn seconds_rounded_up(span: Duration) -> u64 {
    (span.as_secs() + u64::from(span.subsec_nanos() > 0)).max(1)
}
