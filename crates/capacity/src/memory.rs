//! Measures the memory of the control state and its growth for each entry.

use std::{alloc::System, error::Error, time::Instant};

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

use crate::{
    DESIGN_SIZE,
    fleet::{ACCOUNTS_WITH_KEY, Size},
    harness::Harness,
};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Requests that wait at the measured instance for a grant.
const WAITING_REQUESTS: usize = 2_000;

/// Prints the size of the control state, its growth for each account, server, instance and waiting
/// request, and the size of a dump.
pub(crate) fn print() -> Result<(), Box<dyn Error>> {
    println!("\nbytes of the control state, configuration included");
    let design = state_bytes(DESIGN_SIZE)?;
    println!("  {:<34}{design:>10.0}", "whole, at the size of the aim");
    let fewer = Size { accounts: 100, ..DESIGN_SIZE };
    print_per_entry(
        "each client account, with a key",
        design - state_bytes(fewer)?,
        DESIGN_SIZE.accounts - 100,
    );
    let fewer = Size { servers: 82, ..DESIGN_SIZE };
    print_per_entry("each backend server", design - state_bytes(fewer)?, DESIGN_SIZE.servers - 82);
    let fewer = Size { instances: 34, ..DESIGN_SIZE };
    print_per_entry("each daemon", design - state_bytes(fewer)?, DESIGN_SIZE.instances - 34);
    let mut harness = Harness::start(DESIGN_SIZE)?;
    let region = Region::new(ALLOCATOR);
    for i in 0..WAITING_REQUESTS {
        harness.queue_request(i % ACCOUNTS_WITH_KEY);
    }
    print_per_entry("each request that waits", net_allocated(&region), WAITING_REQUESTS);
    print_dump(&harness);
    Ok(())
}

fn print_dump(harness: &Harness) {
    let start = Instant::now();
    let text = harness.state.dump(harness.now).to_string();
    let millis = start.elapsed().as_secs_f64() * 1e3;
    println!(
        "\na dump with {WAITING_REQUESTS} waiting requests: {} bytes, {millis:.2} ms",
        text.len()
    );
}

fn print_per_entry(name: &str, bytes: f64, entries: usize) {
    println!("  {name:<34}{:>10.0}", bytes / entries as f64);
}

/// Returns the bytes of the control state after the warm-up, from what dropping it frees.
fn state_bytes(size: Size) -> Result<f64, Box<dyn Error>> {
    let Harness { state, config_text, .. } = Harness::start(size)?;
    // The state and the harness share the text of the configuration. With the harness's reference
    // gone, dropping the state frees the text too, and the text counts as a part of the state.
    drop(config_text);
    let region = Region::new(ALLOCATOR);
    drop(state);
    Ok(-net_allocated(&region))
}

/// Returns the bytes allocated in the region less those freed.
fn net_allocated(region: &Region<'_, System>) -> f64 {
    let stats = region.change();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}
