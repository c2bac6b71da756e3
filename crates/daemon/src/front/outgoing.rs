//! A caller's request in the form in which backend servers get it.

use std::net::SocketAddr;

use http_types::{Method, Request, Url, headers::HeaderName};
use model::prelude::*;

use super::account_key::AccountKey;

/// Header fields that concern one connection, or that only this process may set.
const OWN_FIELDS: [&str; 17] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-api-key",
    "x-deadline-ms",
    "x-request-id",
    "x-resume-from",
];
/// Query parameters in which some callers put their key.
const KEY_PARAMETERS: [&str; 4] = ["access_token", "api-key", "api_key", "apikey"];

/// A caller's request in the form in which backend servers get it: without the key and without
/// what concerns the caller's connection.
#[derive(Debug)]
pub(crate) struct Outgoing {
    head: Request,
    body: Vec<u8>,
}

/// What differs between the attempts of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptFields {
    /// The backend server.
    pub(crate) address: SocketAddr,
    /// The request.
    pub(crate) id: RequestId,
    /// The class's tier.
    pub(crate) tier: Tier,
    /// The time that is left for the answer.
    pub(crate) left: Duration,
    /// Events of the answer that the caller has got already.
    pub(crate) resume_from: Option<u32>,
}

impl Outgoing {
    /// Strips a request. Whatever contains the text of the key is left out.
    pub(super) fn new(req: &Request, key: Option<&AccountKey>) -> Self {
        let mut url = req.url().clone();
        strip_query(&mut url, key);
        let mut head = Request::new(req.method(), url);
        let named = connection_fields(req);
        for (name, values) in req {
            if is_own(name) || named.iter().any(|it| it == name.as_str()) {
                continue;
            }
            for value in values.iter().filter(|it| !has_key(key, name.as_str(), it.as_str())) {
                head.append_header(name, value.clone());
            }
        }
        Self { head, body: Vec::new() }
    }

    /// Sets the body.
    #[must_use]
    pub(super) fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Returns the method.
    pub(crate) fn method(&self) -> Method {
        self.head.method()
    }

    /// Returns the request for one attempt.
    pub(crate) fn request(&self, fields: &AttemptFields) -> Request {
        let mut req = self.head.clone();
        let url = req.url_mut();
        // Both calls fail only for URLs without a host.
        let _ = url.set_ip_host(fields.address.ip());
        let _ = url.set_port(Some(fields.address.port()));
        req.insert_header("x-request-id", fields.id.to_string());
        req.insert_header("x-tier", fields.tier.0.to_string());
        req.insert_header("x-deadline-ms", fields.left.as_millis().to_string());
        if let Some(events) = fields.resume_from {
            req.insert_header("x-resume-from", events.to_string());
        }
        if !self.body.is_empty() {
            let typed = req.header("content-type").is_some();
            req.set_body(self.body.clone());
            if !typed {
                req.remove_header("content-type");
            }
        }
        req
    }
}

fn is_own(name: &HeaderName) -> bool {
    OWN_FIELDS.contains(&name.as_str()) || name.as_str() == "x-tier"
}

/// Returns the header fields that the caller's `Connection` field declares as its own.
fn connection_fields(req: &Request) -> Vec<String> {
    let values =
        req.header("connection").into_iter().flat_map(http_types::headers::HeaderValues::iter);
    values.flat_map(|it| it.as_str().split(',')).map(|it| it.trim().to_ascii_lowercase()).collect()
}

fn has_key(key: Option<&AccountKey>, name: &str, value: &str) -> bool {
    key.is_some_and(|it| it.is_in(name) || it.is_in(value))
}

fn strip_query(url: &mut Url, key: Option<&AccountKey>) {
    url.set_fragment(None);
    let Some(query) = url.query() else { return };
    let parts = query.split('&').filter(|it| !it.is_empty());
    let kept: Vec<_> = parts
        .zip(url.query_pairs())
        .filter(|(_, (name, value))| {
            !KEY_PARAMETERS.contains(&name.to_ascii_lowercase().as_str())
                && !has_key(key, name, value)
        })
        .map(|(part, _)| part)
        .collect();
    let query = (!kept.is_empty()).then(|| kept.join("&"));
    url.set_query(query.as_deref());
}
