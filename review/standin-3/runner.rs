//! Backend servers.

use std::{
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Message, read_request, shut},
    record::Record,
    store::Store,
};

/// Time between two writes of a server's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long a server is down after a crash, and then cold.
const DOWN: Duration = Duration::from_secs(3);
const COLD: Duration = Duration::from_secs(3);
/// Time between two looks for connections while a server may go down.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// A request that reached a server.
#[derive(Clone)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    pub(crate) request: Message,
}

/// What a server does with a request: it writes the response itself.
type Script = dyn Fn(&Message, &mut TcpStream) -> Next + Send + Sync;

/// What follows a response.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Next {
    /// The connection stays open.
    Keep,
    Close,
    /// The server crashes and starts again.
    Crash,
}

/// A backend server. It rejects requests that expect another one.
#[derive(Clone)]
pub(crate) struct Runner {
    pub(crate) name: String,
    address: SocketAddr,
    pub(crate) arrivals: Arc<Mutex<Vec<Arrival>>>,
    record: Record,
    script: Arc<Script>,
    is_beating: Arc<AtomicBool>,
    is_down: Arc<AtomicBool>,
    start: Arc<Mutex<Start>>,
    /// Where it writes its entry, and the fields that stay the same.
    entry: Arc<Mutex<Option<(Store, String)>>>,
    crashes: Arc<Mutex<Vec<Instant>>>,
    /// Its open connections, which a crash ends.
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// A start of a server.
struct Start {
    /// In milliseconds since 1970.
    born: u64,
    cold_until: Instant,
    /// Writes of its entry.
    writes: u64,
}

impl Start {
    fn now(cold: Duration) -> Self {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let born = since_1970.as_millis() as u64;
        Self { born, cold_until: Instant::now() + cold, writes: 0 }
    }
}

impl Runner {
    pub(crate) fn start(
        ip: &str,
        name: &str,
        record: &Record,
        script: impl Fn(&Message, &mut TcpStream) -> Next + Send + Sync + 'static,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|err| format!("server: {err}"))?;
        listener.set_nonblocking(true).map_err(|err| err.to_string())?;
        let address = listener.local_addr().map_err(|err| err.to_string())?;
        let runner = Self {
            name: name.to_owned(),
            address,
            arrivals: Arc::default(),
            record: record.clone(),
            script: Arc::new(script),
            is_beating: Arc::new(AtomicBool::new(true)),
            is_down: Arc::default(),
            start: Arc::new(Mutex::new(Start::now(Duration::ZERO))),
            entry: Arc::default(),
            crashes: Arc::default(),
            connections: Arc::default(),
        };
        runner.accept(listener);
        Ok(runner)
    }

    /// Writes its entry to the store, now and then every heartbeat, while [`Runner::set_beating`] allows it.
    /// `fields` are those beside what tells its starts apart.
    pub(crate) fn register(&self, store: &Store, fields: &str) {
        *self.entry.lock().unwrap() = Some((store.clone(), fields.to_owned()));
        self.write_entry();
        let runner = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if runner.is_beating.load(Ordering::SeqCst) {
                    runner.write_entry();
                }
            }
        });
    }

    /// Sets whether its heartbeats reach the store.
    pub(crate) fn set_beating(&self, is_beating: bool) {
        self.is_beating.store(is_beating, Ordering::SeqCst);
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether a request with this id has reached it.
    pub(crate) fn has_got(&self, id: &str) -> bool {
        self.arrivals.lock().unwrap().iter().any(|it| it.request.id() == id)
    }

    /// Returns when it has crashed.
    pub(crate) fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().unwrap().clone()
    }

    /// Crashes, and starts again after some time under its name, cold. Only the first of several at once
    /// counts.
    fn crash(&self) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.crashes.lock().unwrap().push(Instant::now());
        self.record.note(&format!("{} crashes", self.name));
        self.set_beating(false);
        for connection in self.connections.lock().unwrap().drain(..) {
            shut(&connection);
        }
        thread::sleep(DOWN);
        let listener = match TcpListener::bind(self.address) {
            Ok(listener) => listener,
            Err(err) => return self.record.note(&format!("{} stays down: {err}", self.name)),
        };
        // Without this, the server would never go down again.
        if let Err(err) = listener.set_nonblocking(true) {
            return self.record.note(&format!("{} stays down: {err}", self.name));
        }
        *self.start.lock().unwrap() = Start::now(COLD);
        self.is_down.store(false, Ordering::SeqCst);
        self.accept(listener);
        self.write_entry();
        self.set_beating(true);
        self.record.note(&format!("{} has started again", self.name));
    }

    /// Accepts connections until it goes down.
    fn accept(&self, listener: TcpListener) {
        let runner = self.clone();
        thread::spawn(move || {
            while !runner.is_down.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_PAUSE);
                    continue;
                };
                let runner = runner.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
    }

    fn write_entry(&self) {
        let entry = self.entry.lock().unwrap().clone();
        let Some((store, _)) = entry else { return };
        store.put(&format!("servers/{}", self.name), &self.next_entry());
    }

    /// Returns the next entry that it would write, as a write that is under way.
    pub(crate) fn next_entry(&self) -> String {
        let entry = self.entry.lock().unwrap();
        let fields = entry.as_ref().map_or("", |it| it.1.as_str());
        let mut start = self.start.lock().unwrap();
        start.writes += 1;
        let cold_left = start.cold_until.saturating_duration_since(Instant::now()).as_millis();
        format!(
            r#"{{{fields},"address":"{}","born":{},"coldLeftMs":{cold_left},"seq":{}}}"#,
            self.address, start.born, start.writes
        )
    }

    /// Writes its entry with other fields from now on.
    pub(crate) fn report(&self, store: &Store, fields: &str) {
        *self.entry.lock().unwrap() = Some((store.clone(), fields.to_owned()));
        self.write_entry();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else { return };
        self.connections.lock().unwrap().extend(stream.try_clone().ok());
        let mut reader = BufReader::new(reader);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if request.field("X-Clementinehall-Expect-Instance").is_some_and(|it| it != self.name) {
                let text = format!(
                    "HTTP/1.1 421 X\r\nX-Clementinehall-Request-Id: {}\r\n\
                     X-Clementinehall-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    request.id(),
                    self.name
                );
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let tenant = request.field("X-Clementinehall-Tenant").unwrap_or("-");
            self.record.note(&format!(
                "{} gets {} {} tenant={tenant} body={}",
                self.name,
                request.id(),
                request.first_line,
                request.body.len()
            ));
            let arrival = Arrival { at: Instant::now(), request: request.clone() };
            self.arrivals.lock().unwrap().push(arrival);
            match (self.script)(&request, &mut stream) {
                Next::Keep => {}
                Next::Close => break,
                Next::Crash => return self.crash(),
            }
        }
        shut(&stream);
    }
}

/// Returns the beginning of a response head; `more` are further fields, the empty line and a body.
pub(crate) fn response(request: &Message, status: u16, more: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nX-Clementinehall-Request-Id: {}\r\n\
         X-Clementinehall-Server-Stamp: stamp\r\n{more}",
        request.id()
    )
}

/// Writes a whole response with a body.
pub(crate) fn respond(stream: &mut TcpStream, request: &Message, body: &str) -> Next {
    let more = format!("Content-Length: {}\r\n\r\n{body}", body.len());
    write(stream, &response(request, 200, &more))
}

/// Writes a part of a response. The connection is of no use if that fails.
pub(crate) fn write(stream: &mut TcpStream, text: &str) -> Next {
    if stream.write_all(text.as_bytes()).is_ok() { Next::Keep } else { Next::Close }
}

/// Returns an event of a stream as a chunk.
pub(crate) fn event(id: u32) -> String {
    let event = format!("id: {id}\ndata: piece {id}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// The fields of a stream in chunks, and the empty line behind them.
pub(crate) const STREAM_FIELDS: &str =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The end of a stream in chunks.
pub(crate) const LAST_CHUNK: &str = "0\r\n\r\n";
