//! Runs of requests at servers whose response broke off.

use std::net::SocketAddrV4;

use model::prelude::*;

use crate::KvCopy;

/// The run of a request's last attempt, which must have ended before the request goes on elsewhere. The
/// end of its connection does not show that: some servers work on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeftRun {
    /// The engine to which its KV cache is moved as it ends; `None` if the server ends no runs on
    /// request.
    pub move_to: Option<SocketAddrV4>,
    /// The server is asked no sooner than this.
    pub from: Time,
    /// When it counts as not known to have ended.
    pub by: Time,
}

/// What the server of a [`LeftRun`] shows of it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RunEnd {
    /// The server has ended it and moved its KV cache to [`LeftRun::move_to`].
    Moved(KvCopy),
    /// The server has ended it, or does not run it.
    Ended,
    /// Another server responds at the address.
    Replaced,
    /// The address refuses connections: the server has ended, or cannot be reached.
    Refused,
    /// No connection was established in time.
    Unreachable,
    /// It may go on, for the reason given here.
    Unknown(&'static str),
}

impl RunEnd {
    /// Returns the text that is logged.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Moved(_) => "moved",
            Self::Ended => "ended",
            Self::Replaced => "another server responds",
            Self::Refused => "connection refused",
            Self::Unreachable => "unreachable",
            Self::Unknown(reason) => reason,
        }
    }
}
