//! Command-line arguments.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Parser, Subcommand, ValueEnum};

/// Checks documents before they are published and shows the state of instances.
///
/// Exit status: 0 on success; 1 if a document has errors or an instance is not ready (for `status`
/// also if an instance cannot be queried); 2 if the command line is invalid; 3 on any other error,
/// such as a file that cannot be read or an instance that cannot be queried.
#[derive(Debug, Parser)]
#[command(name = "clementinectl", version)]
pub struct Args {
    /// Timeout of each request to an instance, in milliseconds.
    #[arg(long, global = true, default_value_t = 3_000)]
    timeout_ms: u64,
    /// What to do, and with which documents or instances.
    #[command(subcommand)]
    pub command: Command,
}

impl Args {
    /// Returns the timeout of each request to an instance.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// A subcommand with its arguments.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a document and print its errors and warnings.
    Check {
        /// The kind of document.
        #[command(flatten)]
        kind: KindFlags,
        /// The file with the document; `-` reads standard input.
        file: PathBuf,
    },
    /// Print the JSON Schema for a kind of document.
    Schema {
        /// The kind of document.
        kind: Kind,
    },
    /// Print the differences between two configurations.
    Diff {
        /// The file with the current configuration; `-` reads standard input.
        old: PathBuf,
        /// The file with the new configuration; `-` reads standard input.
        new: PathBuf,
    },
    /// Read an API key from standard input and print its hash for the configuration.
    HashKey,
    /// Print the state of an instance as JSON.
    Dump {
        /// The admin address of the instance.
        address: SocketAddr,
    },
    /// Print a table of instances, followed by version differences and problems.
    Status {
        /// The admin addresses of the instances.
        #[arg(required = true)]
        addresses: Vec<SocketAddr>,
    },
    /// Print whether an instance is healthy and ready to serve callers.
    Health {
        /// The admin address of the instance.
        address: SocketAddr,
    },
}

/// Flags for the kind of document in a file; without one it is a configuration.
#[derive(Clone, Copy, Debug, clap::Args)]
#[group(multiple = false)]
pub struct KindFlags {
    /// A configuration (the default).
    #[arg(long)]
    config: bool,
    /// The settings of a process.
    #[arg(long)]
    settings: bool,
    /// The instance list that the platform publishes.
    #[arg(long)]
    list: bool,
}

impl KindFlags {
    /// Returns the kind of document that the flags select.
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
    /// The instance list that the platform publishes.
    Instances,
}
