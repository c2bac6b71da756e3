//! Reads of the configuration and the instance list.

use std::{
    io::Write as _,
    net::{SocketAddr, TcpListener},
    sync::mpsc,
    thread,
};

use control::Event;
use daemon::platform;

use crate::{
    backend::receive,
    bench::{Bench, SOON, bench, settings},
};

/// Serves these answers in turn, all on kept-open connections, and reports the request lines.
fn service(answers: Vec<String>) -> (SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, lines) = mpsc::channel();
    thread::spawn(move || {
        let mut answers = answers.into_iter();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            while let Some(request) = receive(&mut stream) {
                let Some(answer) = answers.next() else { return };
                let _ = tx.send(request.head.lines().next().unwrap().to_owned());
                stream.write_all(answer.as_bytes()).unwrap();
                if answer.is_empty() {
                    break;
                }
            }
        }
    });
    (address, lines)
}

fn reading(address: SocketAddr) -> Bench {
    let mut settings = settings();
    settings.platform.config = address;
    settings.platform.instances = address;
    bench(settings, Box::new(|_| vec![]))
}

fn ok(body: &str) -> String {
    crate::backend::whole(body)
}

const UNCHANGED: &str = "HTTP/1.1 304 Not Modified\r\n\r\n";

#[test]
fn the_configuration_is_watched() {
    let answers =
        [ok("{\"version\":7}"), UNCHANGED.to_owned(), String::new(), ok("{\"version\":5}")];
    let (address, lines) = service(answers.to_vec());
    let bench = reading(address);

    bench.cx.pool.detach(platform::read_config(bench.cx.clone()));

    let read = || {
        bench.event(|it| match it {
            Event::ConfigRead { text } => Some(text.to_string()),
            Event::ConfigFailed => Some("failed".to_owned()),
            _ => None,
        })
    };
    assert_eq!(read(), "{\"version\":7}");
    assert_eq!(read(), "failed");
    assert_eq!(read(), "{\"version\":5}");
    let lines: Vec<_> = (0..4).map(|_| lines.recv_timeout(SOON).unwrap()).collect();
    assert_eq!(lines[0], "GET /config HTTP/1.1");
    assert_eq!(lines[1], "GET /config?after=7&wait_ms=100 HTTP/1.1");
    assert_eq!(lines[1..4], vec![lines[1].clone(); 3]);
}

#[test]
fn the_instance_list_is_proved_by_each_read() {
    let list = "{\"version\":3,\"instances\":[]}";
    let answers = [UNCHANGED.to_owned(), ok(list), UNCHANGED.to_owned(), ok("no list")];
    let (address, _lines) = service(answers.to_vec());
    let bench = reading(address);
    let before = bench.cx.clock.now();

    bench.cx.pool.detach(platform::read_instances(bench.cx.clone()));

    let read = || {
        bench.event(|it| match it {
            Event::ListRead { asked_at, list } => Some(Some((asked_at, list.version))),
            Event::ListFailed => Some(None),
            _ => None,
        })
    };
    assert_eq!(read(), None);
    let (first_at, first) = read().unwrap();
    let (second_at, second) = read().unwrap();
    assert_eq!((first, second), (3, 3));
    assert!(before < first_at && first_at < second_at);
    assert_eq!(read(), None);
}

#[test]
fn a_service_that_hangs_or_sends_too_much_fails() {
    let large = ok(&"a".repeat((1 << 20) + 1));
    let hangs = "HTTP/1.1 200 OK\r\n".to_owned();
    let (address, _lines) = service(vec![large, hangs]);
    let bench = reading(address);

    bench.cx.pool.detach(platform::read_config(bench.cx.clone()));

    for _ in 0..2 {
        bench.event(|it| matches!(it, Event::ConfigFailed).then_some(()));
    }
}
