//! Attempts at backend servers.

use std::{net::SocketAddrV4, sync::Arc};

use model::prelude::*;

use crate::{Rank, ServerKey};

/// An attempt that is to be made.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its number among the request's attempts, from 1.
    pub number: u32,
    /// The server.
    pub server: ServerKey,
    /// The server's name, by which it knows that it is meant.
    pub name: Arc<str>,
    /// Where the server listens.
    pub address: SocketAddrV4,
    /// The request's rank.
    pub rank: Rank,
    /// No byte may be sent after this time.
    pub start_by: Time,
    /// If no answer has begun by this time, another server is tried; none where the request must
    /// not be repeated.
    pub first_byte_by: Option<Time>,
    /// When the request ends, whatever has come.
    pub end_by: Time,
    /// Whether an answer that says that the server failed is held back for another attempt.
    pub holds_server_error: bool,
    /// The server that gets a copy of the run's memory, if the run is worth it.
    pub backup: Option<SocketAddrV4>,
    /// A server that has probably read the shared part of the prompt, if the one that gets the
    /// request has probably not.
    pub fetch_source: Option<SocketAddrV4>,
    /// Whether the run goes on from the copy that the server has.
    pub resumes_from_backup: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptEnd {
    /// The server's answer went to the caller, whole.
    Completed {
        /// Whether it says that the request was served.
        is_success: bool,
    },
    /// Nothing was sent: its time had passed.
    Unused,
    /// Nothing was sent: there was no connection.
    NotConnected,
    /// The server says that it did not run the request.
    Rejected {
        /// Because another server has its address.
        is_misdirected: bool,
    },
    /// The server says that it failed, and its answer is held back.
    HeldBack,
    /// The answer broke off, was not well formed or belonged to another request.
    Broken {
        /// Whether a part of it went to the caller.
        is_partial: bool,
    },
    /// No answer, or no whole one, came in time.
    TimedOut {
        /// Whether a part of it went to the caller.
        is_partial: bool,
    },
    /// The caller went away or takes no more bytes.
    CallerLeft,
}

impl AttemptEnd {
    /// Returns whether the server may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Unused | Self::NotConnected | Self::Rejected { .. })
    }

    /// Returns whether a part of an answer went to the caller that is not whole.
    pub fn is_partial(self) -> bool {
        matches!(self, Self::Broken { is_partial: true } | Self::TimedOut { is_partial: true })
    }
}
