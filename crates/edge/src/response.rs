//! The response to a caller's request.

use std::io;

use aio::deadline;
use async_net::TcpStream;
use dispatch::Delivered;
use http1::ResponseHead;
use model::prelude::*;
use thiserror::Error;

use crate::{
    problem::Problem,
    response_writer::{Body, Complete, EventStream, Unstarted},
    resume_point::ResumePoint,
};

/// Why a part of a response was not written.
#[derive(Debug, Error)]
pub(crate) enum WriteError {
    /// The caller's connection broke.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// What was written before cannot be followed by it.
    #[error("another part of a response was written before")]
    OutOfOrder,
}

/// The response to a caller's request, over all attempts at backend servers.
#[derive(Debug)]
pub(crate) struct Response {
    state: State,
    /// Whether the connection closes after the response, which then says so.
    pub(crate) closes_connection: bool,
    /// Whether the request's method is `HEAD`, so that the response has no body.
    pub(crate) is_head: bool,
}

/// How far a response was written. While something is written, it is [`State::Interrupted`].
#[derive(Debug)]
enum State {
    Unstarted(Unstarted),
    Events(EventStream, ResumePoint),
    /// Only a part was written, which nothing can follow.
    Interrupted,
    Complete,
}

impl Response {
    pub(crate) fn new(stream: TcpStream, closes_connection: bool) -> Self {
        let state = State::Unstarted(Unstarted::new(stream));
        Self { state, closes_connection, is_head: false }
    }

    /// Returns what the caller may have got of the response.
    pub(crate) fn delivered(&self) -> Delivered {
        match &self.state {
            State::Unstarted(_) => Delivered::Nothing,
            State::Events(_, ResumePoint::Start | ResumePoint::After(_)) => Delivered::Events,
            State::Events(_, ResumePoint::Unknown) | State::Interrupted | State::Complete => {
                Delivered::Part
            }
        }
    }

    /// Returns whether a part of the response may have been written.
    pub(crate) fn has_started(&self) -> bool {
        !matches!(self.state, State::Unstarted(_))
    }

    /// Returns whether the whole response was written.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self.state, State::Complete)
    }

    /// Returns where another server can continue the stream; the start before the first event.
    pub(crate) fn resume_point(&self) -> ResumePoint {
        match &self.state {
            State::Unstarted(_) => ResumePoint::Start,
            State::Events(_, point) => *point,
            State::Interrupted | State::Complete => ResumePoint::Unknown,
        }
    }

    /// Returns the id of the event after which another server continues the stream.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        match self.resume_point() {
            ResumePoint::After(id) => Some(id),
            ResumePoint::Start | ResumePoint::Unknown => None,
        }
    }

    /// Tells the caller to send its body.
    pub(crate) async fn send_continue(&mut self) -> Result<(), WriteError> {
        let unstarted = self.take_unstarted()?.send_continue().await?;
        self.state = State::Unstarted(unstarted);
        Ok(())
    }

    /// Writes a response whose whole body is known.
    pub(crate) async fn send_whole(
        &mut self,
        head: &ResponseHead,
        body: &[u8],
    ) -> Result<(), WriteError> {
        let closes = self.closes_connection;
        let complete = self.take_unstarted()?.send_whole(head, body, closes).await?;
        self.complete(complete);
        Ok(())
    }

    /// Writes a response without a body.
    pub(crate) async fn send_bodiless(&mut self, head: &ResponseHead) -> Result<(), WriteError> {
        let closes = self.closes_connection;
        let complete = self.take_unstarted()?.send_bodiless(head, closes).await?;
        self.complete(complete);
        Ok(())
    }

    /// Writes an error response of this process within `timeout`. `id` is the name and the value of the
    /// field with the request's id, if that is known.
    pub(crate) async fn send_problem(
        &mut self,
        problem: &Problem,
        id: Option<(&str, &str)>,
        timeout: Duration,
    ) -> Result<(), WriteError> {
        let (closes, is_head) = (self.closes_connection, self.is_head);
        let writing = self.take_unstarted()?.send_problem(problem, id, closes, is_head);
        let complete = deadline::io_within(timeout, writing).await?;
        self.complete(complete);
        Ok(())
    }

    /// Writes the head and the first part of a body that comes from one server. Only the returned
    /// value can go on with it.
    pub(crate) async fn start_body(
        &mut self,
        head: &ResponseHead,
        part: &[u8],
    ) -> Result<Body, WriteError> {
        let closes = self.closes_connection;
        Ok(self.take_unstarted()?.start_body(head, part, closes).await?)
    }

    /// Writes events, and before the first ones the head. `head` is not used after that. `point` is
    /// where the stream can be continued behind these events.
    pub(crate) async fn send_events(
        &mut self,
        head: &ResponseHead,
        events: &[u8],
        point: ResumePoint,
    ) -> Result<(), WriteError> {
        let closes = self.closes_connection;
        let stream = match self.take() {
            State::Unstarted(unstarted) => unstarted.start_events(head, events, closes).await?,
            State::Events(stream, _) if events.is_empty() => stream,
            State::Events(stream, _) => stream.send_events(events).await?,
            state => {
                self.state = state;
                return Err(WriteError::OutOfOrder);
            }
        };
        self.state = State::Events(stream, point);
        Ok(())
    }

    /// Ends a stream of events.
    pub(crate) async fn finish_events(&mut self) -> Result<(), WriteError> {
        match self.take() {
            State::Events(stream, _) => {
                let complete = stream.finish().await?;
                self.complete(complete);
                Ok(())
            }
            state => {
                self.state = state;
                Err(WriteError::OutOfOrder)
            }
        }
    }

    /// Records that the response was written whole.
    pub(crate) fn complete(&mut self, _: Complete) {
        self.state = State::Complete;
    }

    fn take(&mut self) -> State {
        std::mem::replace(&mut self.state, State::Interrupted)
    }

    fn take_unstarted(&mut self) -> Result<Unstarted, WriteError> {
        match self.take() {
            State::Unstarted(unstarted) => Ok(unstarted),
            state => {
                self.state = state;
                Err(WriteError::OutOfOrder)
            }
        }
    }
}
