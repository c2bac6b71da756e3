//! Requests that are not served.

use http1::BodyError;
use model::prelude::*;

use crate::problem::Problem;

/// Why a request is not served.
pub(crate) enum Rejection {
    /// The caller gets this error response.
    Problem(Problem),
    /// No caller waits for a response.
    CallerLeft,
}

impl Rejection {
    pub(crate) fn unreadable_body(err: &BodyError) -> Self {
        match err {
            BodyError::Broken(_) => Self::CallerLeft,
            BodyError::Malformed => Problem::unreadable(Reason::BadRequest, err.to_string()).into(),
            BodyError::TooLarge(_) => Problem::unreadable(Reason::TooLarge, err.to_string()).into(),
        }
    }
}

impl From<Problem> for Rejection {
    fn from(problem: Problem) -> Self {
        Self::Problem(problem)
    }
}
