//! A fake of the platform's configuration service and instance list.

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
    Header, ReceivedRequest, http,
    listener::Listener,
    rt::{lock, sleep},
};

const POLL: Duration = Duration::from_millis(10);
const MAX_WAIT: Duration = Duration::from_secs(60);
const CONFIG_PATH: &str = "/config";
const INSTANCES_PATH: &str = "/instances";

/// A fake of the platform's configuration service and instance list. Documents can be read and
/// watched by long polling.
pub struct Platform {
    listener: Listener,
    state: Arc<Mutex<State>>,
}

/// Numbers of requests received so far; a watch that is still waiting counts as one.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ReadCounts {
    /// Requests for the configuration.
    pub config: u64,
    /// Requests for the instance list.
    pub instances: u64,
}

impl Platform {
    /// Starts the platform with no document published.
    pub fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let listener = Listener::start(move |stream| serve(stream, Arc::clone(&shared)))?;
        Ok(Self { listener, state })
    }

    /// Returns the address of both services.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Publishes a configuration document. Readers get the one with the highest version.
    pub fn publish(&self, version: u64, text: impl Into<String>) {
        lock(&self.state).config.push(Document { version, text: text.into() });
    }

    /// Publishes an instance list; readers see it after the lag of [`Platform::set_list_lag`].
    pub fn set_instances(&self, list: InstanceList) {
        let mut state = lock(&self.state);
        let visible_from = Instant::now() + state.list_lag;
        state.lists.push(PublishedList { list, visible_from });
    }

    /// Sets the addresses of other instances, by name, in the list that `/instances/READER`
    /// returns.
    pub fn set_peer_addresses(&self, reader: &str, peers: HashMap<String, SocketAddr>) {
        lock(&self.state).peer_addresses.insert(reader.to_owned(), peers);
    }

    /// Resets open connections and refuses new ones.
    pub fn down(&self) {
        self.listener.close();
    }

    /// Ends these faults: [`Platform::down`], [`Platform::hang`], [`Platform::serve_stale`] and
    /// [`Platform::flap`].
    pub fn heal(&self) -> io::Result<()> {
        let mut state = lock(&self.state);
        state.is_hanging = false;
        state.stale_version = None;
        state.flap_version = None;
        drop(state);
        self.listener.open()
    }

    /// Resets open connections; accepts new ones but sends no response.
    pub fn hang(&self) {
        lock(&self.state).is_hanging = true;
        self.listener.reset_connections();
    }

    /// Responds to every read of the configuration with this older version, even if the reader has
    /// a newer one.
    pub fn serve_stale(&self, version: u64) {
        lock(&self.state).stale_version = Some(version);
    }

    /// Responds to every second read of the configuration with this older version.
    pub fn flap(&self, version: u64) {
        lock(&self.state).flap_version = Some(version);
    }

    /// Sets how long after its publication a later instance list becomes visible to readers.
    pub fn set_list_lag(&self, span: Duration) {
        lock(&self.state).list_lag = span;
    }

    /// Returns the numbers of requests so far.
    pub fn reads(&self) -> ReadCounts {
        lock(&self.state).reads
    }
}

#[derive(Default)]
struct State {
    config: Vec<Document>,
    lists: Vec<PublishedList>,
    peer_addresses: HashMap<String, HashMap<String, SocketAddr>>,
    list_lag: Duration,
    is_hanging: bool,
    stale_version: Option<u64>,
    flap_version: Option<u64>,
    reads: ReadCounts,
}

struct PublishedList {
    list: InstanceList,
    visible_from: Instant,
}

/// A document as sent to a reader.
#[derive(Clone)]
struct Document {
    version: u64,
    text: String,
}

impl State {
    /// Returns the configuration for the read with this number, and whether it is only sent to a
    /// reader that has an older one.
    fn config(&self, read: u64) -> Option<(Document, bool)> {
        let alternate = self.flap_version.filter(|_| read % 2 == 1);
        let old = self.stale_version.or(alternate);
        let chosen = match old {
            Some(version) => self.config.iter().find(|it| it.version == version),
            None => self.config.iter().max_by_key(|it| it.version),
        };
        chosen.cloned().map(|it| (it, old.is_none()))
    }

    fn list(&self, reader: &str) -> Option<Document> {
        let now = Instant::now();
        let visible = self.lists.iter().filter(|it| it.visible_from <= now);
        let entry = visible.max_by_key(|it| it.list.version)?;
        let mut list = entry.list.clone();
        if let Some(peers) = self.peer_addresses.get(reader) {
            for instance in &mut list.instances {
                if let Some(peer) = peers.get(&instance.name) {
                    instance.peer = *peer;
                }
            }
        }
        let text = serde_json::to_string(&list).ok()?;
        Some(Document { version: list.version, text })
    }
}

async fn serve(mut stream: TcpStream, state: Arc<Mutex<State>>) {
    while let Some(request) = http::read_request(&stream).await {
        let response = match request.path.as_str() {
            CONFIG_PATH => read_config(&state, &request).await,
            path => match path.strip_prefix(INSTANCES_PATH) {
                Some(reader) => read_list(&state, &request, reader.trim_start_matches('/')).await,
                None => Response::NotFound,
            },
        };
        if lock(&state).is_hanging {
            std::future::pending::<()>().await;
        }
        let json = vec![Header::new("content-type", "application/json")];
        let result = match response {
            Response::Document(text) => {
                http::respond(&mut stream, 200, json, text.as_bytes()).await
            }
            Response::NotModified => http::respond(&mut stream, 304, vec![], b"").await,
            Response::NotFound => http::respond(&mut stream, 404, vec![], b"").await,
        };
        if result.is_err() {
            return;
        }
    }
}

enum Response {
    Document(String),
    NotModified,
    NotFound,
}

async fn read_config(state: &Mutex<State>, request: &ReceivedRequest) -> Response {
    let read = {
        let mut state = lock(state);
        state.reads.config += 1;
        state.reads.config
    };
    watch(request, |after| {
        let (document, checks_version) = lock(state).config(read)?;
        (!checks_version || document.version > after).then_some(document.text)
    })
    .await
}

async fn read_list(state: &Mutex<State>, request: &ReceivedRequest, reader: &str) -> Response {
    lock(state).reads.instances += 1;
    watch(request, |after| {
        let document = lock(state).list(reader)?;
        (document.version > after).then_some(document.text)
    })
    .await
}

/// Waits for a document newer than the version `after` of the reader, for up to its `wait_ms`.
async fn watch(request: &ReceivedRequest, newer: impl Fn(u64) -> Option<String>) -> Response {
    let param = |name| request.param(name).and_then(|it| it.parse().ok());
    let after = param("after").unwrap_or(0);
    let wait = Duration::from_millis(param("wait_ms").unwrap_or(0)).min(MAX_WAIT);
    let end = Instant::now() + wait;
    loop {
        if let Some(text) = newer(after) {
            return Response::Document(text);
        }
        if Instant::now() >= end {
            return Response::NotModified;
        }
        sleep(POLL).await;
    }
}
