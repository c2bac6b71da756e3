//! Attempts at backend servers.

use std::{future::Future, os::fd::AsFd, pin::pin, sync::Arc};

use aio::{Latch, Socket, deadline};
use dispatch::{Attempt, AttemptEnd, Event, LogEntry, RequestKey, ResponseTrace};
use http1::{Buffered, ConnectionError, Framing, ResponseHead, discard, read_whole};
use model::prelude::*;
use prometheus_client::metrics::counter::Counter;
use rustix::net::sockopt::{set_tcp_nodelay, set_tcp_user_timeout};

use crate::{
    AttemptFields, BackendFields, FieldError, Instance,
    connection_pool::Connection,
    memory::{MemoryUse, Reservation},
    outgoing::OutgoingRequest,
    rejected_body::RejectedBody,
    relay::{self, Ending, Relayed},
    response::{Response, WriteError},
    sending::{Sending, write},
    traffic::{Cause, Zone},
};

/// Timeout for establishing a TCP connection: several round trips between zones, but less than the
/// initial retransmission timeout, so a server whose SYN was lost counts as not connected.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Closes a connection whose sent bytes stay unacknowledged for this long (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 3_000;
/// Size limit of the head of a backend server's response; a larger one fails the attempt.
pub(crate) const MAX_RESPONSE_HEAD_BYTES: usize = 16 << 10;
/// Size limit of a response body that is read whole without being relayed: one of a server error that
/// is held back, or of a response to another request.
const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Responses to other requests that are skipped on a connection before the expected one; the
/// attempt fails if more arrive.
const MAX_FOREIGN_RESPONSES: usize = 2;

/// An attempt that is in progress.
pub(crate) struct RunningAttempt<'a> {
    pub(crate) instance: &'a Instance,
    pub(crate) key: RequestKey,
    /// The id that the caller gave the request.
    pub(crate) id: &'a Arc<str>,
    /// The client account's name, if the request has an account.
    pub(crate) account: Option<&'a str>,
    pub(crate) attempt: &'a Attempt,
    pub(crate) outgoing: &'a OutgoingRequest,
    pub(crate) response: &'a mut Response,
    /// Receives a server error that is held back.
    pub(crate) held: &'a mut Option<HeldResponse>,
    /// What was read of the response.
    pub(crate) trace: ResponseTrace,
}

/// A server error (5xx) that goes to the caller only if no other attempt succeeds.
#[derive(Debug)]
pub(crate) struct HeldResponse {
    pub(crate) head: ResponseHead,
    pub(crate) body: Vec<u8>,
    /// The memory of the body.
    _memory: Reservation,
}

/// Why an attempt produced no complete response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Fault {
    Unused,
    Withdrawn,
    NotConnected,
    Rejected {
        is_misdirected: bool,
    },
    HeldBack,
    /// For the reason given here.
    Broken(&'static str),
    /// The server ended the connection, in the way given here.
    Closed(&'static str),
    TimedOut,
    CallerLeft,
}

impl<E: ConnectionError> From<E> for Fault {
    fn from(err: E) -> Self {
        if err.is_end() { Self::Closed(err.summary()) } else { Self::Broken(err.summary()) }
    }
}

impl From<WriteError> for Fault {
    fn from(err: WriteError) -> Self {
        match err {
            WriteError::Io(_) => Self::CallerLeft,
            WriteError::OutOfOrder => Self::Broken("the response cannot follow what was written"),
        }
    }
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptOutcome {
    pub(crate) end: AttemptEnd,
    /// How long the server will stay cold, if it reported that it is.
    pub(crate) cold: Option<Duration>,
    pub(crate) trace: ResponseTrace,
}

/// What is known of an attempt even if it fails or its deadline cancels it.
#[derive(Debug, Default)]
struct Progress {
    /// Whether bytes of the request may have reached the server.
    is_sent: bool,
    cold: Option<Duration>,
}

impl RunningAttempt<'_> {
    /// Connects, sends the request and relays the response, until the attempt's deadline at the
    /// latest.
    pub(crate) async fn run(mut self) -> AttemptOutcome {
        let mut progress = Progress::default();
        let clock = self.instance.clock;
        let end_by = self.attempt.end_by;
        let done = deadline::until(clock, end_by, self.send_and_relay(&mut progress)).await;
        let delivered = self.response.delivered();
        let done = done.unwrap_or(Err(Fault::TimedOut));
        if let Err(Fault::Broken(reason) | Fault::Closed(reason)) = done {
            self.trace.fault = Some(reason);
        }
        if let Err(Fault::Closed(_)) = done {
            self.instance.handle_event(Event::ServerClosed { key: self.key });
        }
        let end = match done {
            Ok(relayed) => AttemptEnd::Completed { is_success: relayed.is_success },
            Err(Fault::CallerLeft) => AttemptEnd::CallerLeft,
            Err(Fault::Unused) => AttemptEnd::Unused,
            Err(Fault::Withdrawn) => AttemptEnd::Withdrawn,
            Err(Fault::NotConnected) => AttemptEnd::NotConnected,
            Err(_) if !progress.is_sent => AttemptEnd::NotConnected,
            Err(Fault::Rejected { is_misdirected }) => AttemptEnd::Rejected { is_misdirected },
            Err(Fault::HeldBack) => AttemptEnd::HeldBack,
            Err(Fault::Broken(_) | Fault::Closed(_)) => AttemptEnd::Broken { delivered },
            Err(Fault::TimedOut) => AttemptEnd::TimedOut { delivered },
        };
        AttemptOutcome { end, cold: progress.cold, trace: self.trace }
    }

    async fn send_and_relay(&mut self, progress: &mut Progress) -> Result<Relayed, Fault> {
        let (instance, key, end_by) = (self.instance, self.key, self.attempt.end_by);
        let preparing = before_leaving(instance, key, end_by, self.prepare(progress));
        let (mut connection, head) = preparing.await.ok_or(Fault::TimedOut)??;
        let outgoing = self.outgoing;
        self.bytes(Cause::Requests).inc_by(outgoing.body.len() as u64);
        let writing = pin!(write(connection.stream.clone(), head, &outgoing.body));
        connection.written = Latch::default();
        let mut sending = Sending::new(writing, connection.written.clone());
        let reading = self.read_head(&mut connection.input, progress);
        let read = before_leaving(instance, key, end_by, sending.alongside(reading)).await;
        let (head, is_clean) = read.ok_or(Fault::TimedOut)??;
        let is_reusable = sending.is_whole() && is_clean && !head.closes();
        let starting = self.start_response(connection, head, is_reusable);
        let started = before_leaving(instance, key, end_by, sending.alongside(starting)).await;
        let started = started.ok_or(Fault::TimedOut)??;
        // A server may read the rest of the request while it responds.
        sending.alongside(relay::run(self, started)).await
    }

    /// Opens or takes a connection and returns it with the encoded head, if the request may be sent now.
    async fn prepare(&mut self, progress: &mut Progress) -> Result<(Connection, Vec<u8>), Fault> {
        let connection = self.connect().await?;
        let now = self.instance.clock.now();
        if now >= self.attempt.start_by {
            return Err(Fault::Unused);
        }
        if !self.instance.read_state(|state| state.may_send_attempt(now, self.key)) {
            return Err(Fault::Withdrawn);
        }
        let copy = self.attempt.kv_copy.as_ref();
        let fields = AttemptFields {
            server: &self.attempt.name,
            time_left: now.until(self.attempt.end_by),
            account: self.account,
            rank: self.attempt.rank,
            last_event_id: self.response.last_event_id(),
            kv_backup: self.attempt.backup,
            fetch_source: self.attempt.fetch_source,
            kv_copy: copy.map(|it| (it.named_by, &*it.name)),
        };
        let head = self.outgoing.encode_head(&*self.instance.header_codec, &fields);
        progress.is_sent = true;
        self.instance.handle_event(Event::Sent { key: self.key });
        Ok((connection, head))
    }

    /// Checks a response whose head was read, and reads the first bytes of its body.
    async fn start_response(
        &mut self,
        mut connection: Connection,
        head: ResponseHead,
        is_reusable: bool,
    ) -> Result<relay::StartedResponse, Fault> {
        self.trace.framing = Some(head.framing().name());
        if let Some(rejection) = self.find_rejection(&head) {
            if is_reusable && rejection == (Fault::Rejected { is_misdirected: false }) {
                self.discard_body(&head, connection).await;
            }
            return Err(rejection);
        }
        self.check_response(&head, &mut connection).await?;
        let received = self.bytes(Cause::Responses);
        let reading = relay::StartedResponse::read(
            connection,
            head,
            is_reusable,
            received,
            self.instance.clock,
        );
        let started = reading.await?;
        self.instance.handle_event(Event::FirstByte { key: self.key });
        Ok(started)
    }

    /// Returns the counter of bytes that are exchanged with the server.
    fn bytes(&self, cause: Cause) -> Counter {
        let server = self.attempt.server;
        let is_near = self.instance.read_state(|state| state.is_server_in_own_zone(server));
        self.instance.metrics.traffic.bytes(cause, Zone::new(is_near))
    }

    /// Takes an idle connection from the pool, or opens one.
    async fn connect(&self) -> Result<Connection, Fault> {
        let clock = self.instance.clock;
        let address = self.attempt.address;
        if let Some(connection) = self.instance.connections.take(clock.now(), address).await {
            self.instance.metrics.connections_reused.inc();
            return Ok(connection);
        }
        self.instance.metrics.connections_opened.inc();
        let connecting = Socket::connect(address.into());
        let by = (clock.now() + CONNECT_TIMEOUT).min(self.attempt.end_by);
        let connected = deadline::until(clock, by, connecting).await;
        let Some(Ok(stream)) = connected else { return Err(Fault::NotConnected) };
        set_socket_options(&stream);
        Ok(Connection::new(stream))
    }

    /// Reads the head of the response to this request, and returns whether it was the first one on
    /// the connection. Responses to other requests that come before it are skipped.
    async fn read_head(
        &self,
        input: &mut Buffered<Socket>,
        progress: &mut Progress,
    ) -> Result<(ResponseHead, bool), Fault> {
        let method = self.outgoing.head.method();
        let mut is_clean = true;
        for _ in 0..=MAX_FOREIGN_RESPONSES {
            let head = ResponseHead::read(input, method, MAX_RESPONSE_HEAD_BYTES).await?;
            self.instance.handle_event(Event::BytesReceived { server: self.attempt.server });
            let fields = self.instance.header_codec.read_backend(&head);
            let is_own = fields.id == Some(&**self.id);
            self.heed_server(head.status(), &fields, is_own);
            if is_own {
                progress.cold = fields.cold;
                return Ok((head, is_clean));
            }
            if fields.id.is_none() {
                return Err(Fault::Broken("the response names no request"));
            }
            if head.framing() == Framing::UntilClose {
                return Err(Fault::Broken("the response is to another request"));
            }
            log::info!(
                request:% = self.id, server:% = self.attempt.name;
                "skipped a response to another request"
            );
            is_clean = false;
            discard(input, head.framing(), MAX_BUFFERED_BODY_BYTES).await?;
        }
        Err(Fault::Broken("too many responses to other requests"))
    }

    /// Passes on what the server says of itself in a response, also in one to another request. Only the
    /// response to this one, `is_own`, shows that it names no limit now.
    fn heed_server(&self, status: u16, fields: &BackendFields<'_>, is_own: bool) {
        if status == 421 {
            // Another server responds at this address.
            return;
        }
        if fields.is_leaving {
            self.instance.handle_event(Event::ServerLeaving { key: self.key });
        }
        match fields.retry_after {
            Ok(Some(span)) if status == 503 => {
                self.instance.handle_event(Event::ServerPaused { key: self.key, span });
            }
            Ok(_) => {}
            Err(err) => self.log_ignored_field(err),
        }
        let is_limited = || self.instance.read_state(|state| state.is_limited(self.key));
        match fields.limit {
            Ok(None) if !is_own || !is_limited() => {}
            Ok(rate) => self.instance.handle_event(Event::ServerLimit { key: self.key, rate }),
            Err(err) => self.log_ignored_field(err),
        }
    }

    fn log_ignored_field(&self, err: FieldError) {
        let (server, error) = (Arc::clone(&self.attempt.name), err.to_string());
        let entry = LogEntry::IgnoredField { server, error };
        self.instance.record(self.instance.clock.now(), &entry);
    }

    /// Returns the fault of a response whose head proves that the request did not run.
    fn find_rejection(&self, head: &ResponseHead) -> Option<Fault> {
        let is_misdirected = head.status() == 421;
        let did_not_run = self.instance.header_codec.read_backend(head).did_not_run;
        (did_not_run || is_misdirected).then_some(Fault::Rejected { is_misdirected })
    }

    /// Checks whether the response, which is no rejection, may go to the caller.
    async fn check_response(
        &mut self,
        head: &ResponseHead,
        connection: &mut Connection,
    ) -> Result<(), Fault> {
        let fields = self.instance.header_codec.read_backend(head);
        // Callers read these statuses as a promise that the request did not run, but the server did
        // not confirm that by its field.
        let promises_not_run = matches!(head.status(), 408 | 429 | 503);
        let is_unsigned = head.is_success() && !fields.is_signed;
        if promises_not_run {
            return Err(Fault::Broken("the server does not confirm that the request did not run"));
        }
        if is_unsigned {
            return Err(Fault::Broken("the response is not signed"));
        }
        if head.fields().has("content-encoding") {
            return Err(Fault::Broken("the body is encoded"));
        }
        if self.response.has_started() && !head.is_success() {
            return Err(Fault::Broken("a server error cannot continue a stream"));
        }
        if head.status() >= 500 && self.attempt.holds_server_error {
            let mut memory = Reservation::new(&self.instance.memory, MemoryUse::Responses);
            if memory.resize(self.instance.clock.now(), MAX_BUFFERED_BODY_BYTES) {
                let input = &mut connection.input;
                let mut body = read_whole(input, head.framing(), MAX_BUFFERED_BODY_BYTES).await?;
                if head.framing() == Framing::UntilClose {
                    connection.check_end(self.instance.clock).await?;
                }
                if let Ending::At(end) = relay::find_end(self, head, connection, &body)? {
                    body.truncate(end);
                }
                *self.held = Some(HeldResponse { head: head.clone(), body, _memory: memory });
            }
            return Err(Fault::HeldBack);
        }
        Ok(())
    }

    /// Discards the body of a rejection, without waiting for it, so that its connection can be reused.
    async fn discard_body(&self, head: &ResponseHead, mut connection: Connection) {
        connection.add_carried(self.id);
        let keep_alive = self.instance.header_codec.read_backend(head).keep_alive;
        let (framing, address) = (head.framing(), self.attempt.address);
        RejectedBody { framing, connection, address, keep_alive }.discard(self.instance).await;
    }

    /// Returns a connection to the pool for later attempts.
    pub(crate) fn keep_connection(&self, head: &ResponseHead, mut connection: Connection) {
        connection.add_carried(self.id);
        let keep_alive = self.instance.header_codec.read_backend(head).keep_alive;
        let now = self.instance.clock.now();
        self.instance.connections.keep(now, self.attempt.address, connection, keep_alive);
    }
}

/// Runs a part of an attempt before its first byte, until the request leaves the server for another
/// one. Returns `None` if it leaves.
async fn before_leaving<T>(
    instance: &Instance,
    key: RequestKey,
    end_by: Time,
    part: impl Future<Output = T>,
) -> Option<T> {
    let leave_by = || instance.read_state(|state| state.leave_by(key)).unwrap_or(end_by);
    let mut part = pin!(part);
    loop {
        let due = leave_by();
        if let Some(done) = deadline::until(instance.clock, due, part.as_mut()).await {
            return Some(done);
        }
        if due < end_by {
            instance.handle_event(Event::FirstByteDue { key });
        }
        if leave_by() <= instance.clock.now() {
            return None;
        }
    }
}

/// Disables Nagle's algorithm, so that small writes go out at once, and sets the timeout for
/// unacknowledged bytes.
pub(crate) fn set_socket_options(stream: &impl AsFd) {
    if let Err(err) = set_tcp_nodelay(stream, true) {
        log::debug!("cannot disable Nagle's algorithm: {err}");
    }
    if let Err(err) = set_tcp_user_timeout(stream, UNACKNOWLEDGED_TIMEOUT_MS) {
        log::debug!("cannot set the timeout for unacknowledged bytes: {err}");
    }
}
