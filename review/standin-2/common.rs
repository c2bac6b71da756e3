//! Stand-ins of the platform's store, of backend servers and of callers, and the processes under test.
//! Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// The key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const HOST: &str = "ficu95.example";

/// Whether the run includes the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// Traffic starts this long after the machines.
pub const LEAD: Duration = Duration::from_secs(10);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The processes that this run has started and not ended, and its folder.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends the processes that this run has started, removes its folder and exits.
pub fn exit(status: i32) -> ! {
    for pid in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        if std::env::var("KEEP_LOGS").is_ok() {
            println!("logs are in {}", folder.display());
        } else {
            let _ = fs::remove_dir_all(folder);
        }
    }
    std::process::exit(status)
}

/// Ends the run as "could not run".
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    exit(2)
}

/// The record of a run: lines with the time since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file that the first argument names.
    pub fn create() -> Self {
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
        let file = File::create(path).unwrap_or_else(|err| cannot_run(&err.to_string()));
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(115));
            cannot_run("it takes too long");
        });
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:9.3} {text}", self.now());
    }

    /// Writes a line to the record and to the standard output.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A message that was read from a connection.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
    }

    pub fn id(&self) -> String {
        self.field("X-Clementinehall-Request-Id").unwrap_or_default().to_owned()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message =
        Message { first_line: line.trim_end().to_owned(), fields: Vec::new(), body: Vec::new() };
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.fields.push((name.to_owned(), value.trim().to_owned()));
    }
    Ok(Some(message))
}

/// Reads a request with a length, or without a body.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    let length = message.field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Reads a response with a length or in chunks.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.field("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message.field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Listens at a free port of a loopback address.
pub fn listen(ip: Ipv4Addr) -> TcpListener {
    TcpListener::bind((ip, 0)).unwrap_or_else(|err| cannot_run(&err.to_string()))
}

pub fn address_of(listener: &TcpListener) -> SocketAddrV4 {
    match listener.local_addr() {
        Ok(SocketAddr::V4(address)) => address,
        other => cannot_run(&format!("{other:?}")),
    }
}

/// Returns a free port of a loopback address, for TCP and UDP.
pub fn free_port(ip: Ipv4Addr) -> u16 {
    for _ in 0..100 {
        let port = address_of(&listen(ip)).port();
        if std::net::UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
    cannot_run("no free port")
}

// The platform's store.

/// What the store does with the calls that come to one of its listeners.
pub const SERVES: u8 = 0;
/// It answers 503: nothing was done.
pub const TURNS_AWAY: u8 = 1;
/// It answers nothing.
pub const SILENT: u8 = 2;

/// A stand-in of the platform's store. It keeps the history of all changes of the last 20 s.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Default)]
struct Shared {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    /// All changes: revision, key, value (none if it was deleted) and time.
    changes: Vec<(u64, String, Option<String>, Option<Instant>)>,
    /// The revision up to which the history was dropped.
    dropped: u64,
}

/// The time for which the store keeps its history.
pub const HISTORY: Duration = Duration::from_secs(20);
/// A listing is cut at 500 items or 1 MB.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

impl Store {
    pub fn put(&self, key: &str, value: &str) {
        let mut shared = self.shared.lock().unwrap();
        shared.revision += 1;
        let revision = shared.revision;
        let encoded = base64(value.as_bytes());
        shared.items.insert(key.to_owned(), (revision, encoded.clone()));
        shared.changes.push((revision, key.to_owned(), Some(encoded), Some(Instant::now())));
    }

    pub fn delete(&self, key: &str) {
        let mut shared = self.shared.lock().unwrap();
        shared.revision += 1;
        let revision = shared.revision;
        shared.items.remove(key);
        shared.changes.push((revision, key.to_owned(), None, Some(Instant::now())));
    }

    /// Starts a listener and returns its address and what it does.
    pub fn serve_at(&self, ip: Ipv4Addr) -> (SocketAddrV4, Arc<AtomicU8>) {
        let listener = listen(ip);
        let address = address_of(&listener);
        let mode = Arc::new(AtomicU8::new(SERVES));
        let (store, listener_mode) = (self.clone(), Arc::clone(&mode));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, mode) = (store.clone(), Arc::clone(&listener_mode));
                thread::spawn(move || {
                    let _ = store.serve(stream, &mode);
                });
            }
        });
        (address, mode)
    }

    fn serve(&self, mut stream: TcpStream, mode: &AtomicU8) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(req) = read_request(&mut reader)? {
            thread::sleep(ms(4));
            let (status, body) = match mode.load(Ordering::SeqCst) {
                SERVES => self.respond(req.target()),
                TURNS_AWAY => (503, "{}".to_owned()),
                _ => loop {
                    thread::sleep(ms(100));
                },
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(head.as_bytes())?;
            stream.write_all(body.as_bytes())?;
        }
        Ok(())
    }

    fn respond(&self, target: &str) -> (u16, String) {
        let param = |name: &str| {
            let query = target.split_once('?').map_or("", |it| it.1);
            let found = query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='));
            found.unwrap_or_default().replace("%2F", "/")
        };
        let prefix = param("prefix");
        let mut shared = self.shared.lock().unwrap();
        if target.starts_with("/clementinehall/kv-range") {
            let after = param("after");
            let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
            let matching = shared.items.iter().filter(|it| it.0.starts_with(&prefix));
            for (key, (revision, value)) in matching.filter(|it| **it.0 > *after) {
                if items.len() >= PAGE_ITEMS
                    || !items.is_empty() && bytes + value.len() > PAGE_BYTES
                {
                    more = true;
                    break;
                }
                bytes += value.len();
                items.push(item(key, value, *revision));
            }
            let at = shared.revision;
            return (
                200,
                format!("{{\"items\":[{}],\"hasMore\":{more},\"at\":{at}}}", items.join(",")),
            );
        }
        if target.starts_with("/clementinehall/kv-watch") {
            let after: u64 = param("after").parse().unwrap_or(0);
            let old = |at: &Option<Instant>| at.is_some_and(|at| at.elapsed() > HISTORY);
            let dropped = shared.changes.iter().filter(|it| old(&it.3)).map(|it| it.0).max();
            shared.dropped = shared.dropped.max(dropped.unwrap_or(0));
            shared.changes.retain(|it| !old(&it.3));
            if after < shared.dropped {
                return (410, "{}".to_owned());
            }
            let events =
                shared.changes.iter().filter(|it| it.0 > after && it.1.starts_with(&prefix));
            let events = events.map(|(revision, key, value, _)| match value {
                Some(value) => item(key, value, *revision),
                None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
            });
            let events: Vec<_> = events.collect();
            return (
                200,
                format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), shared.revision),
            );
        }
        (404, "{}".to_owned())
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":1,\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - part.len()));
        for no in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * no) & 63) as usize];
            text.push(if no <= part.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

// Backend servers.

/// A stand-in of a backend server: `handle` answers each request on its connection, and returns
/// whether the connection stays open. A request that names another server is answered with 421.
pub struct Runner {
    pub id: String,
    pub address: SocketAddrV4,
}

impl Runner {
    pub fn start(
        ip: Ipv4Addr,
        id: &str,
        handle: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    ) -> Self {
        Self::start_mortal(ip, id, Arc::default(), handle)
    }

    /// Starts one that takes no connections once `is_down` is set.
    pub fn start_mortal(
        ip: Ipv4Addr,
        id: &str,
        is_down: Arc<AtomicBool>,
        handle: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    ) -> Self {
        let listener = listen(ip);
        let address = address_of(&listener);
        let (handle, own) = (Arc::new(handle), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_down.load(Ordering::SeqCst) {
                    return;
                }
                let (handle, own) = (Arc::clone(&handle), own.clone());
                let serving = move || {
                    let _ = serve_runner(stream, &own, &*handle);
                };
                let _ = thread::Builder::new().stack_size(128 << 10).spawn(serving);
            }
        });
        Self { id: id.to_owned(), address }
    }

    /// The value of its entry in the store.
    pub fn entry(&self, service: &str, zone: &str, slots: u32, cold_ms: u64, seq: u64) -> String {
        entry(self.address, service, zone, slots, cold_ms, seq)
    }
}

pub fn entry(
    address: SocketAddrV4,
    service: &str,
    zone: &str,
    slots: u32,
    cold_ms: u64,
    seq: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":{cold_ms},\
         \"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
         \"seq\":{seq},\"born\":1796500000000}}"
    )
}

fn serve_runner(
    mut stream: TcpStream,
    own: &str,
    handle: &(dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(req) = read_request(&mut reader)? {
        if req.target() == "/healthz" {
            let answer = format!(
                "HTTP/1.1 200 X\r\nX-Clementinehall-Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(answer.as_bytes())?;
            continue;
        }
        if req.id().is_empty() {
            let answer =
                "HTTP/1.1 400 X\r\nX-Clementinehall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(answer.as_bytes())?;
            continue;
        }
        if req.field("X-Clementinehall-Expect-Instance").is_some_and(|it| it != own) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Clementinehall-Instance-Id: {own}\r\n\
                 X-Clementinehall-Request-Id: {}\r\nContent-Length: 0\r\n\r\n",
                req.id()
            );
            stream.write_all(answer.as_bytes())?;
            continue;
        }
        if !handle(&req, &mut stream)? {
            return Ok(());
        }
    }
    Ok(())
}

/// A complete answer; `more` are further fields, each with its line end.
pub fn answer(req: &Message, status: u16, more: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} X\r\nX-Clementinehall-Request-Id: {}\r\n\
         X-Clementinehall-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n{more}Content-Length: {}\r\n\r\n{body}",
        req.id(),
        body.len()
    )
    .into_bytes()
}

/// The answer of a server that does not run the request.
pub fn rejection(req: &Message, more: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 503 X\r\nX-Clementinehall-Request-Id: {}\r\nX-Clementinehall-Not-Executed: 1\r\n\
         {more}Content-Length: 0\r\n\r\n",
        req.id()
    )
    .into_bytes()
}

// Processes under test.

/// A process of the deploy file's only role, on a loopback address of its own.
pub struct Edge {
    pub name: String,
    pub front: SocketAddrV4,
    pub ready: SocketAddrV4,
    pub control: SocketAddrV4,
    settings: PathBuf,
    child: Option<Child>,
}

/// A folder for the settings and logs of this run, which [`exit`] removes.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|err| cannot_run(&err.to_string()));
        *FOLDER.lock().unwrap() = Some(path.clone());
        Self(path)
    }
}

/// A loopback address that differs between runs: machine `number` of this run.
pub fn machine_ip(number: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 64 + (pid >> 8 & 63) as u8, (pid & 255) as u8, number)
}

impl Edge {
    /// Chooses the addresses of machine `number`.
    pub fn new(folder: &Folder, number: u8) -> Self {
        let ip = machine_ip(number);
        let address = || SocketAddrV4::new(ip, free_port(ip));
        let name = format!("edge-{number}");
        let settings = folder.0.join(format!("{name}.json"));
        Self { name, front: address(), ready: address(), control: address(), settings, child: None }
    }

    /// Writes the settings file: those of `sites/unidas-cobros.toml` as the platform gives them.
    pub fn write_settings(
        &self,
        zone: &str,
        store: SocketAddrV4,
        seeds: &[SocketAddrV4],
        memory_mb: u32,
    ) {
        let seeds: Vec<_> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let text = format!(
            "{{\"nodeName\":\"{}\",\"role\":\"edge\",\"machineClass\":\"edge\",\
             \"serves\":[\"edge\",\"control_plane\"],\"ip\":\"{}\",\"zone\":\"{zone}\",\
             \"region\":\"valle-cauca\",\"zones\":{{\"zona-norte\":\"valle-cauca\",\
             \"zona-sur\":\"valle-cauca\",\"zona-yumbo\":\"valle-cauca\"}},\
             \"listen\":{{\"front\":\"{}\",\"readyAddr\":\"{}\",\"control\":\"{}\"}},\
             \"internalPorts\":[7340,7355],\"seeds\":[{}],\"bootstrap\":true,\"inTolerance\":false,\
             \"limits\":{{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":{memory_mb},\"maxFds\":4100,\
             \"linkMbps\":1000.0,\"diskMb\":0}},\"dataDir\":null,\"discovery\":\"platform\",\
             \"entry\":\"vip\",\"heartbeatMs\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\
             \"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\
             \"platform\"],\"faultTolerance\":{{\"machines\":2,\"zones\":1,\"regions\":0}},\
             \"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\
             \"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\
             \"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxStretchMs\":5000,\
             \"strictRevoke\":true,\"revokeMs\":5000,\"budgetRatio\":0.2,\"budgetWindowS\":10,\
             \"budgetSlack\":54,\"coldOverage\":1.5,\"coldSlack\":5,\"evacuateMs\":5000,\
             \"recoverS\":12,\"passMs\":120,\"reuseWindowS\":5}},\
             \"platform\":{{\"address\":\"{store}\",\"form\":\"read\",\"writesPerS\":400,\
             \"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576,\"ttlMinMs\":1000}}}}",
            self.name,
            self.front.ip(),
            self.front,
            self.ready,
            self.control,
            seeds.join(",")
        );
        fs::write(&self.settings, text).unwrap_or_else(|err| cannot_run(&err.to_string()));
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = self.settings.with_extension("log");
        let out = File::options().create(true).append(true).open(log);
        let out = out.unwrap_or_else(|err| cannot_run(&err.to_string()));
        // The command of the deploy file. The shell only sets the limit on descriptors: of the 4,100
        // of the settings, 200 are reserved for files.
        let child = Command::new("sh")
            .args(["-c", "ulimit -n 3900 && exec \"$0\" \"$@\"", "target/release/clementine-edge"])
            .args(["--metrics", "9464/metrics"])
            .env("CLEMENTINEHALL_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(out.try_clone().unwrap())
            .stdout(out)
            .spawn();
        let child = child.unwrap_or_else(|err| cannot_run(&err.to_string()));
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
    }

    /// Kills the process, as a loss of power does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|it| *it != child.id());
        }
    }

    /// Returns how the process ended; none if it still runs.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Returns the memory of the process in KiB: a field of its status, such as `VmRSS`.
    pub fn memory_kib(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix(field)?.strip_prefix(':'));
        line.and_then(|it| it.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
    }

    pub fn is_ready(&self) -> bool {
        let get = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready.into(), ms(500))?;
            stream.set_read_timeout(Some(ms(1_000)))?;
            stream.write_all(b"GET /clementinehall/readyz HTTP/1.1\r\nHost: h\r\n\r\n")?;
            Ok(read_response(&mut BufReader::new(stream))?.map_or(0, |it| it.status()))
        };
        get().is_ok_and(|status| status == 200)
    }

    /// Waits until the platform would send callers to it.
    pub fn wait_ready(&self, within: Duration) {
        let until = Instant::now() + within;
        while !self.is_ready() {
            if Instant::now() > until {
                cannot_run(&format!("{} is not ready", self.name));
            }
            thread::sleep(ms(100));
        }
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.kill();
    }
}

// Callers.

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Returns an id of its own for a client attempt.
pub fn new_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), LAST_ID.fetch_add(1, Ordering::SeqCst))
}

/// The head of a request; `more` are further fields, each with its line end.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &str,
    body: &str,
) -> String {
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Clementinehall-Request-Id: {id}\r\n\
         X-Clementinehall-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{more}{length}\r\n{body}"
    )
}

/// Sends a request on a new connection and reads the answer, for as long as the client waits.
pub fn send(to: SocketAddrV4, text: &str, wait: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to.into(), ms(1_000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.write_all(text.as_bytes())?;
    read_response(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
