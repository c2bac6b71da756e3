//! Log output under a reader that does not read.

#![allow(clippy::unwrap_used)]

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use logs::BoundedWriter;

/// Bytes that a stuck output may cost, with room for one batch that is being written.
const MEMORY_BOUND: usize = 300 << 10;

/// Takes nothing until it is released.
struct Stuck {
    release: mpsc::Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.release.recv();
        self.written.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stuck_output_neither_blocks_nor_takes_memory_without_bound() {
    let (release, released) = mpsc::channel();
    let written = Arc::<Mutex<Vec<u8>>>::default();
    let output = Stuck { release: released, written: Arc::clone(&written) };
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
    assert!(written.len() < MEMORY_BOUND, "{} bytes were kept", written.len());
    let text = String::from_utf8_lossy(&written);
    assert!(text.contains("log lines dropped"), "nothing tells of the lost lines");
}
