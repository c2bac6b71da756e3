//! Deadlines of futures.

use std::{future::Future, io};

use async_io::Timer;
use futures_lite::FutureExt as _;
use model::prelude::*;

use crate::Clock;

/// Runs a future until it ends or the deadline has passed.
pub async fn until<T>(clock: Clock, deadline: Time, fut: impl Future<Output = T>) -> Option<T> {
    let in_time = async { Some(fut.await) };
    let late = async {
        clock.sleep_until(deadline).await;
        None
    };
    in_time.or(late).await
}

/// Runs an input or output operation until it ends or the span has passed.
pub async fn io_within<T>(
    span: Duration,
    fut: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let late = async {
        Timer::after(span).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    fut.or(late).await
}
