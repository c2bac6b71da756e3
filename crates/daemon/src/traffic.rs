//! The traffic threads, and the context that their tasks share.

use std::{future::Future, io, panic::AssertUnwindSafe, sync::Arc, thread};

use async_executor::{Executor, Task};
use config::Settings;
use futures_lite::{FutureExt as _, future};

use crate::{Clock, ControlSender, Shared, metrics::Metrics};

/// Threads that run tasks from one shared queue until the process ends.
#[derive(Clone, Debug)]
pub struct ThreadPool {
    executor: Arc<Executor<'static>>,
}

impl ThreadPool {
    /// Starts this many threads, at least one.
    pub fn start(threads: usize) -> io::Result<Self> {
        let executor = Arc::new(Executor::new());
        for i in 0..threads.max(1) {
            let executor = Arc::clone(&executor);
            let run = move || async_io::block_on(executor.run(future::pending::<()>()));
            thread::Builder::new().name(format!("traffic-{i}")).spawn(run)?;
        }
        Ok(Self { executor })
    }

    /// Runs a future as a task. Dropping the returned handle cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        fut: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(fut)
    }

    /// Runs a future as a task in the background. If it panics, the panic is logged and other
    /// tasks go on.
    pub fn detach(&self, fut: impl Future<Output = ()> + Send + 'static) {
        let guarded = async move {
            if AssertUnwindSafe(fut).catch_unwind().await.is_err() {
                log::error!("a traffic task panicked");
            }
        };
        self.executor.spawn(guarded).detach();
    }
}

/// The context that all tasks of the traffic threads share.
#[derive(Clone, Debug)]
pub struct Context {
    /// The settings of the process.
    pub settings: Arc<Settings>,
    /// The channel to the control thread.
    pub control: ControlSender,
    /// The state that the control thread shares.
    pub shared: Arc<Shared>,
    /// The process's clock.
    pub clock: Clock,
    /// Sends metrics to the address in the settings; discards them if there is none.
    pub metrics: Metrics,
    /// Runs tasks on the traffic threads.
    pub pool: ThreadPool,
}
