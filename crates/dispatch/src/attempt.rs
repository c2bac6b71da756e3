//! Attempts at backend servers.

use std::{net::SocketAddrV4, sync::Arc};

use model::prelude::*;

use crate::{Rank, ServerKey};

/// An attempt that the task of a request makes at a backend server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its number among the request's attempts, from 1.
    pub number: u32,
    /// Identifies the server in [`crate::Event::BytesReceived`].
    pub server: ServerKey,
    /// The server's name, which is sent along so that another server at the same address rejects
    /// the request.
    pub name: Arc<str>,
    /// Where the server listens.
    pub address: SocketAddrV4,
    /// The request's rank.
    pub rank: Rank,
    /// The request must not be sent after this time.
    pub start_by: Time,
    /// The time at which the request ends, even if the response is not complete.
    pub end_by: Time,
    /// Whether a response that reports a server error is held back, since the request may be
    /// retried.
    pub holds_server_error: bool,
    /// The engine that gets a copy of the KV cache; `None` if no copy is kept.
    pub backup: Option<SocketAddrV4>,
    /// An engine that probably has the shared prefix cached, from which `server` fetches it; `None`
    /// if `server` probably has it cached itself or cannot fetch.
    pub fetch_source: Option<SocketAddrV4>,
    /// The copy of its KV cache from which the generation resumes; `None` if it starts anew.
    pub kv_copy: Option<KvCopy>,
}

/// A copy of the KV cache of a generation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct KvCopy {
    /// The address of the engine that gave it its name.
    pub named_by: SocketAddrV4,
    /// Its name there: the request's id for one that was kept while the generation ran.
    pub name: Arc<str>,
}

/// What the caller has got of the response to its request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Delivered {
    /// Nothing, so any response may follow.
    Nothing,
    /// Whole events of a stream, which another server can continue.
    Events,
    /// A part that nothing can follow.
    Part,
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptEnd {
    /// The caller got the server's complete response.
    Completed {
        /// Whether the response reports success.
        is_success: bool,
    },
    /// Nothing was sent, as [`Attempt::start_by`] had passed.
    Unused,
    /// Nothing was sent, as [`crate::State::may_send_attempt`] did not hold any more.
    Withdrawn,
    /// Nothing was sent, as there was no connection.
    NotConnected,
    /// The server says that it did not run the request.
    Rejected {
        /// Whether another server has answered at its address.
        is_misdirected: bool,
    },
    /// The server reported an error, and the response is held back from the caller.
    HeldBack,
    /// The response broke off, was malformed or belonged to another request.
    Broken {
        /// What the caller has got, from earlier attempts too.
        delivered: Delivered,
    },
    /// No response, or no complete one, came in time.
    TimedOut {
        /// What the caller has got, from earlier attempts too.
        delivered: Delivered,
    },
    /// The caller has closed the connection or takes no more bytes.
    CallerLeft,
}

impl AttemptEnd {
    /// Returns whether the server may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Unused | Self::Withdrawn | Self::NotConnected | Self::Rejected { .. })
    }

    /// Returns what the caller has got of a response that is not complete.
    pub fn delivered(self) -> Delivered {
        match self {
            Self::Broken { delivered } | Self::TimedOut { delivered } => delivered,
            _ => Delivered::Nothing,
        }
    }
}
