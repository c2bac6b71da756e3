//! Routes.

use std::time::Duration;

use crate::millis;

/// The default of [`Route::max_duration`].
const DEFAULT_MAX_DURATION: Duration = Duration::from_secs(600);

/// A route: which requests go to which pool as which class.
///
/// By default, requests need a key and are run at most once.
#[derive(Clone, Debug)]
#[must_use]
pub struct Route(config::Route);

impl Route {
    /// Declares a route of a method and a path. Its name is made of both.
    pub fn new(method: &str, path: &str) -> Self {
        Self(config::Route {
            name: route_name(method, path),
            method: method.to_owned(),
            path: path.to_owned(),
            pool: None,
            classes: Vec::new(),
            idempotent: false,
            open: false,
            max_duration_ms: millis(DEFAULT_MAX_DURATION),
        })
    }

    /// Declares a route of `GET` and a path.
    pub fn get(path: &str) -> Self {
        Self::new("GET", path)
    }

    /// Declares a route of `POST` and a path.
    pub fn post(path: &str) -> Self {
        Self::new("POST", path)
    }

    /// Changes the name.
    pub fn name(mut self, name: impl Into<String>) -> Self {
        self.0.name = name.into();
        self
    }

    /// Sets the pool. By default, the field `model` of the request's body names it.
    pub fn pool(mut self, pool: impl Into<String>) -> Self {
        self.0.pool = Some(pool.into());
        self
    }

    /// Adds a class that callers may choose. The first one is the default.
    pub fn class(mut self, class: impl Into<String>) -> Self {
        self.0.classes.push(class.into());
        self
    }

    /// Declares that a request may be run more than once, for example in a retry.
    pub fn idempotent(mut self) -> Self {
        self.0.idempotent = true;
        self
    }

    /// Declares that requests need no key.
    pub fn open(mut self) -> Self {
        self.0.open = true;
        self
    }

    /// Sets the longest time from a request's arrival to the end of its response.
    pub fn max_duration(mut self, span: Duration) -> Self {
        self.0.max_duration_ms = millis(span);
        self
    }

    pub(crate) fn into_config(self) -> config::Route {
        self.0
    }
}

/// Returns `post-v1-chat-completions` for `POST` and `/v1/chat/completions`.
fn route_name(method: &str, path: &str) -> String {
    let words = path.split(|c: char| !c.is_ascii_alphanumeric()).filter(|word| !word.is_empty());
    let words = std::iter::once(method).chain(words);
    words.map(str::to_ascii_lowercase).collect::<Vec<_>>().join("-")
}
