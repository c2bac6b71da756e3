//! A daemon's process.

use std::{
    fs::{self, File, OpenOptions},
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

use crate::FleetError;

/// Overrides the path of the daemon's program.
const PROGRAM_VARIABLE: &str = "CLEMENTINED";
const PROGRAM: &str = "clementined";
const POLL: Duration = Duration::from_millis(5);
const LOG_TAIL_LINES: usize = 40;
const KIB: u64 = 1024;

/// A daemon's process, killed when it is dropped.
pub struct Process {
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Prepares a process with this settings file; its log goes to `log`.
    pub fn new(settings: impl Into<PathBuf>, log: impl Into<PathBuf>) -> Self {
        Self { settings: settings.into(), log: log.into(), child: None }
    }

    /// Starts the process; one that runs is killed before.
    pub fn start(&mut self) -> Result<(), FleetError> {
        self.kill()?;
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(program()?)
            .arg("--settings")
            .arg(&self.settings)
            .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or_else(|_| "info".to_owned()))
            .stdin(Stdio::null())
            .stdout(File::try_clone(&log)?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the process id while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) -> io::Result<()> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Asks the process to shut down.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Stops the process until [`Process::resume`].
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a paused process go on.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits for the process to end by itself; none if it still runs then.
    pub fn wait(&mut self, limit: Duration) -> io::Result<Option<ExitStatus>> {
        let end = Instant::now() + limit;
        let Some(child) = &mut self.child else { return Ok(None) };
        loop {
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(Some(status));
            }
            if Instant::now() >= end {
                return Ok(None);
            }
            thread::sleep(POLL);
        }
    }

    /// Returns the bytes of memory that the process occupies.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
        let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kib * KIB)
    }

    /// Returns the last lines of the log.
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = self.id().and_then(|it| Pid::from_raw(i32::try_from(it).ok()?));
        let Some(pid) = pid else { return Err(io::ErrorKind::NotFound.into()) };
        Ok(kill_process(pid, signal)?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

/// Finds the daemon's program beside this program, or one directory up, where tests lie.
fn program() -> Result<PathBuf, FleetError> {
    if let Some(path) = std::env::var_os(PROGRAM_VARIABLE) {
        return Ok(path.into());
    }
    let own = std::env::current_exe()?;
    let places = own.ancestors().skip(1).take(2).map(|it: &Path| it.join(PROGRAM));
    let mut last = PathBuf::from(PROGRAM);
    for place in places {
        if place.is_file() {
            return Ok(place);
        }
        last = place;
    }
    Err(FleetError::NoProgram(last))
}
