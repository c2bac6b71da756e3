//! The shared executor of all fakes and clients of this process.

use std::{
    future::Future,
    sync::{LazyLock, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use async_executor::{Executor, Task};
use async_io::Timer;

const THREADS: usize = 3;

static EXECUTOR: LazyLock<&'static Executor<'static>> = LazyLock::new(|| {
    let executor: &'static Executor<'static> = Box::leak(Box::default());
    for _ in 0..THREADS {
        thread::spawn(move || async_io::block_on(executor.run(std::future::pending::<()>())));
    }
    executor
});

/// Runs a future on the shared threads; dropping the task cancels it.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

/// Runs a future to completion on the calling thread.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    async_io::block_on(future)
}

/// Waits without blocking the thread.
pub async fn sleep(span: Duration) {
    Timer::after(span).await;
}

/// Waits for a future; returns `None` if it has not completed after `span`.
pub async fn timeout<T>(span: Duration, future: impl Future<Output = T>) -> Option<T> {
    let limit = async {
        sleep(span).await;
        None
    };
    futures_lite::future::or(async { Some(future.await) }, limit).await
}

/// Locks a mutex, also if a panicking test poisoned it, so that the fakes keep working.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
