//! A caller's request as it is forwarded to backend servers.

use std::net::SocketAddr;

use http_types::{Method, Request, Url, headers::HeaderName};
use model::prelude::*;

use super::account_key::AccountKey;

/// Header fields that are not forwarded: they concern the caller's connection, contain the key, or
/// may be set only by this process.
const STRIPPED_FIELDS: [&str; 17] = [
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
/// Query parameters in which some callers send their key; they are not forwarded.
const KEY_PARAMETERS: [&str; 4] = ["access_token", "api-key", "api_key", "apikey"];

/// A caller's request as it is forwarded to backend servers: without the key and without header
/// fields that concern the caller's connection.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    head: Request,
    body: Vec<u8>,
}

/// The values that differ between the attempts of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptFields {
    /// The backend server's address.
    pub(crate) address: SocketAddr,
    /// The request's id.
    pub(crate) id: RequestId,
    /// The tier of the request's class.
    pub(crate) tier: Tier,
    /// Time left until the response must be complete.
    pub(crate) time_left: Duration,
    /// The number of events that the caller has received, if the attempt continues a response.
    pub(crate) resume_from: Option<u32>,
}

impl OutgoingRequest {
    /// Copies a request without its body. Header fields and query parameters that contain the key
    /// are left out.
    pub(super) fn new(req: &Request, key: Option<&AccountKey>) -> Self {
        let mut url = req.url().clone();
        strip_query(&mut url, key);
        let mut head = Request::new(req.method(), url);
        let hop_by_hop = connection_fields(req);
        for (name, values) in req {
            if is_stripped(name) || hop_by_hop.iter().any(|field| field == name.as_str()) {
                continue;
            }
            for value in values.iter().filter(|value| !has_key(key, name.as_str(), value.as_str()))
            {
                head.append_header(name, value.clone());
            }
        }
        Self { head, body: Vec::new() }
    }

    /// Sets the body.
    #[must_use]
    pub(super) fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Returns the request's method.
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
        req.insert_header("x-deadline-ms", fields.time_left.as_millis().to_string());
        if let Some(events) = fields.resume_from {
            req.insert_header("x-resume-from", events.to_string());
        }
        if !self.body.is_empty() {
            let has_content_type = req.header("content-type").is_some();
            req.set_body(self.body.clone());
            if !has_content_type {
                req.remove_header("content-type");
            }
        }
        req
    }
}

fn is_stripped(name: &HeaderName) -> bool {
    STRIPPED_FIELDS.contains(&name.as_str()) || name.as_str() == "x-tier"
}

/// Returns the names in the caller's `Connection` field: header fields that concern only its
/// connection.
fn connection_fields(req: &Request) -> Vec<String> {
    let values =
        req.header("connection").into_iter().flat_map(http_types::headers::HeaderValues::iter);
    values
        .flat_map(|value| value.as_str().split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

fn has_key(key: Option<&AccountKey>, name: &str, value: &str) -> bool {
    key.is_some_and(|key| key.occurs_in(name) || key.occurs_in(value))
}

/// Removes the fragment and the query parameters that hold the key.
fn strip_query(url: &mut Url, key: Option<&AccountKey>) {
    url.set_fragment(None);
    let Some(query) = url.query() else { return };
    let parts = query.split('&').filter(|part| !part.is_empty());
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
