//! Routes.

use std::time::Duration;

use crate::millis;

/// The longest that an answer may take unless the route says otherwise.
const MAX_DURATION: Duration = Duration::from_secs(600);

/// Which requests go to which pool as which class.
///
/// A route needs a key and runs a request at most once unless it says otherwise.
#[derive(Clone, Debug)]
#[must_use]
pub struct Route(config::Route);

impl Route {
    /// A route of a method and a path, named after both.
    pub fn new(method: &str, path: &str) -> Self {
        Self(config::Route {
            name: name_of(method, path),
            method: method.to_owned(),
            path: path.to_owned(),
            pool: None,
            classes: Vec::new(),
            idempotent: false,
            open: false,
            max_duration_ms: millis(MAX_DURATION),
        })
    }

    /// A route of `GET` and a path.
    pub fn get(path: &str) -> Self {
        Self::new("GET", path)
    }

    /// A route of `POST` and a path.
    pub fn post(path: &str) -> Self {
        Self::new("POST", path)
    }

    /// Sets another name.
    pub fn name(mut self, name: impl Into<String>) -> Self {
        self.0.name = name.into();
        self
    }

    /// Sets the pool; without one, the field `model` of the request's body names it.
    pub fn pool(mut self, pool: impl Into<String>) -> Self {
        self.0.pool = Some(pool.into());
        self
    }

    /// Adds a class that callers may choose; the first one is the default.
    pub fn class(mut self, class: impl Into<String>) -> Self {
        self.0.classes.push(class.into());
        self
    }

    /// States that a request may run more than once.
    pub fn idempotent(mut self) -> Self {
        self.0.idempotent = true;
        self
    }

    /// Opens the route to all: it needs no key.
    pub fn open(mut self) -> Self {
        self.0.open = true;
        self
    }

    /// Sets the longest that an answer may take.
    pub fn max_duration(mut self, span: Duration) -> Self {
        self.0.max_duration_ms = millis(span);
        self
    }

    pub(crate) fn into_config(self) -> config::Route {
        self.0
    }
}

/// Returns `post-v1-chat-completions` for `POST` and `/v1/chat/completions`.
fn name_of(method: &str, path: &str) -> String {
    let words = path.split(|c: char| !c.is_ascii_alphanumeric()).filter(|it| !it.is_empty());
    let words = std::iter::once(method).chain(words);
    words.map(str::to_ascii_lowercase).collect::<Vec<_>>().join("-")
}
