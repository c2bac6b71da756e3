//! The key of a client account in a request.

use std::fmt;

use http_types::{Request, headers::HeaderValues};
use model::prelude::*;

use super::problem::Problem;

/// Bytes from which on a key's text is looked for in the body, too: a shorter text can be there
/// by chance.
const MIN_SEARCHED_BYTES: usize = 8;

/// The text of a key. It lives until the request was read and is neither stored nor logged.
pub(super) struct AccountKey {
    text: String,
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccountKey(..)")
    }
}

impl AccountKey {
    /// Takes the key from `Authorization: Bearer` or `x-api-key`.
    pub(super) fn of(req: &Request) -> Result<Option<Self>, Problem> {
        let bearer = single(req.header("authorization"))?.and_then(bearer_token);
        let plain = single(req.header("x-api-key"))?.map(str::trim);
        let text = match (bearer, plain) {
            (Some(a), Some(b)) if a != b => return Err(two_keys()),
            (bearer, plain) => bearer.or(plain),
        };
        let text = text.filter(|it| !it.is_empty());
        Ok(text.map(|it| Self { text: it.to_owned() }))
    }

    /// Returns the key's hash.
    pub(super) fn hash(&self) -> KeyHash {
        KeyHash::of(self.text.as_bytes())
    }

    /// Returns whether the key's text occurs in a header field or in the query.
    pub(super) fn is_in(&self, text: &str) -> bool {
        text.contains(&self.text)
    }

    /// Returns whether the key's text occurs in a body.
    pub(super) fn is_in_body(&self, body: &[u8]) -> bool {
        let key = self.text.as_bytes();
        key.len() >= MIN_SEARCHED_BYTES && body.windows(key.len()).any(|it| it == key)
    }
}

fn single(values: Option<&HeaderValues>) -> Result<Option<&str>, Problem> {
    let Some(values) = values else { return Ok(None) };
    let mut values = values.iter().map(http_types::headers::HeaderValue::as_str);
    let first = values.next();
    if values.any(|it| Some(it) != first) {
        return Err(two_keys());
    }
    Ok(first)
}

fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

fn two_keys() -> Problem {
    Problem::not_run(Reason::BadRequest, "the request has two different keys")
}
