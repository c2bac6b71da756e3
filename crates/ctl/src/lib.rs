//! The operators' command-line tool.
//!
//! * [`Args`] is the command line, [`run`] carries it out,
//! * `document` checks, describes and compares documents,
//! * `admin` reads the admin address of an instance, `status` shows what many of them say.

mod admin;
mod args;
mod document;
mod error;
mod status;
mod table;

use std::io::Write;

pub use args::{Args, Command};
pub use error::Error;

/// What a command has to say about what it looked at.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// Everything is in order.
    Good,
    /// A document is refused, or an instance is not ready.
    Bad,
}

impl Verdict {
    fn good_if(good: bool) -> Self {
        if good { Self::Good } else { Self::Bad }
    }
}

/// Carries out a command and writes its result to `out`.
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
