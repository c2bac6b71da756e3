//! The header fields exchanged with callers and backend servers, and calls to backend servers.

use std::net::SocketAddrV4;

use dispatch::{Prompt, Rank, RequestRate, RunEnd, TakenUp};
use http1::{RequestHead, ResponseHead};
use model::prelude::*;
use thiserror::Error;

/// Reads and writes the header fields and the calls that a platform defines.
pub trait HeaderCodec {
    /// Reads the fields of a caller's request.
    fn read_caller<'a>(&self, head: &'a RequestHead) -> Result<CallerFields<'a>, FieldError>;

    /// Reads the fields of a backend server's response. Malformed fields count as absent.
    fn read_backend<'a>(&self, head: &'a ResponseHead) -> BackendFields<'a>;

    /// Returns whether a field of a caller must not be forwarded to backend servers.
    fn is_private(&self, name: &str) -> bool;

    /// Appends the fields that this process adds to the caller's fields for an attempt.
    fn write_attempt(&self, buf: &mut Vec<u8>, attempt: &AttemptFields<'_>);

    /// Returns the name of the field that holds a request's id.
    fn request_id_name(&self) -> &'static str;

    /// Encodes the call, head and body, that makes an engine end a run and move its KV cache.
    fn encode_end_run(&self, fields: &EndRunFields<'_>) -> Result<Vec<u8>, EncodeError>;

    /// Returns what the response of the engine at `address` to that call shows of the run. Whatever
    /// does not prove that the run has ended is [`RunEnd::Unknown`].
    fn decode_run_end(&self, address: SocketAddrV4, status: u16, body: &[u8]) -> RunEnd;
}

/// A call cannot be encoded, for the reason given here.
#[derive(Clone, PartialEq, Eq, Debug, Error)]
#[error("{0}")]
pub struct EncodeError(pub String);

/// What the call says that makes an engine end a run.
#[derive(Clone, Copy, Debug)]
pub struct EndRunFields<'a> {
    /// The id of the request that it runs.
    pub id: &'a str,
    /// The name of the engine: another server at its address rejects the call.
    pub server: &'a str,
    /// The address of the engine.
    pub address: SocketAddrV4,
    /// The address of the engine to which the KV cache is moved.
    pub move_to: SocketAddrV4,
}

/// Why a request is rejected because of a header field.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub enum FieldError {
    /// A required field, named here, is absent.
    #[error("the field {0} is missing")]
    Missing(&'static str),
    /// The value of the field named here cannot be parsed.
    #[error("the field {0} is malformed")]
    Malformed(&'static str),
}

/// The fields of a caller's request.
#[derive(Clone, Debug)]
pub struct CallerFields<'a> {
    /// The request's id, chosen by the caller.
    pub id: &'a str,
    /// How long the caller waits for the response; the route's timeout applies if absent.
    pub timeout: Option<Duration>,
    /// The API key of the caller's client account.
    pub api_key: Option<&'a [u8]>,
    /// The sizes of the prompt and its parts; the default if the request is not a generation.
    pub prompt: Prompt,
    /// The stream of which the caller has a part and asks for the rest; absent if it starts anew.
    pub taken_up: Option<TakenUp>,
}

/// The fields of a backend server's response.
#[derive(Clone, Copy, Debug)]
pub struct BackendFields<'a> {
    /// The id of the request to which this is the response.
    pub id: Option<&'a str>,
    /// Whether the response carries a server's signature: a success without one is not accepted.
    pub is_signed: bool,
    /// Whether the server states that it did not run the request.
    pub did_not_run: bool,
    /// How long the server will stay cold; absent if it is not.
    pub cold: Option<Duration>,
    /// How long the server keeps an idle connection open; absent if it does not say.
    pub keep_alive: Option<Duration>,
    /// Whether the server says that it leaves and wants no more requests.
    pub is_leaving: bool,
    /// For how long the server wants no requests of this instance; absent if it does not say. Only a
    /// rejection may say it.
    pub retry_after: Result<Option<Duration>, FieldError>,
    /// How many requests the server takes from all instances together; absent if it names no limit.
    pub limit: Result<Option<RequestRate>, FieldError>,
}

/// What the fields of an attempt tell the backend server.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFields<'a> {
    /// The name of the intended server: another server at its address rejects the request.
    pub server: &'a str,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// The name of the client account, if the request has one.
    pub account: Option<&'a str>,
    /// The request's rank, by which the server orders its queue.
    pub rank: Rank,
    /// The id of the last event that the caller has received of an interrupted stream.
    pub last_event_id: Option<u64>,
    /// The server to which this one copies the generation's KV cache while it runs.
    pub kv_backup: Option<SocketAddrV4>,
    /// The server from which this one fetches the prompt's cached prefix tokens that it lacks.
    pub fetch_source: Option<SocketAddrV4>,
    /// The address of the engine that named the KV cache copy from which the generation resumes, and
    /// the copy's name; absent if the generation does not resume.
    pub kv_copy: Option<(SocketAddrV4, &'a str)>,
}
