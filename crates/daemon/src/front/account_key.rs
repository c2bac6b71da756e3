//! The API key of a client account in a request.

use std::fmt;

use http_types::{Request, headers::HeaderValues};
use model::prelude::*;

use super::problem::Problem;

/// Minimum length of a key that is searched for in the body, in bytes. A shorter text may occur
/// there by chance.
const MIN_SEARCHED_BYTES: usize = 8;

/// The text of a key. It is kept only until the request is read, and is neither stored nor logged.
pub(super) struct AccountKey {
    text: String,
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccountKey(..)")
    }
}

impl AccountKey {
    /// Reads the key from `Authorization: Bearer` or `x-api-key`. `None` means that the request has
    /// no key or an empty one.
    pub(super) fn from_request(req: &Request) -> Result<Option<Self>, Problem> {
        let bearer = single(req.header("authorization"))?.and_then(bearer_token);
        let plain = single(req.header("x-api-key"))?.map(str::trim);
        let text = match (bearer, plain) {
            (Some(a), Some(b)) if a != b => return Err(conflicting_keys()),
            (bearer, plain) => bearer.or(plain),
        };
        let text = text.filter(|text| !text.is_empty());
        Ok(text.map(|text| Self { text: text.to_owned() }))
    }

    /// Returns the key's hash.
    pub(super) fn hash(&self) -> KeyHash {
        KeyHash::of(self.text.as_bytes())
    }

    /// Returns whether a text, from a header field or the query, contains the key.
    pub(super) fn occurs_in(&self, text: &str) -> bool {
        text.contains(&self.text)
    }

    /// Returns whether a body contains the key. Always `false` for a short key, see
    /// [`MIN_SEARCHED_BYTES`].
    pub(super) fn occurs_in_body(&self, body: &[u8]) -> bool {
        let key = self.text.as_bytes();
        key.len() >= MIN_SEARCHED_BYTES && body.windows(key.len()).any(|window| window == key)
    }
}

/// Returns the value of a field. The field may be repeated with the same value.
fn single(values: Option<&HeaderValues>) -> Result<Option<&str>, Problem> {
    let Some(values) = values else { return Ok(None) };
    let mut values = values.iter().map(http_types::headers::HeaderValue::as_str);
    let first = values.next();
    if values.any(|value| Some(value) != first) {
        return Err(conflicting_keys());
    }
    Ok(first)
}

fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

fn conflicting_keys() -> Problem {
    Problem::not_run(Reason::BadRequest, "the request has two different API keys")
}
