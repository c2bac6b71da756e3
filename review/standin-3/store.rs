//! The platform's store.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::http::{Message, read_request};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Items in a page.
const PAGE_ITEMS: usize = 500;

/// The store, with its content and its history.
#[derive(Clone)]
pub(crate) struct Store {
    pub(crate) address: SocketAddr,
    content: Arc<Mutex<Content>>,
    is_away: Arc<AtomicBool>,
}

#[derive(Clone, Default)]
struct Content {
    revision: u64,
    era: u64,
    /// Values in base64, with the revisions of their creation and last change.
    items: BTreeMap<String, (String, u64, u64)>,
    /// All changes: revision, key and the value unless it was deleted.
    history: Vec<(u64, String, Option<(String, u64)>)>,
    /// Changes up to this revision are not available.
    forgotten: u64,
}

/// A copy of the content, from which the store can come back.
pub(crate) struct Copy(Content);

impl Store {
    pub(crate) fn start(ip: &str) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|err| format!("store: {err}"))?;
        let address = listener.local_addr().map_err(|err| err.to_string())?;
        let store = Self { address, content: Arc::default(), is_away: Arc::default() };
        // The counter starts above 0.
        store.content.lock().unwrap().revision = 100;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(&stream));
            }
        });
        Ok(store)
    }

    /// Writes an item.
    pub(crate) fn put(&self, key: &str, json: &str) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        let (revision, value) = (content.revision, base64(json.as_bytes()));
        let created = content.items.get(key).map_or(revision, |it| it.1);
        content.items.insert(key.to_owned(), (value.clone(), created, revision));
        content.history.push((revision, key.to_owned(), Some((value, created))));
    }

    /// Deletes an item.
    pub(crate) fn delete(&self, key: &str) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content.items.remove(key);
        content.history.push((revision, key.to_owned(), None));
    }

    /// Forgets all history.
    pub(crate) fn compact(&self) {
        let mut content = self.content.lock().unwrap();
        content.forgotten = content.revision;
        content.history.clear();
    }

    /// Returns a copy of the content.
    pub(crate) fn copy(&self) -> Copy {
        Copy(self.content.lock().unwrap().clone())
    }

    /// Is away for a moment and comes back from a copy, in the next era.
    pub(crate) fn drill(&self, copy: Copy, away: Duration) {
        self.is_away.store(true, Ordering::SeqCst);
        thread::sleep(away);
        {
            let mut content = self.content.lock().unwrap();
            let era = content.era + 1;
            *content = Content { era, ..copy.0 };
        }
        self.is_away.store(false, Ordering::SeqCst);
    }

    fn serve(&self, stream: &TcpStream) {
        let Ok(reader) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(reader), stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.is_away.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(ANSWER_TIME);
            let (status, body, era) = self.answer(&request);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String, u64) {
        let content = self.content.lock().unwrap();
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.filter(|it| it.0 == name).map(|it| it.1.to_owned()).next().unwrap_or_default()
        };
        let (prefix, after) = (parameter("prefix"), parameter("after"));
        let (status, body) = match path {
            "/clementinehall/kv-range" => (200, content.page(&prefix, &after)),
            "/clementinehall/kv-watch" => content.changes(&prefix, after.parse().unwrap_or(0)),
            _ => (404, "{}".to_owned()),
        };
        (status, body, content.era)
    }
}

impl Content {
    fn page(&self, prefix: &str, after: &str) -> String {
        let matching = self.items.iter().filter(|it| it.0.starts_with(prefix) && **it.0 > *after);
        let all: Vec<_> = matching.collect();
        let items = all.iter().take(PAGE_ITEMS).map(|(key, (value, created, revision))| {
            item(key, *revision, Some((value.as_str(), *created)))
        });
        let items: Vec<_> = items.collect();
        let has_more = all.len() > PAGE_ITEMS;
        format!(r#"{{"items":[{}],"hasMore":{has_more},"at":{}}}"#, items.join(","), self.revision)
    }

    fn changes(&self, prefix: &str, after: u64) -> (u16, String) {
        if after < self.forgotten || after > self.revision {
            return (410, "{}".to_owned());
        }
        let recent = self.history.iter().filter(|it| it.0 > after && it.1.starts_with(prefix));
        let events = recent.map(|(revision, key, value)| {
            item(key, *revision, value.as_ref().map(|it| (it.0.as_str(), it.1)))
        });
        let events: Vec<_> = events.collect();
        (200, format!(r#"{{"events":[{}],"at":{}}}"#, events.join(","), self.revision))
    }
}

fn item(key: &str, revision: u64, value: Option<(&str, u64)>) -> String {
    match value {
        Some((value, created)) => format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for no in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * no)) as usize & 63];
            text.push(if no <= part.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
