//! What an instance costs that serves no requests.

use std::error::Error;

use model::prelude::*;

use crate::{
    harness::{Answers, Cost, Harness},
    site::Size,
};

/// Simulated time of a measurement.
const SECONDS: u32 = 10;
/// Simulated time between two ticks.
const TICK: Duration = Duration::from_millis(100);

/// Prints messages, bytes and processor time of an idle second.
pub(crate) fn print(sizes: &[Size]) -> Result<(), Box<dyn Error>> {
    println!("\nan idle second of one daemon (sent: heartbeats and acknowledgements)");
    println!(
        "  {:<10}{:<18}{:>10}{:>12}{:>12}",
        "daemons", "instance list", "sent", "bytes", "core"
    );
    for size in sizes {
        for platform in [true, false] {
            line(*size, platform)?;
        }
    }
    Ok(())
}

fn line(size: Size, platform: bool) -> Result<(), Box<dyn Error>> {
    let mut on = Harness::start(size)?;
    on.answers = Answers { beats: true, bytes: true };
    // Until the last read of the list has ended its lease.
    run(&mut on, platform);
    on.cost = Cost::default();
    run(&mut on, platform);
    let Cost { time, sent, bytes, .. } = on.cost;
    let name = if platform { "read" } else { "not read" };
    let share = time.as_secs_f64() / f64::from(SECONDS);
    let per = |count: u64| count as f64 / f64::from(SECONDS);
    let (sent, bytes) = (per(sent), per(bytes));
    println!("  {:<10}{name:<18}{sent:>10.1}{bytes:>12.0}{:>11.2}%", size.daemons, share * 100.0);
    Ok(())
}

fn run(on: &mut Harness, platform: bool) {
    for i in 0..SECONDS * 10 {
        on.idle(TICK, platform && i % 5 == 0);
    }
}
