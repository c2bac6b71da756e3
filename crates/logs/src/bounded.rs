//! Output that never blocks its callers.

use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// Bytes that may wait to be written; further lines are dropped and counted. Some 500 lines.
const MAX_WAITING_BYTES: usize = 128 << 10;
/// Time between two writes, so that a busy process writes many lines at once.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Time that the last lines have to be written when the process ends.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);

/// The end that takes lines.
#[derive(Debug)]
pub struct BoundedWriter {
    shared: Arc<Shared>,
}

/// Waits until everything is written.
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
    dropped: u64,
    is_writing: bool,
    hurries: bool,
}

impl BoundedWriter {
    /// Starts a thread that writes to `output`.
    pub fn start(output: impl Write + Send + 'static) -> (Self, Drain) {
        let shared = Arc::<Shared>::default();
        let writer = Arc::clone(&shared);
        let spawned =
            thread::Builder::new().name("log".to_owned()).spawn(move || writer.run(output));
        if spawned.is_err() {
            // Without the thread nothing can be written, this included.
            shared.lock().hurries = true;
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
            let wakes = state.waiting.is_empty();
            state.waiting.extend_from_slice(line);
            if wakes {
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
    /// Waits until everything is written, but not for long.
    pub fn wait(&self) {
        let mut state = self.shared.lock();
        state.hurries = true;
        self.shared.changed.notify_all();
        let unwritten = |it: &mut State| !it.waiting.is_empty() || it.is_writing;
        // A reader that does not read must not keep the process from ending.
        drop(self.shared.changed.wait_timeout_while(state, DRAIN_TIMEOUT, unwritten));
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, mut output: impl Write) {
        loop {
            let batch = self.take();
            // Nobody is left to tell if standard output is gone.
            let _ = output.write_all(&batch).and_then(|()| output.flush());
            drop(batch);
            let mut state = self.lock();
            state.is_writing = false;
            self.changed.notify_all();
            if !state.hurries {
                drop(state);
                thread::sleep(WRITE_INTERVAL);
            }
        }
    }

    /// Waits for lines and takes them all.
    fn take(&self) -> Vec<u8> {
        let idle = |it: &mut State| it.waiting.is_empty();
        let waited = self.changed.wait_while(self.lock(), idle);
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
