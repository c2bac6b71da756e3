//! Clients that send requests one after another.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
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

/// Clients that go on until they are stopped or dropped.
pub(crate) struct Load {
    is_over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    answers: Arc<Mutex<Vec<Answer>>>,
}

/// A complete answer with status 200.
#[derive(Clone)]
pub(crate) struct Answer {
    pub(crate) id: String,
    pub(crate) body: Vec<u8>,
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

    /// Starts clients that ask for streams at this path. `parts` returns the parts of the prompt of a request by its id.
    pub(crate) fn start_streams(
        front: SocketAddr,
        clients: usize,
        (path, key): (&'static str, &'static str),
        record: &Record,
        parts: fn(&str) -> String,
    ) -> Self {
        let request = move |id: &str| stream_head(path, id, key, &parts(id));
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
        let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
        let start = |client: usize| {
            let (is_over, record, request) =
                (Arc::clone(&is_over), record.clone(), request.clone());
            let answers = Arc::clone(&answers);
            thread::spawn(move || {
                for no in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{}-{client}-{no}", front.port());
                    record.note(&match exchange(front, request(&id).as_bytes()) {
                        Ok((answer, is_complete)) => {
                            let status = answer.status();
                            if status == 200 && is_complete {
                                let answer = Answer { id: id.clone(), body: answer.body };
                                answers.lock().unwrap().push(answer);
                            }
                            format!("{id} is answered {status}, complete: {is_complete}")
                        }
                        Err(err) => format!("{id} is not answered: {err}"),
                    });
                    thread::sleep(pause);
                }
            })
        };
        let clients = (0..clients).map(start).collect();
        Self { is_over, clients, answers }
    }

    /// Stops the clients and returns the complete answers with status 200.
    pub(crate) fn stop(mut self) -> Vec<Answer> {
        self.end();
        self.answers.lock().unwrap().clone()
    }

    fn end(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            // A client that panicked has told so.
            let _ = client.join();
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.end();
    }
}

/// Returns the head of a request for a stream at this path, with these parts of a prompt.
pub(crate) fn stream_head(path: &str, id: &str, key: &str, parts: &str) -> String {
    let fields = format!(
        "X-Clementinehall-Model: m\r\nX-Clementinehall-Token-Counts: 1800,24\r\n\
         X-Clementinehall-Prefix-Hash: {parts}\r\nX-Clementinehall-Deadline-Ms: 12000\r\n\
         Content-Length: 0\r\n"
    );
    head("POST", path, id, key, &fields)
}
