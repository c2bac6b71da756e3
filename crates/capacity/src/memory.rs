//! Bytes of state for each entry.

use std::{alloc::System, error::Error, time::Instant};

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

use crate::{
    AIM,
    harness::Harness,
    site::{KEYED, Size},
};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Requests that wait at the entry.
const WAITING: usize = 2_000;

/// Prints the bytes of state, and by how much they grow for each entry.
pub(crate) fn print() -> Result<(), Box<dyn Error>> {
    println!("\nbytes of the control state, configuration included");
    let aim = started(AIM)?;
    println!("  {:<34}{aim:>10.0}", "whole, at the size of the aim");
    let fewer = Size { accounts: 100, ..AIM };
    slope("each client account, with a key", aim - started(fewer)?, AIM.accounts - 100);
    let fewer = Size { servers: 82, ..AIM };
    slope("each backend server", aim - started(fewer)?, AIM.servers - 82);
    let fewer = Size { daemons: 34, ..AIM };
    slope("each daemon", aim - started(fewer)?, AIM.daemons - 34);
    let mut on = Harness::start(AIM)?;
    let region = Region::new(ALLOCATOR);
    for i in 0..WAITING {
        on.arrive_and_wait(i % KEYED);
    }
    slope("each request that waits", held(&region), WAITING);
    print_dump(&on);
    Ok(())
}

fn print_dump(on: &Harness) {
    let start = Instant::now();
    let text = on.state.dump(on.now).to_string();
    let millis = start.elapsed().as_secs_f64() * 1e3;
    println!("\na dump with {WAITING} waiting requests: {} bytes, {millis:.2} ms", text.len());
}

fn slope(name: &str, bytes: f64, entries: usize) {
    println!("  {name:<34}{:>10.0}", bytes / entries as f64);
}

/// Returns the bytes of the control state after the warm-up.
fn started(size: Size) -> Result<f64, Box<dyn Error>> {
    let Harness { state, text, .. } = Harness::start(size)?;
    // The state shares the document with the harness; it is counted with the state.
    drop(text);
    let region = Region::new(ALLOCATOR);
    drop(state);
    Ok(-held(&region))
}

fn held(region: &Region<'_, System>) -> f64 {
    let stats = region.change();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}
