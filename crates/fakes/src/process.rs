//! The process of a daemon.

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

/// Environment variable that overrides the path of the daemon's binary.
const PROGRAM_VARIABLE: &str = "CLEMENTINED";
const PROGRAM: &str = "clementined";
const POLL: Duration = Duration::from_millis(5);
const LOG_TAIL_LINES: usize = 40;
const KIB: u64 = 1024;

/// The process of a daemon; killed on drop.
pub struct Process {
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Returns a process that is not started yet. `settings` is its settings file; stdout and
    /// stderr are appended to the file `log`.
    pub fn new(settings: impl Into<PathBuf>, log: impl Into<PathBuf>) -> Self {
        Self { settings: settings.into(), log: log.into(), child: None }
    }

    /// Starts the process, after killing the one that is running.
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

    /// Returns the process id; `None` if it was not started or its end was seen.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process with SIGKILL and waits for its end; does nothing if there is none.
    pub fn kill(&mut self) -> io::Result<()> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Asks the process to shut down gracefully, with SIGTERM.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Suspends the process, with SIGSTOP, until [`Process::resume`].
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits up to `limit` for the process to exit by itself; `None` if it has not, or was not
    /// running.
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

    /// Returns the resident memory of the process in bytes; `None` if it can't be read.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
        let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kib * KIB)
    }

    /// Returns the last lines of the log, 40 at most.
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

/// Finds the daemon's binary in the directory of this binary or its parent: test binaries are one
/// directory below the others.
fn program() -> Result<PathBuf, FleetError> {
    if let Some(path) = std::env::var_os(PROGRAM_VARIABLE) {
        return Ok(path.into());
    }
    let own = std::env::current_exe()?;
    let candidates = own.ancestors().skip(1).take(2).map(|dir: &Path| dir.join(PROGRAM));
    let mut last = PathBuf::from(PROGRAM);
    for path in candidates {
        if path.is_file() {
            return Ok(path);
        }
        last = path;
    }
    Err(FleetError::NoProgram(last))
}
