//! What callers and backend servers say in header fields.

use std::net::SocketAddrV4;

use dispatch::{Prompt, Rank};
use http1::{RequestHead, ResponseHead};
use model::prelude::*;
use thiserror::Error;

/// Reads and writes the header fields of a deployment.
pub trait HeaderCodec {
    /// Reads what a caller says of its request.
    fn read_caller<'a>(&self, head: &'a RequestHead) -> Result<CallerFields<'a>, FieldError>;

    /// Reads what a backend server says of its answer.
    fn read_backend<'a>(&self, head: &'a ResponseHead) -> BackendFields<'a>;

    /// Returns whether a field of a caller is not passed on to backend servers.
    fn is_private(&self, name: &str) -> bool;

    /// Writes the fields that an attempt carries besides those of the caller.
    fn write_attempt(&self, buf: &mut Vec<u8>, attempt: &AttemptFields<'_>);

    /// Returns the name of the field with a request's id.
    fn request_id_name(&self) -> &'static str;
}

/// Why a caller's header field cannot be used.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub enum FieldError {
    /// The field is not there.
    #[error("the field {0} is missing")]
    Missing(&'static str),
    /// The field's value is not what it should be.
    #[error("the field {0} is malformed")]
    Malformed(&'static str),
}

/// What a caller says of its request.
#[derive(Clone, Debug)]
pub struct CallerFields<'a> {
    /// The request's id.
    pub id: &'a str,
    /// For how long the caller waits.
    pub timeout: Option<Duration>,
    /// The key of its account.
    pub api_key: Option<&'a [u8]>,
    /// The prompt, if it is a generation.
    pub prompt: Prompt,
}

/// What a backend server says of its answer.
#[derive(Clone, Copy, Debug)]
pub struct BackendFields<'a> {
    /// The id of the request that it answers.
    pub id: Option<&'a str>,
    /// Whether it signed the answer as its own.
    pub is_signed: bool,
    /// Whether it says that it did not run the request.
    pub did_not_run: bool,
    /// For how long it is cold.
    pub cold: Option<Duration>,
    /// For how long it keeps an idle connection open.
    pub keep_alive: Option<Duration>,
}

/// What an attempt tells a backend server.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFields<'a> {
    /// The name of the server that is meant.
    pub server: &'a str,
    /// Time that is left for the request.
    pub time_left: Duration,
    /// The name of the account.
    pub account: Option<&'a str>,
    /// The request's rank.
    pub rank: Rank,
    /// The id of the last event that the caller has.
    pub last_event_id: Option<&'a str>,
    /// Where the server sends a copy of the run's memory.
    pub kv_backup: Option<SocketAddrV4>,
    /// Where the server fetches what it has not read of the prompt.
    pub fetch_source: Option<SocketAddrV4>,
    /// The server's own address and the request's id, if the run goes on from the copy that the
    /// server has.
    pub kv_copy: Option<(SocketAddrV4, &'a str)>,
}
