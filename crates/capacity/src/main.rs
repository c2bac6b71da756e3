//! Measures on one machine how the cost of the control thread grows with the size of the fleet.
//!
//! One [`control::State`] runs in this process without sockets; [`harness`] simulates all other
//! instances. Times are those of [`control::State::step`] and [`control::State::next_wake`], memory is
//! counted by the allocator, and bytes are those of encoded envelopes.

mod events;
mod fleet;
mod harness;
mod idle;
mod memory;
mod messages;
mod rpc;
mod table;

use std::{error::Error, process::ExitCode};

use fleet::Size;
use table::Sweep;

/// The size of fleet that the system is designed for.
const DESIGN_SIZE: Size = Size { accounts: 1_100, servers: 820, instances: 340 };

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
    let accounts = [100, 1_000, 10_000].map(|accounts| Size { accounts, ..DESIGN_SIZE });
    Sweep::new("accounts", events::all_events).run(&accounts, |size| size.accounts)?;
    let servers = [82, 820].map(|servers| Size { servers, ..DESIGN_SIZE });
    Sweep::new("backend servers", events::all_events).run(&servers, |size| size.servers)?;
    let instances = [8, 34, 340].map(|instances| Size { instances, ..DESIGN_SIZE });
    Sweep::new("daemons", events::all_events).run(&instances, |size| size.instances)?;
    Sweep::new("waiting requests at the entry", events::request_events_with_waiting)
        .run(&[0, 400, 4_000], |waiting| *waiting)?;
    Sweep::new("waiting requests at the cell's owner", events::cell_events_with_waiting)
        .run(&[0, 400, 4_000], |waiting| *waiting)?;
    messages::print()?;
    memory::print()?;
    idle::print(&instances)?;
    Ok(())
}
