//! The operators' command-line tool.
//!
//! * [`Args`] is the command line, [`run`] executes it,
//! * `document` has the commands on documents: the configuration, settings and the instance list,
//! * `status` has the commands on running instances, which `admin` queries over HTTP.

mod admin;
mod args;
mod document;
mod error;
mod status;
mod table;

use std::io::Write;

pub use args::{Args, Command};
pub use error::Error;

/// The result of a command that ran to its end.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// No problem was found.
    Pass,
    /// A document has errors, or an instance is not ready.
    Fail,
}

impl Verdict {
    fn pass_if(passed: bool) -> Self {
        if passed { Self::Pass } else { Self::Fail }
    }
}

/// Executes a command and writes its output to `out`.
pub fn run(args: &Args, out: &mut impl Write) -> Result<Verdict, Error> {
    let timeout = args.timeout();
    match &args.command {
        Command::Check { kind, file } => document::check(kind.kind(), file, out),
        Command::Schema { kind } => document::schema(*kind, out),
        Command::Diff { old, new } => document::diff(old, new, out),
        Command::HashKey => document::hash_key(out),
        Command::Dump { address } => status::dump(*address, timeout, out),
        Command::Status { addresses } => status::status(addresses, timeout, out),
        Command::Health { address } => status::health(*address, timeout, out),
    }
}
