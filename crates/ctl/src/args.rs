//! The command line.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Parser, Subcommand, ValueEnum};

/// Checks what is to be published and shows what instances do.
///
/// Exit status: 0 if all is in order, 1 if a document is refused or an instance is not ready,
/// 2 if the command line is wrong, 3 if a file or an instance cannot be read.
#[derive(Debug, Parser)]
#[command(name = "clementinectl", version)]
pub struct Args {
    /// How long to wait for an instance, in milliseconds.
    #[arg(long, global = true, default_value_t = 3_000)]
    timeout_ms: u64,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

impl Args {
    /// Returns how long to wait for an instance.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a document and print everything that is wrong with it.
    Check {
        /// What the document is.
        #[command(flatten)]
        kind: KindFlags,
        /// The document; `-` is the standard input.
        file: PathBuf,
    },
    /// Print the JSON Schema of a kind of document.
    Schema {
        /// The kind.
        kind: Kind,
    },
    /// Print what a new configuration changes.
    Diff {
        /// The configuration in force.
        old: PathBuf,
        /// The configuration to publish.
        new: PathBuf,
    },
    /// Read a key from the standard input and print the hash to publish.
    HashKey,
    /// Print the state of an instance, JSON.
    Dump {
        /// The admin address of the instance.
        address: SocketAddr,
    },
    /// Print a line for each instance.
    Status {
        /// The admin addresses of the instances.
        #[arg(required = true)]
        addresses: Vec<SocketAddr>,
    },
    /// Print whether an instance is alive and ready for callers.
    Health {
        /// The admin address of the instance.
        address: SocketAddr,
    },
}

/// Which kind of document a file holds; a configuration if no flag is given.
#[derive(Clone, Copy, Debug, clap::Args)]
#[group(multiple = false)]
pub struct KindFlags {
    /// A configuration (the default).
    #[arg(long)]
    config: bool,
    /// The settings of a process.
    #[arg(long)]
    settings: bool,
    /// An instance list.
    #[arg(long)]
    list: bool,
}

impl KindFlags {
    /// Returns the kind.
    pub fn kind(self) -> Kind {
        match self {
            Self { settings: true, .. } => Kind::Settings,
            Self { list: true, .. } => Kind::Instances,
            Self { .. } => Kind::Config,
        }
    }
}

/// A kind of document.
#[derive(Clone, Copy, PartialEq, Eq, Debug, ValueEnum)]
pub enum Kind {
    /// The configuration of a fleet.
    Config,
    /// The settings of a process.
    Settings,
    /// An instance list.
    Instances,
}
