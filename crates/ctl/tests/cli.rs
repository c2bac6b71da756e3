//! The tool as a process: what it prints and how it exits.

#![allow(clippy::unwrap_used)]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Command, Output, Stdio},
    thread,
};

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");
const SETTINGS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/settings.json");
const TIMEOUT: &str = "--timeout-ms=2000";

/// An address that nobody listens at: its port is not handed out to listeners that ask for any.
const CLOSED: &str = "127.0.0.1:1";

/// What a process printed and how it exited.
#[derive(Debug)]
struct Outcome {
    status: Option<i32>,
    stdout: String,
    stderr: String,
}

impl From<Output> for Outcome {
    fn from(output: Output) -> Self {
        Self {
            status: output.status.code(),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

fn ctl(args: &[&str]) -> Outcome {
    ctl_with_input(args, "")
}

fn ctl_with_input(args: &[&str], input: &str) -> Outcome {
    let mut child = Command::new(env!("CARGO_BIN_EXE_clementinectl"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap().into()
}

fn example() -> String {
    std::fs::read_to_string(EXAMPLE).unwrap()
}

/// Writes a file that the tool is to read.
fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

/// An instance that gives each caller the same answer.
fn instance(status: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = format!(
        "HTTP/1.1 {status}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).unwrap();
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    address
}

/// An instance that accepts connections and never answers.
fn silent_instance() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

#[test]
fn check_accepts_the_examples() {
    let config = ctl(&["check", EXAMPLE]);
    let settings = ctl(&["check", "--settings", SETTINGS]);

    assert_eq!((config.status, config.stdout), (Some(0), format!("{EXAMPLE}: ok\n")));
    assert_eq!((settings.status, settings.stdout), (Some(0), format!("{SETTINGS}: ok\n")));
}

#[test]
fn check_prints_every_finding() {
    let text = example().replace("\"tier\": 2", "\"tier\": -2").replacen("\"cali\"", "\"kali\"", 1);

    let outcome = ctl_with_input(&["check", "-"], &text);

    assert_eq!(outcome.status, Some(1));
    let lines: Vec<_> = outcome.stdout.lines().collect();
    assert_eq!(lines[0], "/classes/3/tier: -2 is less than the minimum of 0");
    assert_eq!(lines[1], "/servers/0/zone: no zone has the name \"cali\"");
}

#[test]
fn check_takes_one_kind_only() {
    let outcome = ctl(&["check", "--settings", "--list", SETTINGS]);

    assert_eq!(outcome.status, Some(2));
}

#[test]
fn a_missing_file_is_named() {
    let outcome = ctl(&["check", "no-such-file.json"]);

    assert_eq!(outcome.status, Some(3));
    assert!(outcome.stderr.starts_with("error: cannot read no-such-file.json: "), "{outcome:?}");
}

#[test]
fn schemas_are_json() {
    for kind in ["config", "settings", "instances"] {
        let outcome = ctl(&["schema", kind]);

        let schema: serde_json::Value = serde_json::from_str(&outcome.stdout).unwrap();
        assert_eq!(outcome.status, Some(0));
        assert_eq!(schema["type"], "object", "{kind}");
    }
}

#[test]
fn diff_names_what_changes() {
    let new = example().replace("\"version\": 1", "\"version\": 2").replacen(
        "\"name\": \"cali\",\n      \"state\": \"in\"",
        "\"name\": \"cali\",\n      \"state\": \"out\"",
        1,
    );
    let new = file("diff-new.json", &new);

    let outcome = ctl(&["diff", EXAMPLE, &new]);

    assert_eq!(outcome.status, Some(0), "{outcome:?}");
    assert_eq!(outcome.stdout, "/version: 1 -> 2\n/zones/cali/state: \"in\" -> \"out\"\n");
}

#[test]
fn diff_warns_of_a_version_that_is_not_raised() {
    let new = file("diff-stale.json", &example().replace("60.0", "61.0"));

    let outcome = ctl(&["diff", EXAMPLE, &new]);

    assert_eq!(outcome.status, Some(0));
    assert!(outcome.stdout.ends_with("no instance will take the change\n"), "{outcome:?}");
}

#[test]
fn diff_refuses_what_the_check_refuses() {
    let new = file("diff-bad.json", "{}");

    let outcome = ctl(&["diff", EXAMPLE, &new]);

    assert_eq!(outcome.status, Some(1));
    assert!(outcome.stdout.contains(&format!("{new}: /zones: field is missing\n")), "{outcome:?}");
}

#[test]
fn hash_key_prints_the_hash_of_the_key_alone() {
    let expected = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\n";

    for input in ["secret", "secret\n", "secret\r\n"] {
        assert_eq!(ctl_with_input(&["hash-key"], input).stdout, expected);
    }
    assert_eq!(ctl_with_input(&["hash-key"], "\n").status, Some(3));
}

#[test]
fn dump_prints_the_state() {
    let address = instance("200 OK", r#"{"instance":"cali-1","ready":true}"#).to_string();

    let outcome = ctl(&["dump", &address, TIMEOUT]);

    assert_eq!(outcome.status, Some(0), "{outcome:?}");
    assert_eq!(outcome.stdout, "{\n  \"instance\": \"cali-1\",\n  \"ready\": true\n}\n");
}

#[test]
fn a_broken_dump_is_an_error() {
    let address = instance("200 OK", r#"{"instance":"#).to_string();
    let refusing = instance("503 Service Unavailable", "").to_string();

    let broken = ctl(&["dump", &address, TIMEOUT]);
    let refused = ctl(&["dump", &refusing, TIMEOUT]);

    assert_eq!((broken.status, refused.status), (Some(3), Some(3)));
    assert!(broken.stderr.contains("the answer is not JSON"), "{broken:?}");
    assert!(refused.stderr.contains("status 503"), "{refused:?}");
}

#[test]
fn an_instance_that_never_answers_is_given_up() {
    let (_listener, address) = silent_instance();

    let outcome = ctl(&["dump", &address.to_string(), "--timeout-ms=100"]);

    assert_eq!(outcome.status, Some(3));
    assert_eq!(outcome.stderr, format!("error: cannot ask {address}: no answer within 100ms\n"));
}

#[test]
fn status_shows_the_fleet_and_what_differs() {
    let [a, b] = [
        instance(
            "200 OK",
            r#"{"instance":"a-1","zone":"a","ready":true,"config_version":7,"list_version":2,
                "peers":[{},{}],"shards":{"x":1},"cells":[],"requests":{"run":2,"total":5}}"#,
        ),
        instance(
            "200 OK",
            r#"{"instance":"b-1","zone":"b","ready":true,"config_version":8,
                "config_down":true,"list_down":false,"config_rejected":"/zones: field is missing"}"#,
        ),
    ];

    let outcome = ctl(&["status", TIMEOUT, &a.to_string(), &b.to_string()]);

    assert_eq!(outcome.status, Some(0), "{outcome:?}");
    let lines: Vec<Vec<_>> =
        outcome.stdout.lines().map(|it| it.split_whitespace().collect()).collect();
    let [a, b] = [a, b].map(|it| it.to_string());
    assert_eq!(lines[0][..4], ["ADDRESS", "INSTANCE", "ZONE", "CONFIG"]);
    assert_eq!(lines[1], [&a, "a-1", "a", "7", "2", "2", "1", "0", "5", "ready"]);
    assert_eq!(lines[2], [&b, "b-1", "b", "8", "-", "-", "-", "-", "-", "ready"]);
    let notes: Vec<_> = outcome.stdout.lines().skip(3).collect();
    assert_eq!(
        notes,
        [
            "versions of the configuration differ: 7, 8".to_owned(),
            format!("{b}: cannot read the configuration service"),
            format!("{b}: refused a configuration:"),
            "/zones: field is missing".to_owned(),
        ]
    );
}

#[test]
fn status_shows_instances_that_cannot_be_reached() {
    let outcome = ctl(&["status", TIMEOUT, CLOSED]);

    assert_eq!(outcome.status, Some(1));
    assert!(outcome.stdout.contains("no connection"), "{outcome:?}");
}

#[test]
fn health_tells_ready_from_not_ready() {
    let ready = ctl(&["health", TIMEOUT, &instance("200 OK", "ok").to_string()]);
    let starting =
        ctl(&["health", TIMEOUT, &instance("503 Service Unavailable", "starting").to_string()]);
    let gone = ctl(&["health", TIMEOUT, CLOSED]);

    assert_eq!((ready.status, ready.stdout.as_str()), (Some(0), "healthy, ready\n"));
    assert_eq!(starting.status, Some(1));
    assert_eq!(gone.status, Some(3));
}
