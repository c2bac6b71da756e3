//! Runs `clementinectl` as a process and checks its output and its exit status.

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

/// An address that refuses connections: port 1 is never assigned to a listener that binds port 0.
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

/// The output and the exit status of a process.
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

/// Writes a file to the directory for temporary files and returns its path.
fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Starts an instance that answers every request with the same response.
fn start_instance(status: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let response = format!(
        "HTTP/1.1 {status}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).unwrap();
            stream.write_all(response.as_bytes()).unwrap();
        }
    });
    address
}

/// Starts an instance that accepts connections and never responds, until the listener is dropped.
fn start_silent_instance() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// The examples that operators copy must stay valid when the checks change.
#[test]
fn check_accepts_the_examples() {
    let config = ctl(&["check", EXAMPLE]);
    let settings = ctl(&["check", "--settings", SETTINGS]);

    assert_eq!((config.status, config.stdout), (Some(0), format!("{EXAMPLE}: ok\n")));
    assert_eq!((settings.status, settings.stdout), (Some(0), format!("{SETTINGS}: ok\n")));
}

/// A check that stops at the first error makes operators correct a document error by error.
#[test]
fn check_prints_every_finding() {
    let text = example().replace("\"tier\": 2", "\"tier\": -2").replacen("\"cali\"", "\"kali\"", 1);

    let outcome = ctl_with_input(&["check", "-"], &text);

    assert_eq!(outcome.status, Some(1));
    let lines: Vec<_> = outcome.stdout.lines().collect();
    assert_eq!(lines[0], "/classes/3/tier: -2 is less than the minimum of 0");
    assert_eq!(lines[1], "/servers/0/zone: no zone has the name \"cali\"");
}

/// With two kinds accepted, the document would be checked as one that the operator did not mean.
#[test]
fn check_rejects_two_kind_flags() {
    let outcome = ctl(&["check", "--settings", "--list", SETTINGS]);

    assert_eq!(outcome.status, Some(2));
}

/// An error without the path does not tell which of several files is missing.
#[test]
fn check_names_a_missing_file() {
    let outcome = ctl(&["check", "no-such-file.json"]);

    assert_eq!(outcome.status, Some(3));
    assert!(outcome.stderr.starts_with("error: cannot read no-such-file.json: "), "{outcome:?}");
}

/// Tools that parse the schema break if the output holds anything else.
#[test]
fn schema_prints_a_json_object_for_each_kind() {
    for kind in ["config", "settings", "instances"] {
        let outcome = ctl(&["schema", kind]);

        let schema: serde_json::Value = serde_json::from_str(&outcome.stdout).unwrap();
        assert_eq!(outcome.status, Some(0));
        assert_eq!(schema["type"], "object", "{kind}");
    }
}

/// A list compared by index would name the wrong element after an insertion.
#[test]
fn diff_prints_changed_fields_by_name() {
    let new = example().replace("\"version\": 1", "\"version\": 2").replacen(
        "\"name\": \"cali\",\n      \"state\": \"in\"",
        "\"name\": \"cali\",\n      \"state\": \"out\"",
        1,
    );
    let new = write_file("diff-new.json", &new);

    let outcome = ctl(&["diff", EXAMPLE, &new]);

    assert_eq!(outcome.status, Some(0), "{outcome:?}");
    assert_eq!(outcome.stdout, "/version: 1 -> 2\n/zones/cali/state: \"in\" -> \"out\"\n");
}

/// Instances ignore a document whose version is not higher than the one in use, so the change would
/// be published without an effect.
#[test]
fn diff_warns_if_the_version_is_not_raised() {
    let new = write_file("diff-stale.json", &example().replace("60.0", "61.0"));

    let outcome = ctl(&["diff", EXAMPLE, &new]);

    assert_eq!(outcome.status, Some(0));
    assert!(outcome.stdout.ends_with("instances ignore the new configuration\n"), "{outcome:?}");
}

/// A diff of an invalid configuration would suggest that instances accept it.
#[test]
fn diff_rejects_an_invalid_configuration() {
    let new = write_file("diff-bad.json", "{}");

    let outcome = ctl(&["diff", EXAMPLE, &new]);

    assert_eq!(outcome.status, Some(1));
    assert!(outcome.stdout.contains(&format!("{new}: /zones: field is missing\n")), "{outcome:?}");
}

/// The line break that editors and `echo` add must not be hashed: callers send the key without it.
#[test]
fn hash_key_leaves_the_line_break_out() {
    let expected = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\n";

    for input in ["secret", "secret\n", "secret\r\n"] {
        assert_eq!(ctl_with_input(&["hash-key"], input).stdout, expected);
    }
    assert_eq!(ctl_with_input(&["hash-key"], "\n").status, Some(3));
}

/// Tools that parse the dump break if the output holds anything else.
#[test]
fn dump_prints_the_state_as_json() {
    let address = start_instance("200 OK", r#"{"instance":"cali-1","ready":true}"#).to_string();

    let outcome = ctl(&["dump", &address, TIMEOUT]);

    assert_eq!(outcome.status, Some(0), "{outcome:?}");
    assert_eq!(outcome.stdout, "{\n  \"instance\": \"cali-1\",\n  \"ready\": true\n}\n");
}

/// A dump that is cut off or missing must not look like the state of an instance.
#[test]
fn dump_fails_on_truncated_json_and_on_an_error_status() {
    let address = start_instance("200 OK", r#"{"instance":"#).to_string();
    let failing = start_instance("503 Service Unavailable", "").to_string();

    let truncated = ctl(&["dump", &address, TIMEOUT]);
    let unavailable = ctl(&["dump", &failing, TIMEOUT]);

    assert_eq!((truncated.status, unavailable.status), (Some(3), Some(3)));
    assert!(truncated.stderr.contains("the response body is not valid JSON"), "{truncated:?}");
    assert!(unavailable.stderr.contains("status 503"), "{unavailable:?}");
}

/// An instance that accepts connections but hangs must not block the command.
#[test]
fn dump_fails_if_an_instance_does_not_respond_in_time() {
    let (_listener, address) = start_silent_instance();

    let outcome = ctl(&["dump", &address.to_string(), "--timeout-ms=100"]);

    assert_eq!(outcome.status, Some(3));
    assert_eq!(
        outcome.stderr,
        format!("error: request to {address} failed: no complete response within 100ms\n")
    );
}

/// An instance that lags behind or rejected a configuration must stand out, and fields that a dump
/// does not have must not shift the columns.
#[test]
fn status_prints_instances_differences_and_problems() {
    let [a, b] = [
        start_instance(
            "200 OK",
            r#"{"instance":"a-1","zone":"a","ready":true,"config_version":7,"list_version":2,
                "peers":[{},{}],"shards":{"x":1},"cells":[],"requests":{"run":2,"total":5}}"#,
        ),
        start_instance(
            "200 OK",
            r#"{"instance":"b-1","zone":"b","ready":true,"config_version":8,
                "config_down":true,"list_down":false,"config_rejected":"/zones: field is missing"}"#,
        ),
    ];

    let outcome = ctl(&["status", TIMEOUT, &a.to_string(), &b.to_string()]);

    assert_eq!(outcome.status, Some(0), "{outcome:?}");
    let lines: Vec<Vec<_>> =
        outcome.stdout.lines().map(|line| line.split_whitespace().collect()).collect();
    let [a, b] = [a, b].map(|address| address.to_string());
    assert_eq!(lines[0][..4], ["ADDRESS", "INSTANCE", "ZONE", "CONFIG"]);
    assert_eq!(lines[1], [&a, "a-1", "a", "7", "2", "2", "1", "0", "5", "ready"]);
    assert_eq!(lines[2], [&b, "b-1", "b", "8", "-", "-", "-", "-", "-", "ready"]);
    let messages: Vec<_> = outcome.stdout.lines().skip(3).collect();
    assert_eq!(
        messages,
        [
            "versions of the configuration differ: 7, 8".to_owned(),
            format!("{b}: cannot read the configuration service"),
            format!("{b}: rejected a configuration:"),
            "/zones: field is missing".to_owned(),
        ]
    );
}

/// An unreachable instance must be shown as a row of the table and not be left out.
#[test]
fn status_prints_an_unreachable_instance_and_fails() {
    let outcome = ctl(&["status", TIMEOUT, CLOSED_ADDRESS]);

    assert_eq!(outcome.status, Some(1));
    assert!(outcome.stdout.contains("cannot connect"), "{outcome:?}");
}

/// A script that acts on the exit status must be able to tell an instance that is not ready (1) from
/// one that cannot be reached (3).
#[test]
fn health_exits_by_readiness_and_reachability() {
    let ready = ctl(&["health", TIMEOUT, &start_instance("200 OK", "ok").to_string()]);
    let starting = ctl(&[
        "health",
        TIMEOUT,
        &start_instance("503 Service Unavailable", "starting").to_string(),
    ]);
    let unreachable = ctl(&["health", TIMEOUT, CLOSED_ADDRESS]);

    assert_eq!((ready.status, ready.stdout.as_str()), (Some(0), "healthy, ready\n"));
    assert_eq!(starting.status, Some(1));
    assert_eq!(unreachable.status, Some(3));
}
