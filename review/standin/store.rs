//! A stand-in of the platform's store, and of the path of a machine to it.

use std::{
    collections::{BTreeMap, VecDeque},
    io::{BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{read_request, write_response};

/// The store forgets changes after this time (`historyS`).
const HISTORY: Duration = Duration::from_secs(20);
/// A page of a listing, or of changes, holds so many items or bytes at most, but at least one item.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Shared>, Condvar)>,
}

struct Shared {
    revision: u64,
    /// Encoded items by key.
    items: BTreeMap<String, Arc<str>>,
    /// Time, revision and encoded change.
    changes: VecDeque<(Instant, u64, Arc<str>)>,
    forgotten: u64,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let shared = Shared {
            revision: 100,
            items: BTreeMap::new(),
            changes: VecDeque::new(),
            forgotten: 100,
        };
        let store = Self {
            address: listener.local_addr().unwrap(),
            shared: Arc::new((Mutex::new(shared), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut shared = self.shared.0.lock().unwrap();
        shared.revision += 1;
        let revision = shared.revision;
        let value = base64(value.as_bytes());
        let item: Arc<str> = format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
        )
        .into();
        shared.items.insert(key.to_owned(), Arc::clone(&item));
        shared.changes.push_back((Instant::now(), revision, item));
        self.shared.1.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut shared = self.shared.0.lock().unwrap();
        if shared.items.remove(key).is_none() {
            return;
        }
        shared.revision += 1;
        let revision = shared.revision;
        let change = format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#).into();
        shared.changes.push_back((Instant::now(), revision, change));
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let req = read_request(&mut reader)?;
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.respond(&req.target);
            let json = [("Content-Type", "application/json")];
            write_response(&mut stream, status, &json, body.as_bytes()).ok()?;
        }
    }

    fn respond(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let text = |name: &str| {
            let pair = query.split('&').find_map(|it| it.split_once('=').filter(|it| it.0 == name));
            pair.map_or(String::new(), |it| it.1.replace("%2F", "/"))
        };
        let number = |name: &str| text(name).parse::<u64>().unwrap_or_default();
        match path {
            "/clementinehall/kv-range" => (200, self.range(&text("prefix"), &text("after"))),
            "/clementinehall/kv-watch" => {
                self.watch(&text("prefix"), number("after"), number("waitMs"))
            }
            "/clementinehall/kv-key" => {
                let shared = self.shared.0.lock().unwrap();
                shared.items.get(&text("key")).map_or((404, String::new()), |it| {
                    (200, format!(r#"{},"at":{}}}"#, it.trim_end_matches('}'), shared.revision))
                })
            }
            _ => (404, String::new()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let shared = self.shared.0.lock().unwrap();
        let fits = |it: &&String| it.starts_with(prefix) && it.as_str() > after;
        let matching = shared.items.iter().filter(|it| fits(&it.0));
        let (page, has_more) = page(matching.map(|it| it.1));
        format!(r#"{{"items":[{}],"hasMore":{has_more},"at":{}}}"#, page.join(","), shared.revision)
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let key = format!(r#"{{"key":"{prefix}"#);
        let mut shared = self.shared.0.lock().unwrap();
        loop {
            while shared.changes.front().is_some_and(|it| it.0.elapsed() > HISTORY) {
                let oldest = shared.changes.pop_front();
                shared.forgotten = oldest.map_or(0, |it| it.1);
            }
            if after < shared.forgotten {
                return (410, String::new());
            }
            let key = key.trim_end_matches('"');
            let matching =
                || shared.changes.iter().filter(|it| it.1 > after && it.2.starts_with(key));
            let (page, has_more) = page(matching().map(|it| &it.2));
            let now = Instant::now();
            if !page.is_empty() || now >= until {
                let last = matching().nth(page.len().saturating_sub(1)).map(|it| it.1);
                let at = last.filter(|_| has_more).unwrap_or(shared.revision);
                return (200, format!(r#"{{"events":[{}],"at":{at}}}"#, page.join(",")));
            }
            shared = self.shared.1.wait_timeout(shared, until - now).unwrap().0;
        }
    }
}

/// Returns a page of items, and whether more follow.
fn page<'a>(items: impl Iterator<Item = &'a Arc<str>>) -> (Vec<&'a str>, bool) {
    let (mut page, mut bytes) = (Vec::new(), 0);
    for item in items {
        if page.len() >= PAGE_ITEMS || !page.is_empty() && bytes + item.len() > PAGE_BYTES {
            return (page, true);
        }
        bytes += item.len();
        page.push(&**item);
    }
    (page, false)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let bits =
            (0..3).fold(0u32, |bits, no| bits << 8 | u32::from(*chunk.get(no).unwrap_or(&0)));
        for no in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * no) & 63) as usize];
            text.push(if no <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// The path of one machine to the store.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    shared: Arc<Mutex<LinkState>>,
}

#[derive(Default)]
struct LinkState {
    is_cut: bool,
    open: Vec<TcpStream>,
}

impl Link {
    pub fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let link = Self { address: listener.local_addr().unwrap(), shared: Arc::default() };
        let serving = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = serving.shared.lock().unwrap();
                // A cut link closes each connection at once.
                if state.is_cut {
                    continue;
                }
                let Ok(onward) = TcpStream::connect(store) else { continue };
                state.open.retain(|it| it.peer_addr().is_ok());
                for (from, to) in [(&stream, &onward), (&onward, &stream)] {
                    let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    thread::spawn(move || copy(from, to));
                }
                state.open.extend([stream, onward]);
            }
        });
        link
    }

    /// Cuts the link or heals it. A cut one closes all connections.
    pub fn set_cut(&self, is_cut: bool) {
        let mut state = self.shared.lock().unwrap();
        state.is_cut = is_cut;
        if is_cut {
            for stream in state.open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buf = vec![0; 64 << 10];
    while let Ok(n @ 1..) = from.read(&mut buf) {
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
