//! The cost of an instance that serves no requests.

use std::error::Error;

use model::prelude::*;

use crate::{
    fleet::Size,
    harness::{Cost, Harness, Options},
};

/// Simulated time of one measurement.
const MEASURED_SECONDS: u32 = 10;
/// Simulated time between two ticks; the instance list is read with every fifth one.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Prints the messages, bytes and processor time of one second without requests, with a readable and
/// with an unreadable instance list.
pub(crate) fn print(sizes: &[Size]) -> Result<(), Box<dyn Error>> {
    println!("\nan idle second of one daemon (sent: heartbeats and acknowledgements)");
    println!(
        "  {:<10}{:<18}{:>10}{:>12}{:>12}",
        "daemons", "instance list", "sent", "bytes", "core"
    );
    for size in sizes {
        for is_list_readable in [true, false] {
            print_line(*size, is_list_readable)?;
        }
    }
    Ok(())
}

fn print_line(size: Size, is_list_readable: bool) -> Result<(), Box<dyn Error>> {
    let mut harness = Harness::start(size)?;
    harness.options = Options { peer_heartbeats: true, count_bytes: true };
    // Runs unmeasured until the lease from the warm-up's last read of the list has ended.
    run(&mut harness, is_list_readable);
    harness.cost = Cost::default();
    run(&mut harness, is_list_readable);
    let Cost { time, sent, bytes, .. } = harness.cost;
    let name = if is_list_readable { "read" } else { "not read" };
    let share = time.as_secs_f64() / f64::from(MEASURED_SECONDS);
    let per = |count: u64| count as f64 / f64::from(MEASURED_SECONDS);
    let (sent, bytes) = (per(sent), per(bytes));
    println!("  {:<10}{name:<18}{sent:>10.1}{bytes:>12.0}{:>11.2}%", size.instances, share * 100.0);
    Ok(())
}

fn run(harness: &mut Harness, is_list_readable: bool) {
    for i in 0..MEASURED_SECONDS * 10 {
        harness.idle(TICK_INTERVAL, is_list_readable && i % 5 == 0);
    }
}
