//! Log lines: time, level, message and fields, one record a line.
//!
//! [`to_stdout`] never blocks its callers and bounds what waits to be written; [`to_stderr`]
//! writes at once.

mod bounded;
mod line;

use std::{panic, thread};

use env_logger::{Builder, Env, Target};
use log::SetLoggerError;

pub use bounded::{BoundedWriter, Drain};

/// What is logged unless the environment variable `RUST_LOG` says otherwise.
const DEFAULT_FILTER: &str = "info";

/// Starts to log to standard error, with the instance's name in each line. Panics are logged, too.
pub fn to_stderr(instance: &str) -> Result<(), SetLoggerError> {
    init(instance, Target::Stderr)
}

/// Starts to log to standard output from a thread of its own, with the instance's name in each
/// line. Panics are logged, too. The returned [`Drain`] waits for the last lines.
pub fn to_stdout(instance: &str) -> Result<Drain, SetLoggerError> {
    let (writer, drain) = BoundedWriter::start(std::io::stdout());
    init(instance, Target::Pipe(Box::new(writer)))?;
    Ok(drain)
}

fn init(instance: &str, target: Target) -> Result<(), SetLoggerError> {
    let instance = instance.to_owned();
    Builder::from_env(Env::default().default_filter_or(DEFAULT_FILTER))
        .format(move |buf, record| line::write(buf, &instance, record))
        .target(target)
        .try_init()?;
    panic::set_hook(Box::new(|info| {
        let thread = thread::current();
        let thread = thread.name().unwrap_or("unnamed");
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        let message = info.payload_as_str().unwrap_or("no message");
        log::error!(thread, place, message; "panic");
    }));
    Ok(())
}
