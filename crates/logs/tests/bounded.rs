//! Log output whose reader does not read.

#![allow(clippy::unwrap_used)]

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use logs::BoundedWriter;

/// The most bytes that may be kept for a stuck output, with room for one batch that is being
/// written.
const MAX_KEPT_BYTES: usize = 300 << 10;

/// An output that blocks until it is released.
struct StuckOutput {
    release: mpsc::Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for StuckOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.release.recv();
        self.written.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// If the process that reads the log stops, the pipe fills up and writes to it block: that must
/// neither block the threads that log nor fill the memory, and dropped lines must be reported.
#[test]
fn a_stuck_output_neither_blocks_nor_takes_memory_without_bound() {
    let (release, released) = mpsc::channel();
    let written = Arc::<Mutex<Vec<u8>>>::default();
    let output = StuckOutput { release: released, written: Arc::clone(&written) };
    let (mut writer, drain) = BoundedWriter::start(output);

    let started = Instant::now();
    for _ in 0..100_000 {
        writer.write_all(b"a line of some forty bytes, as they are\n").unwrap();
    }
    let took = started.elapsed();
    drop(release);
    drain.wait();

    assert!(took < Duration::from_secs(5), "writing took {took:?}");
    let written = written.lock().unwrap();
    assert!(written.len() < MAX_KEPT_BYTES, "{} bytes were kept", written.len());
    let text = String::from_utf8_lossy(&written);
    assert!(text.contains("log lines dropped"), "the dropped lines are not reported");
}
