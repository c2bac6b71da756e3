//! A scripted backend server.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use crate::bench::SOON;

/// A backend server that treats each connection as its script says.
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    pub(crate) requests: mpsc::Receiver<Received>,
}

/// A request as it came.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Received {
    /// Returns a header field.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (field, value) = line.split_once(": ")?;
            field.eq_ignore_ascii_case(name).then_some(value)
        })
    }
}

impl Backend {
    /// Starts a backend server that handles one request for each connection.
    pub(crate) fn start(script: impl Fn(&Received, &mut TcpStream) + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tx, requests) = mpsc::channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                stream.set_read_timeout(Some(SOON)).unwrap();
                if let Some(request) = receive(&mut stream) {
                    let _ = tx.send(request.clone());
                    script(&request, &mut stream);
                }
            }
        });
        Self { address, requests }
    }

    /// Starts a backend server that answers with these bytes and closes the connection.
    pub(crate) fn answering(answer: impl Into<String>) -> Self {
        let answer = answer.into();
        Self::start(move |_, stream| {
            let _ = stream.write_all(answer.as_bytes());
        })
    }

    /// Returns the next request.
    pub(crate) fn request(&self) -> Received {
        self.requests.recv_timeout(SOON).expect("no request at the backend server")
    }

    /// Returns whether no request has come.
    pub(crate) fn is_untouched(&self) -> bool {
        self.requests.recv_timeout(Duration::from_millis(100)).is_err()
    }
}

/// Waits until the peer has closed a connection.
pub(crate) fn wait_closed(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(SOON)).unwrap();
    matches!(stream.read(&mut [0; 64]), Ok(0))
}

/// Reads a request with a known length.
pub(crate) fn receive(stream: &mut TcpStream) -> Option<Received> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        if let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8(bytes[..end].to_vec()).unwrap();
            let received = Received { head, body: String::new() };
            let length = received.field("content-length").map_or(0, |it| it.parse().unwrap());
            if bytes.len() >= end + 4 + length {
                let body = String::from_utf8(bytes[end + 4..].to_vec()).unwrap();
                return Some(Received { body, ..received });
            }
        }
        match stream.read(&mut buf) {
            Ok(n) if n > 0 => bytes.extend_from_slice(&buf[..n]),
            _ => return None,
        }
    }
}

/// A whole answer.
pub(crate) fn whole(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The head of a stream of events.
pub(crate) const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// One chunk.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A stream of these events without its end.
pub(crate) fn events(texts: &[&str]) -> String {
    let chunks: String = texts.iter().map(|it| chunk(&format!("data: {it}\n\n"))).collect();
    format!("{STREAM_HEAD}{chunks}")
}

/// The end of a stream of events.
pub(crate) fn done() -> String {
    format!("{}0\r\n\r\n", chunk("data: [DONE]\n\n"))
}
