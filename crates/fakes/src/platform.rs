//! The configuration service and the instance list.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_net::TcpStream;
use config::InstanceList;

use crate::{
    Header, Received,
    host::Host,
    http,
    rt::{lock, sleep},
};

const POLL: Duration = Duration::from_millis(10);
const MAX_WAIT: Duration = Duration::from_secs(60);
const CONFIG_PATH: &str = "/config";
const INSTANCES_PATH: &str = "/instances";

/// A fake of the platform's services, which can only be read and watched.
pub struct Platform {
    host: Host,
    state: Arc<Mutex<State>>,
}

/// Calls that the platform answered or holds; a waiting watch counts as one.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Reads {
    /// Calls of the configuration service.
    pub config: u64,
    /// Calls of the instance list.
    pub instances: u64,
}

impl Platform {
    /// Starts the platform with nothing published.
    pub fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let host = Host::start(move |stream| serve(stream, Arc::clone(&shared)))?;
        Ok(Self { host, state })
    }

    /// Returns the address of both services.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Publishes a configuration document.
    pub fn publish(&self, version: u64, text: impl Into<String>) {
        lock(&self.state).config.push(Doc { version, text: text.into() });
    }

    /// Publishes an instance list; readers see it after the lag.
    pub fn set_instances(&self, list: InstanceList) {
        let mut state = lock(&self.state);
        let seen_from = Instant::now() + state.lag;
        state.lists.push(ListAt { list, seen_from });
    }

    /// Sets the addresses at which the reader `/instances/READER` sees other instances.
    pub fn set_view(&self, reader: &str, peers: HashMap<String, SocketAddr>) {
        lock(&self.state).views.insert(reader.to_owned(), peers);
    }

    /// Refuses connections.
    pub fn down(&self) {
        self.host.down();
    }

    /// Ends every fault: [`Platform::down`], [`Platform::hang`], [`Platform::stale`] and
    /// [`Platform::flap`].
    pub fn up(&self) -> io::Result<()> {
        let mut state = lock(&self.state);
        state.hangs = false;
        state.stale = None;
        state.flap = None;
        drop(state);
        self.host.up()
    }

    /// Accepts connections and never answers.
    pub fn hang(&self) {
        lock(&self.state).hangs = true;
        self.host.reset();
    }

    /// Answers every read of the configuration with this older version, also where the reader has
    /// a newer one.
    pub fn stale(&self, version: u64) {
        lock(&self.state).stale = Some(version);
    }

    /// Answers every second read of the configuration with this older version.
    pub fn flap(&self, version: u64) {
        lock(&self.state).flap = Some(version);
    }

    /// Sets how long a change of the instance list takes to be seen.
    pub fn lag(&self, span: Duration) {
        lock(&self.state).lag = span;
    }

    /// Returns the calls so far.
    pub fn reads(&self) -> Reads {
        lock(&self.state).reads
    }
}

#[derive(Default)]
struct State {
    config: Vec<Doc>,
    lists: Vec<ListAt>,
    views: HashMap<String, HashMap<String, SocketAddr>>,
    lag: Duration,
    hangs: bool,
    stale: Option<u64>,
    flap: Option<u64>,
    reads: Reads,
}

struct ListAt {
    list: InstanceList,
    seen_from: Instant,
}

/// A document as a reader gets it.
#[derive(Clone)]
struct Doc {
    version: u64,
    text: String,
}

impl State {
    /// Returns the configuration that a read gets, and whether the reader's version matters.
    fn config(&self, read: u64) -> Option<(Doc, bool)> {
        let flapped = self.flap.filter(|_| read % 2 == 1);
        let old = self.stale.or(flapped);
        let chosen = match old {
            Some(version) => self.config.iter().find(|it| it.version == version),
            None => self.config.iter().max_by_key(|it| it.version),
        };
        chosen.cloned().map(|it| (it, old.is_none()))
    }

    fn list(&self, reader: &str) -> Option<Doc> {
        let now = Instant::now();
        let seen = self.lists.iter().filter(|it| it.seen_from <= now);
        let entry = seen.max_by_key(|it| it.list.version)?;
        let mut list = entry.list.clone();
        if let Some(peers) = self.views.get(reader) {
            for instance in &mut list.instances {
                if let Some(peer) = peers.get(&instance.name) {
                    instance.peer = *peer;
                }
            }
        }
        let text = serde_json::to_string(&list).ok()?;
        Some(Doc { version: list.version, text })
    }
}

async fn serve(mut stream: TcpStream, state: Arc<Mutex<State>>) {
    while let Some(request) = http::read(&stream).await {
        let answer = match request.path.as_str() {
            CONFIG_PATH => read_config(&state, &request).await,
            path => match path.strip_prefix(INSTANCES_PATH) {
                Some(reader) => read_list(&state, &request, reader.trim_start_matches('/')).await,
                None => Answer::NotFound,
            },
        };
        if lock(&state).hangs {
            std::future::pending::<()>().await;
        }
        let json = vec![Header::new("content-type", "application/json")];
        let result = match answer {
            Answer::Doc(text) => http::respond(&mut stream, 200, json, text.as_bytes()).await,
            Answer::NotModified => http::respond(&mut stream, 304, vec![], b"").await,
            Answer::NotFound => http::respond(&mut stream, 404, vec![], b"").await,
        };
        if result.is_err() {
            return;
        }
    }
}

enum Answer {
    Doc(String),
    NotModified,
    NotFound,
}

async fn read_config(state: &Mutex<State>, request: &Received) -> Answer {
    let read = {
        let mut state = lock(state);
        state.reads.config += 1;
        state.reads.config
    };
    watch(request, |after| {
        let (doc, honest) = lock(state).config(read)?;
        (!honest || doc.version > after).then_some(doc.text)
    })
    .await
}

async fn read_list(state: &Mutex<State>, request: &Received, reader: &str) -> Answer {
    lock(state).reads.instances += 1;
    watch(request, |after| {
        let doc = lock(state).list(reader)?;
        (doc.version > after).then_some(doc.text)
    })
    .await
}

/// Waits for a document that is newer than what the reader has, as long as it asked for.
async fn watch(request: &Received, newer: impl Fn(u64) -> Option<String>) -> Answer {
    let number = |name| request.param(name).and_then(|it| it.parse().ok());
    let after = number("after").unwrap_or(0);
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MAX_WAIT);
    let end = Instant::now() + wait;
    loop {
        if let Some(text) = newer(after) {
            return Answer::Doc(text);
        }
        if Instant::now() >= end {
            return Answer::NotModified;
        }
        sleep(POLL).await;
    }
}
