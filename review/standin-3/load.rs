//! Clients that send requests one after another.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    client::{exchange, head},
    record::Record,
};

/// Pauses of clients between an answer and the next request.
const LOOK_UP_PAUSE: Duration = Duration::from_millis(20);
const STREAM_PAUSE: Duration = Duration::from_millis(300);

/// Clients that go on until they are dropped.
pub(crate) struct Load {
    is_over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts clients that look something up with this key. Each uses a new connection for each request.
    pub(crate) fn start(
        front: SocketAddr,
        clients: usize,
        key: &'static str,
        record: &Record,
    ) -> Self {
        let fields = "X-Clementinehall-Deadline-Ms: 4000\r\n";
        let request = move |id: &str| head("GET", "/saldo/x", id, key, fields);
        Self::start_with(front, clients, LOOK_UP_PAUSE, record, request)
    }

    /// Starts clients that ask for streams. `parts` returns the parts of the prompt of a request by its id.
    pub(crate) fn start_streams(
        front: SocketAddr,
        clients: usize,
        key: &'static str,
        record: &Record,
        parts: fn(&str) -> String,
    ) -> Self {
        let request = move |id: &str| stream_head(id, key, &parts(id));
        Self::start_with(front, clients, STREAM_PAUSE, record, request)
    }

    fn start_with(
        front: SocketAddr,
        clients: usize,
        pause: Duration,
        record: &Record,
        request: impl Fn(&str) -> String + Clone + Send + 'static,
    ) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let start = |client: usize| {
            let (is_over, record, request) =
                (Arc::clone(&is_over), record.clone(), request.clone());
            thread::spawn(move || {
                for no in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{}-{client}-{no}", front.port());
                    record.note(&match exchange(front, request(&id).as_bytes()) {
                        Ok((answer, is_complete)) => {
                            let status = answer.status();
                            format!("{id} is answered {status}, complete: {is_complete}")
                        }
                        Err(err) => format!("{id} is not answered: {err}"),
                    });
                    thread::sleep(pause);
                }
            })
        };
        let clients = (0..clients).map(start).collect();
        Self { is_over, clients }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            // A client that panicked has told so.
            let _ = client.join();
        }
    }
}

/// Returns the head of a request for a stream with these parts of a prompt.
pub(crate) fn stream_head(id: &str, key: &str, parts: &str) -> String {
    let fields = format!(
        "X-Clementinehall-Model: m\r\nX-Clementinehall-Token-Counts: 1800,24\r\n\
         X-Clementinehall-Prefix-Hash: {parts}\r\nX-Clementinehall-Deadline-Ms: 12000\r\n\
         Content-Length: 0\r\n"
    );
    head("POST", "/charla/x", id, key, &fields)
}
