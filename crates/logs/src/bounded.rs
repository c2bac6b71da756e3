//! Log output that never blocks the writing threads.

use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// Bytes that may wait to be written, about 500 lines; further lines are dropped and counted.
const MAX_WAITING_BYTES: usize = 128 << 10;
/// Pause between two writes, so that a busy process writes many lines at once.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// How long [`Drain::wait`] waits for the last lines to be written.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);

/// A writer that buffers lines for the thread that writes them. It never blocks on the output.
#[derive(Debug)]
pub struct BoundedWriter {
    shared: Arc<Shared>,
}

/// Waits for the buffered lines to be written.
#[derive(Debug)]
pub struct Drain {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    waiting: Vec<u8>,
    /// Lines dropped since the last batch was taken.
    dropped: u64,
    is_writing: bool,
    /// Whether lines are written without [`WRITE_INTERVAL`], because the process is about to end.
    is_draining: bool,
}

impl BoundedWriter {
    /// Starts a thread that writes to `output`. If the thread cannot be started, nothing is
    /// written.
    pub fn start(output: impl Write + Send + 'static) -> (Self, Drain) {
        let shared = Arc::<Shared>::default();
        let writer = Arc::clone(&shared);
        let spawned =
            thread::Builder::new().name("log".to_owned()).spawn(move || writer.run(output));
        if spawned.is_err() {
            // Without the thread nothing can be logged, not even this error.
            shared.lock().is_draining = true;
        }
        (Self { shared: Arc::clone(&shared) }, Drain { shared })
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.shared.lock();
        if state.waiting.len() + line.len() > MAX_WAITING_BYTES {
            state.dropped += 1;
        } else {
            let was_empty = state.waiting.is_empty();
            state.waiting.extend_from_slice(line);
            if was_empty {
                self.shared.changed.notify_all();
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drain {
    /// Waits until everything is written, but not longer than a fraction of a second.
    pub fn wait(&self) {
        let mut state = self.shared.lock();
        state.is_draining = true;
        self.shared.changed.notify_all();
        let is_unwritten = |state: &mut State| !state.waiting.is_empty() || state.is_writing;
        // A stuck reader of the output must not keep the process from ending.
        drop(self.shared.changed.wait_timeout_while(state, DRAIN_TIMEOUT, is_unwritten));
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, mut output: impl Write) {
        loop {
            let batch = self.take();
            // If the output is closed, there is nowhere to report the error.
            let _ = output.write_all(&batch).and_then(|()| output.flush());
            drop(batch);
            let mut state = self.lock();
            state.is_writing = false;
            self.changed.notify_all();
            if !state.is_draining {
                drop(state);
                thread::sleep(WRITE_INTERVAL);
            }
        }
    }

    /// Waits for lines and takes them all.
    fn take(&self) -> Vec<u8> {
        let is_idle = |state: &mut State| state.waiting.is_empty();
        let waited = self.changed.wait_while(self.lock(), is_idle);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner);
        state.is_writing = true;
        let mut batch = mem::take(&mut state.waiting);
        let dropped = mem::take(&mut state.dropped);
        if dropped > 0 {
            batch.extend_from_slice(
                format!("WARN \"log lines dropped\" count={dropped}\n").as_bytes(),
            );
        }
        batch
    }
}
