//! The process of the daemon: settings, exit status, signals and log lines.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test")]

use std::{
    env, fs,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{self, Child, Command, Output, Stdio},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// How long tests wait for a response or for the end of a process.
const LIMIT: Duration = Duration::from_secs(20);

/// A settings file, removed when it is dropped.
struct SettingsFile(PathBuf);

impl SettingsFile {
    fn new(test: &str, text: &str) -> Self {
        let path = env::temp_dir().join(format!("clementined-{}-{test}.json", process::id()));
        fs::write(&path, text).unwrap();
        Self(path)
    }

    fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_clementined"));
        command.arg("--settings").arg(&self.0).env_remove("RUST_LOG").stdin(Stdio::null());
        command
    }

    fn run(&self, args: &[&str]) -> Output {
        self.command().args(args).output().unwrap()
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Settings with ports chosen by the operating system and a platform that cannot be reached.
fn settings() -> Value {
    let any = "127.0.0.1:0";
    json!({
        "instance": "d1",
        "zone": "z1",
        "listen": any,
        "peer_listen": any,
        "admin_listen": any,
        "platform": { "config": "127.0.0.1:1", "instances": "127.0.0.1:1" },
        "limits": { "drain_grace_ms": 0 },
    })
}

/// A running daemon, killed when it is dropped.
struct Running {
    child: Child,
    first_line: String,
}

impl Running {
    /// Starts a daemon and waits for its first log line, which contains its addresses.
    fn start(file: &SettingsFile) -> Self {
        let mut child = file.command().stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut first_line = String::new();
        log.read_line(&mut first_line).unwrap();
        // The rest is read and discarded, so that the daemon never blocks on a full pipe.
        thread::spawn(move || log.read_to_string(&mut String::new()));
        Self { child, first_line }
    }

    fn address(&self, field: &str) -> SocketAddr {
        let words = self.first_line.split_whitespace();
        let mut fields = words.filter_map(|word| word.split_once('='));
        fields.find(|(name, _)| *name == field).unwrap().1.parse().unwrap()
    }

    fn get(&self, path: &str) -> String {
        let mut stream = TcpStream::connect(self.address("admin_listen")).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        write!(stream, "GET {path} HTTP/1.1\r\nhost: d1\r\n\r\n").unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Waits until the process ends and returns its exit status, `None` if a signal killed it.
    fn wait(&mut self) -> Option<i32> {
        let end = Instant::now() + LIMIT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the process did not end within {LIMIT:?}")
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An operator who is shown one error at a time would need a start for each.
#[test]
fn invalid_settings_exit_with_status_2_and_report_every_finding() {
    let mut invalid = settings();
    invalid["zone"] = json!(7);
    invalid["colour"] = json!("blue");
    invalid["platform"].as_object_mut().unwrap().remove("config");
    let file = SettingsFile::new("bad", &invalid.to_string());

    let output = file.run(&[]);

    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    for place in ["/zone: ", "/colour: ", "/platform/config: "] {
        assert!(stderr.contains(place), "no finding at {place:?} in:\n{stderr}");
    }
}

/// The status distinguishes settings that cannot be used (2) from a failed start (1).
#[test]
fn unreadable_settings_exit_with_status_2() {
    let file = SettingsFile::new("gone", "{}");
    fs::remove_file(&file.0).unwrap();

    let output = file.run(&[]);

    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8(output.stderr).unwrap().contains("cannot read the settings"));
}

/// The check must not listen at the addresses of the settings: a running process may use them.
#[test]
fn a_check_of_valid_settings_exits_with_status_0_without_starting() {
    let file = SettingsFile::new("check", &settings().to_string());

    let output = file.run(&["--check"]);

    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8(output.stdout).unwrap().contains("settings are valid"));
}

/// An operator must see which of the three addresses is taken.
#[test]
fn an_address_in_use_exits_with_status_1_and_is_reported_with_its_field() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let mut clash = settings();
    clash["peer_listen"] = json!(address);
    let file = SettingsFile::new("clash", &clash.to_string());

    let output = file.run(&[]);

    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains(&address) && stderr.contains("peer_listen"), "{stderr}");
}

/// If the platform is down at the start, the process must wait for it: neither exit nor receive
/// callers.
#[test]
fn without_the_platform_the_process_is_healthy_but_not_ready() {
    let file = SettingsFile::new("alone", &settings().to_string());
    let running = Running::start(&file);

    assert!(running.get("/healthz").starts_with("HTTP/1.1 200"));
    assert!(running.get("/readyz").starts_with("HTTP/1.1 503"));
    let dump = running.get("/dump");
    let (_, body) = dump.split_once("\r\n\r\n").unwrap();
    let dump: Value = serde_json::from_str(body).unwrap();
    assert_eq!(dump["process"]["version"], env!("CARGO_PKG_VERSION"));
    assert_eq!(dump["process"]["requests"], 0);
}

/// A graceful shutdown with another status would look like a crash.
#[test]
fn sigterm_and_sigint_end_the_process_with_status_0() {
    for (name, signal) in [("term", Signal::TERM), ("int", Signal::INT)] {
        let file = SettingsFile::new(name, &settings().to_string());
        let mut running = Running::start(&file);
        running.get("/healthz");

        running.signal(signal);

        assert_eq!(running.wait(), Some(0), "after {signal:?}");
    }
}

/// A value with spaces and line breaks that is logged without quoting could forge fields and lines.
#[test]
fn an_instance_name_with_a_line_break_is_escaped_in_the_log() {
    let mut settings_with_line_break = settings();
    settings_with_line_break["instance"] = json!("d1\nINFO admin=true");
    let file = SettingsFile::new("odd", &settings_with_line_break.to_string());

    let running = Running::start(&file);

    let line = &running.first_line;
    assert!(line.contains(r#"instance="d1\nINFO admin=true""#), "{line}");
    assert!(line.trim_end().ends_with("target=daemon::process"), "{line}");
}
