//! Measures on one machine how the cost of control grows with the size of the fleet.
//!
//! One real [`control::State`] runs in this process, without sockets; [`harness`] answers for all
//! other instances. Time is that of the reducer's steps, memory is counted by the allocator, bytes
//! are those of the encoded envelopes.

mod events;
mod harness;
mod idle;
mod memory;
mod messages;
mod rpc;
mod site;
mod table;

use std::{error::Error, process::ExitCode};

use site::Size;
use table::Sweep;

/// The size of the aim.
const AIM: Size = Size { accounts: 1_100, servers: 820, daemons: 340 };

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let accounts = [100, 1_000, 10_000].map(|accounts| Size { accounts, ..AIM });
    Sweep::new("accounts", events::all).over(&accounts, |it| it.accounts)?;
    let servers = [82, 820].map(|servers| Size { servers, ..AIM });
    Sweep::new("backend servers", events::all).over(&servers, |it| it.servers)?;
    let daemons = [8, 34, 340].map(|daemons| Size { daemons, ..AIM });
    Sweep::new("daemons", events::all).over(&daemons, |it| it.daemons)?;
    Sweep::new("waiting requests at the entry", events::entry_waiting)
        .over(&[0, 400, 4_000], |it| *it)?;
    Sweep::new("waiting requests at the cell's owner", events::cell_waiting)
        .over(&[0, 400, 4_000], |it| *it)?;
    messages::print()?;
    memory::print()?;
    idle::print(&daemons)?;
    Ok(())
}
