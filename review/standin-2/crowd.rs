//! A burst of callers on kept connections. The platform kills a process that exceeds its memory.

#[path = "common.rs"]
mod common;

use std::{
    io::{BufReader, Write},
    net::TcpStream,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc, Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use common::*;

const MEMORY_MB: u64 = 110;
/// The mean size of a body over the three kinds of generation on the sheet.
const BODY_BYTES: usize = 10_500;
/// A head has some 500 bytes beside it; the operator allows 16,384.
const COOKIE_BYTES: usize = 8_000;
/// Kept connections of callers: fewer than the program accepts.
const CALLERS: usize = 2_300;
const RUNNERS: usize = 12;
/// Requests a second, as on the sheet, and in the burst.
const USUAL_RATE: f64 = 129.0;
const BURST: f64 = 2.4;
const BURST_TIME: Duration = Duration::from_secs(9);
/// Each stream has 9 events.
const EVENTS: u32 = 9;
const EVENT_PAUSE: Duration = Duration::from_millis(890);

#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    passed_on: AtomicUsize,
    answered: AtomicUsize,
    refused: AtomicUsize,
    /// Ended without a complete answer, at the first request of a connection and at later ones.
    cut_first: AtomicUsize,
    cut_later: AtomicUsize,
}

fn add(count: &AtomicUsize) {
    count.fetch_add(1, Ordering::SeqCst);
}

/// Sends a request whenever it is told to, on one kept connection.
fn call(
    edge: std::net::SocketAddrV4,
    orders: &mpsc::Receiver<()>,
    free: &mpsc::Sender<usize>,
    no: usize,
    counts: &Counts,
    rec: &Record,
) {
    let mut is_first = true;
    // The connection is opened for the first request.
    let mut connection = None;
    while orders.recv().is_ok() {
        if connection.is_none() {
            let Ok(stream) = TcpStream::connect(edge) else { return };
            let _ = stream.set_read_timeout(Some(ms(13_000)));
            let Ok(input) = stream.try_clone() else { return };
            connection = Some((stream, BufReader::new(input)));
        }
        let Some((stream, reader)) = &mut connection else { return };
        let id = new_id();
        let more = format!(
            "Cookie: {}\r\nX-Clementinehall-Model: m\r\n\
             X-Clementinehall-Token-Counts: 2890,54\r\n\
             X-Clementinehall-Prefix-Hash: 5c1e07a2:630,{no:x}b7d:543\r\n",
            "c".repeat(COOKIE_BYTES)
        );
        let text = request("POST", "/aviso/2f", &id, 12_000, &more, &"p".repeat(BODY_BYTES));
        add(&counts.sent);
        rec.line(&format!("client sends {id}"));
        let answer = stream.write_all(text.as_bytes()).and_then(|()| read_response(reader));
        match answer {
            Ok(Some(it)) if it.status() == 200 => {
                add(&counts.answered);
                rec.line(&format!("{id} is answered 200"));
            }
            Ok(Some(it)) => {
                rec.line(&format!("{id} is answered {}", it.status()));
                add(&counts.refused);
            }
            other => {
                let count = if is_first { &counts.cut_first } else { &counts.cut_later };
                add(count);
                rec.line(&format!("{id} gets no complete answer: {:?}", other.map(|_| "closed")));
                return;
            }
        }
        is_first = false;
        let _ = free.send(no);
    }
}

fn main() {
    let rec = Record::create();
    let folder = Folder::create();
    let counts = Arc::new(Counts::default());
    let store = Store::default();
    store.put(
        "op/config",
        &format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"aviso\",\"host\":\"{HOST}\",\"prefix\":\"/aviso/\",\
             \"routeKind\":\"streaming\",\"timeoutMs\":12000,\"sloMs\":1200,\"priority\":2,\
             \"service\":\"modelo\",\"maxAttempts\":1,\"public\":false,\"sticky\":true,\
             \"resumable\":false,\"gapTargetMs\":1000}}],\"services\":[{{\"name\":\"modelo\",\
             \"healthPath\":\"/healthz\",\"maxConns\":620,\"protocol\":\"h1\",\"tls\":false,\
             \"coldStartS\":3.0,\"coldPerS\":20.0,\"engine\":{{\"slots\":128,\"kvCapacity\":362178,\
             \"kvBytes\":18432,\"linkMbps\":370000.0,\"moves\":true,\"backups\":true,\"stride\":6,\
             \"most\":12,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
        ),
    );
    let mut runners = Vec::new();
    for no in 0..RUNNERS {
        let (id, counts, rec) = (format!("i-{no}"), Arc::clone(&counts), rec.clone());
        let runner = Runner::start(machine_ip(200), &id, move |req, stream| {
            add(&counts.passed_on);
            rec.line(&format!("{} reaches a server", req.id()));
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Clementinehall-Request-Id: {}\r\n\
                 X-Clementinehall-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                req.id()
            );
            stream.write_all(head.as_bytes())?;
            for event in 1..=EVENTS {
                let event = format!("id: {event}\ndata: piece\n\n");
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                thread::sleep(EVENT_PAUSE);
            }
            stream.write_all(b"0\r\n\r\n")?;
            Ok(true)
        });
        store.put(&format!("servers/{id}"), &runner.entry("modelo", "zona-norte", 128, 0, 1));
        runners.push(runner);
    }
    let (store_address, _) = store.serve_at(machine_ip(100));
    let mut edge = Edge::new(&folder, 1);
    edge.write_settings("zona-norte", store_address, &[edge.control], MEMORY_MB as u32);
    edge.start();
    edge.wait_ready(Duration::from_secs(10));
    thread::sleep(LEAD);
    rec.tell(&format!("ready, {} KiB", edge.memory_kib("VmRSS")));
    let front = edge.front;

    // The platform: it kills the process when that exceeds its memory.
    let edge = Arc::new(Mutex::new(edge));
    let (is_over, killed_at) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(None)));
    let most = Arc::new(AtomicUsize::new(0));
    let platform = {
        let (edge, is_over, most) = (Arc::clone(&edge), Arc::clone(&is_over), Arc::clone(&most));
        let (killed_at, rec) = (Arc::clone(&killed_at), rec.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let mut edge = edge.lock().unwrap();
                let kib = edge.memory_kib("VmRSS");
                most.fetch_max(kib as usize, Ordering::SeqCst);
                if let Some(status) = edge.ended() {
                    rec.line(&format!("the process has ended by itself: {status}"));
                    return;
                }
                if kib > MEMORY_MB << 10 {
                    rec.line(&format!("the platform kills the process: {kib} KiB"));
                    edge.kill();
                    *killed_at.lock().unwrap() = Some(kib);
                    return;
                }
                drop(edge);
                thread::sleep(ms(10));
            }
        })
    };

    let (free_tx, free) = mpsc::channel();
    let mut orders = Vec::new();
    for no in 0..CALLERS {
        let (tx, rx) = mpsc::channel();
        let (free, counts, rec) = (free_tx.clone(), Arc::clone(&counts), rec.clone());
        let work = move || call(front, &rx, &free, no, &counts, &rec);
        let spawned = thread::Builder::new().stack_size(96 << 10).spawn(work);
        if spawned.is_err() {
            cannot_run("no more threads");
        }
        orders.push(tx);
        let _ = free_tx.send(no);
        thread::sleep(ms(1));
    }
    // The callers take turns: first each makes its first request, at the usual rate.
    let play = |rate: f64, time: Duration, what: &str| {
        let start = Instant::now();
        let mut made = 0.0;
        while start.elapsed() < time {
            made += 1.0;
            match free.recv_timeout(ms(50)) {
                Ok(no) => drop(orders[no].send(())),
                Err(_) => {}
            }
            let due = Duration::from_secs_f64(made / rate);
            thread::sleep(due.saturating_sub(start.elapsed()));
        }
        rec.tell(&format!("{what}: {} KiB at most so far", most.load(Ordering::SeqCst)));
    };
    play(USUAL_RATE, Duration::from_secs(19), "usual traffic");
    play(if has_trouble() { USUAL_RATE * BURST } else { USUAL_RATE }, BURST_TIME, "second part");
    thread::sleep(Duration::from_secs(9));
    is_over.store(true, Ordering::SeqCst);
    let _ = platform.join();
    edge.lock().unwrap().kill();
    thread::sleep(ms(200));
    let get = |count: &AtomicUsize| count.load(Ordering::SeqCst);
    let killed = *killed_at.lock().unwrap();
    // The last kill ends idle connections, not requests.
    let cut = get(&counts.cut_later);
    // Those that were passed on, less all that may have been the first of their connection.
    let lost = get(&counts.passed_on)
        .saturating_sub(get(&counts.answered))
        .saturating_sub(get(&counts.cut_first));
    rec.tell(&format!(
        "sent {}, passed on {}, answered {}, refused {}, without an answer {} (on a kept connection {cut}, \
         of which {lost} at least were passed on); most memory {} KiB of {} KiB, killed for it: {killed:?}",
        get(&counts.sent), get(&counts.passed_on), get(&counts.answered), get(&counts.refused),
        get(&counts.cut_first) + cut, get(&most), MEMORY_MB << 10
    ));
    exit(if killed.is_some() && lost > 3 {
        1
    } else if get(&counts.answered) == 0 {
        2
    } else {
        0
    });
}
