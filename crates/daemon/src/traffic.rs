//! The threads that carry traffic, and what everything on them needs.

use std::{future::Future, io, panic::AssertUnwindSafe, sync::Arc, thread};

use async_executor::{Executor, Task};
use config::Settings;
use futures_lite::{FutureExt as _, future};

use crate::{Clock, Link, Shared, metrics::Metrics};

/// Threads that run futures from one shared queue until the process ends.
#[derive(Clone, Debug)]
pub struct Pool {
    executor: Arc<Executor<'static>>,
}

impl Pool {
    /// Starts the threads.
    pub fn start(threads: usize) -> io::Result<Self> {
        let executor = Arc::new(Executor::new());
        for i in 0..threads.max(1) {
            let executor = Arc::clone(&executor);
            let run = move || async_io::block_on(executor.run(future::pending::<()>()));
            thread::Builder::new().name(format!("traffic-{i}")).spawn(run)?;
        }
        Ok(Self { executor })
    }

    /// Runs a future on the threads.
    pub fn spawn<T: Send + 'static>(
        &self,
        fut: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(fut)
    }

    /// Runs a future on the threads and lets it end on its own. A panic in it is logged and ends
    /// nothing else.
    pub fn detach(&self, fut: impl Future<Output = ()> + Send + 'static) {
        let guarded = async move {
            if AssertUnwindSafe(fut).catch_unwind().await.is_err() {
                log::error!("a traffic task panicked");
            }
        };
        self.executor.spawn(guarded).detach();
    }
}

/// What everything that carries traffic needs.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// The settings of the process.
    pub settings: Arc<Settings>,
    /// The channel to the control thread.
    pub link: Link,
    /// What the control thread shows.
    pub shared: Arc<Shared>,
    /// The process's clock.
    pub clock: Clock,
    /// Where metrics go.
    pub metrics: Metrics,
    /// The threads.
    pub pool: Pool,
}
