//! A stand-in of a backend server, which the pages call a runner.

use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Request, read_request},
    record::Record,
    store::Store,
};

/// Time between two writes of a runner's entry (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The entry of a runner that fell silent is removed after three of these.
const SILENCE: Duration = Duration::from_millis(3_600);

/// More than the thread that accepts connections takes to close its listener.
const LISTENER_CLOSE: Duration = Duration::from_millis(5);

/// What a runner does with a request that it runs.
pub enum Step {
    Wait(Duration),
    Write(Vec<u8>),
    /// The runner ends: its connections break, new ones are refused. It comes back after this time
    /// as a new incarnation.
    Crash(Duration),
}

/// A request that a runner began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub runner: String,
    pub request: Request,
}

type Script = dyn Fn(&Request) -> Vec<Step> + Send + Sync;

/// A runner, which registers itself in the store.
#[derive(Clone)]
pub struct Runner {
    shared: Arc<Shared>,
}

struct Shared {
    address: SocketAddr,
    service: String,
    zone: String,
    slots: u32,
    queue: u32,
    store: Store,
    record: Arc<Record>,
    crashes: Arc<Mutex<Vec<Duration>>>,
    script: Box<Script>,
    runs: Arc<Mutex<Vec<Run>>>,
    state: Mutex<State>,
    is_up: AtomicBool,
    load: Mutex<Load>,
    slot_freed: Condvar,
    /// For how long it is cold after its first start, and after further ones.
    cold: Duration,
    restart_cold: Duration,
}

/// Requests that are worked on, `slots` at most, and those that wait, `queue` at most.
#[derive(Default)]
struct Load {
    running: u32,
    queued: u32,
}

#[derive(Default)]
struct State {
    cold_until: Duration,
    id: String,
    born: u128,
    connections: Vec<TcpStream>,
}

/// Numbers the incarnations of all runners.
static INCARNATIONS: AtomicU64 = AtomicU64::new(1);

pub struct RunnerSetup<'a> {
    pub service: &'a str,
    pub zone: &'a str,
    pub slots: u32,
    pub queue: u32,
    pub cold: Duration,
    pub restart_cold: Duration,
    pub store: &'a Store,
    pub record: &'a Arc<Record>,
    pub runs: &'a Arc<Mutex<Vec<Run>>>,
    /// When runners crashed.
    pub crashes: &'a Arc<Mutex<Vec<Duration>>>,
}

impl Runner {
    pub fn start(
        setup: &RunnerSetup<'_>,
        script: impl Fn(&Request) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let shared = Shared {
            address: listener.local_addr().unwrap(),
            service: setup.service.to_owned(),
            zone: setup.zone.to_owned(),
            slots: setup.slots,
            queue: setup.queue,
            store: setup.store.clone(),
            record: Arc::clone(setup.record),
            crashes: Arc::clone(setup.crashes),
            script: Box::new(script),
            runs: Arc::clone(setup.runs),
            state: Mutex::default(),
            is_up: AtomicBool::new(false),
            load: Mutex::default(),
            slot_freed: Condvar::new(),
            cold: setup.cold,
            restart_cold: setup.restart_cold,
        };
        let runner = Self { shared: Arc::new(shared) };
        runner.shared.state.lock().unwrap().cold_until = runner.shared.record.now() + setup.cold;
        runner.begin(listener);
        let beating = runner.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.register();
            }
        });
        runner
    }

    pub fn id(&self) -> String {
        self.shared.state.lock().unwrap().id.clone()
    }

    /// Makes the runner cold for as long as after its start, as it writes to its entry at once.
    pub fn become_cold(&self) {
        let cold_until = self.shared.record.now() + self.shared.cold;
        self.shared.state.lock().unwrap().cold_until = cold_until;
        self.register();
    }

    fn begin(&self, listener: TcpListener) {
        let number = INCARNATIONS.fetch_add(1, Ordering::SeqCst);
        {
            let mut state = self.shared.state.lock().unwrap();
            state.id = format!("i-{number:08x}");
            state.born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        }
        self.shared.is_up.store(true, Ordering::SeqCst);
        self.register();
        listener.set_nonblocking(true).unwrap();
        let runner = self.clone();
        thread::spawn(move || {
            while runner.shared.is_up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                stream.set_nodelay(true).unwrap();
                runner.shared.state.lock().unwrap().connections.extend(stream.try_clone().ok());
                let runner = runner.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
    }

    fn register(&self) {
        let shared = &self.shared;
        if !shared.is_up.load(Ordering::SeqCst) {
            return;
        }
        let state = shared.state.lock().unwrap();
        let cold = state.cold_until.saturating_sub(shared.record.now()).as_millis();
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","coldLeftMs":{cold},"seq":{},"born":{}}}"#,
            shared.service,
            shared.address,
            shared.zone,
            shared.slots,
            shared.record.now().as_millis(),
            state.born,
        );
        shared.store.put(&format!("servers/{}", state.id), &entry);
    }

    /// Ends the runner. It comes back at its address after `span`.
    fn crash(&self, span: Duration) {
        if !self.shared.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        // The listener closes first, so that no new connection is accepted after the others break.
        thread::sleep(LISTENER_CLOSE);
        let id = {
            let mut state = self.shared.state.lock().unwrap();
            for stream in state.connections.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            state.id.clone()
        };
        self.shared.crashes.lock().unwrap().push(self.shared.record.now());
        self.shared.record.add(format!("runner {id} crashes"));
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(span);
            let listener = loop {
                match TcpListener::bind(runner.shared.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            let cold_until = runner.shared.record.now() + runner.shared.restart_cold;
            runner.shared.state.lock().unwrap().cold_until = cold_until;
            runner.begin(listener);
            let new = runner.id();
            runner.shared.record.add(format!("runner {id} is back as {new}"));
            thread::sleep(SILENCE.saturating_sub(span));
            runner.shared.store.delete(&format!("servers/{id}"));
        });
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let req = read_request(&mut reader)?;
            self.handle(&req, &mut stream)?;
        }
    }

    fn handle(&self, req: &Request, stream: &mut TcpStream) -> Option<()> {
        let shared = &self.shared;
        let id = self.id();
        let reject = |status: u16, stream: &mut TcpStream| {
            let more = format!("X-Clementinehall-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            let head = format!(
                "HTTP/1.1 {status} X\r\nX-Clementinehall-Request-Id: {}\r\nX-Clementinehall-Not-Executed: 1\r\n{more}",
                req.id()
            );
            stream.write_all(head.as_bytes()).ok()
        };
        if req.field("X-Clementinehall-Expect-Instance").is_some_and(|it| it != id) {
            return reject(421, stream);
        }
        let is_check = req.method == "GET" && req.target == "/healthz";
        if !is_check && req.id().is_empty() {
            return reject(400, stream);
        }
        if !self.take_slot() {
            return reject(503, stream);
        }
        let done = if is_check { self.tell_health(&id, stream) } else { self.run(id, req, stream) };
        shared.load.lock().unwrap().running -= 1;
        shared.slot_freed.notify_one();
        done
    }

    /// Waits until one of the slots is free; returns `false` if the queue is full.
    fn take_slot(&self) -> bool {
        let shared = &self.shared;
        let mut load = shared.load.lock().unwrap();
        if load.running >= shared.slots && load.queued >= shared.queue {
            return false;
        }
        load.queued += 1;
        let is_full = |load: &mut Load| load.running >= shared.slots;
        let mut load = shared.slot_freed.wait_while(load, is_full).unwrap();
        load.queued -= 1;
        load.running += 1;
        true
    }

    /// Responds to a health check.
    fn tell_health(&self, id: &str, stream: &mut TcpStream) -> Option<()> {
        let cold_until = self.shared.state.lock().unwrap().cold_until;
        let cold = cold_until.saturating_sub(self.shared.record.now()).as_millis();
        let text = format!(
            "HTTP/1.1 200 X\r\nX-Clementinehall-Instance-Id: {id}\r\n\
             X-Clementinehall-Cold-Ms: {cold}\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).ok()
    }

    fn run(&self, id: String, req: &Request, stream: &mut TcpStream) -> Option<()> {
        let shared = &self.shared;
        if !shared.is_up.load(Ordering::SeqCst) {
            return None;
        }
        let at = shared.record.now();
        shared.record.add_at(at, format!("{id} runs {} {}", req.id(), req.target));
        shared.runs.lock().unwrap().push(Run { at, runner: id, request: req.clone() });
        self.follow((shared.script)(req), stream)
    }

    fn follow(&self, steps: Vec<Step>, stream: &mut TcpStream) -> Option<()> {
        for step in steps {
            match step {
                Step::Wait(span) => thread::sleep(span),
                Step::Write(bytes) => stream.write_all(&bytes).ok()?,
                Step::Crash(span) => {
                    self.crash(span);
                    return None;
                }
            }
            if !self.shared.is_up.load(Ordering::SeqCst) {
                return None;
            }
        }
        Some(())
    }
}

/// The beginning of an answer; `more` are further fields.
pub fn head(req: &Request, status: u16, more: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nX-Clementinehall-Request-Id: {}\r\n\
         X-Clementinehall-Server-Stamp: stamp\r\n{more}\r\n",
        req.id()
    )
}

/// Works for some time, then answers with a body that names the request.
pub fn answer(req: &Request, work: Duration) -> Vec<Step> {
    let body = format!("answer to {}", req.id());
    let head = head(req, 200, &format!("Content-Length: {}\r\n", body.len()));
    vec![Step::Wait(work), Step::Write(format!("{head}{body}").into_bytes())]
}
