//! Futures with a deadline or a timeout.

use std::{future::Future, io};

use async_io::Timer;
use futures_lite::FutureExt as _;
use model::prelude::*;

use crate::Clock;

/// Runs a future until it completes or the deadline passes; returns `None` in the latter case, with
/// the future dropped.
pub async fn until<T>(clock: Clock, deadline: Time, fut: impl Future<Output = T>) -> Option<T> {
    let completed = async { Some(fut.await) };
    let late = async {
        clock.sleep_until(deadline).await;
        None
    };
    completed.or(late).await
}

/// Runs an I/O operation with a timeout, which gives an error of kind `TimedOut`.
pub async fn io_within<T>(
    timeout: Duration,
    fut: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let late = async {
        Timer::after(timeout).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    fut.or(late).await
}
