//! Measures how the time per event at an owner of shares grows with the number of accounts.
//!
//! Run with `cargo run --release -p limit --example slope`.

use std::time::Instant;

use limit::{ShareSpec, ShareStart, Shares, Timing};
use model::{msg::TokenMsg, prelude::*};

const EVENTS: u64 = 400_000;
const ROUNDS: usize = 5;

fn main() {
    let few = (0..ROUNDS).map(|_| nanos_per_event(1_000)).fold(f64::MAX, f64::min);
    let many = (0..ROUNDS).map(|_| nanos_per_event(10_000)).fold(f64::MAX, f64::min);
    println!("1000 accounts: {few:.0} ns an event");
    println!("10000 accounts: {many:.0} ns an event");
    println!("ratio: {:.2}", many / few);
}

/// Returns the mean time of an event: asking for and reporting tokens of 500 busy accounts among
/// `accounts`, most of which are idle.
fn nanos_per_event(accounts: u64) -> f64 {
    let me = Peer { instance: InstanceId(1), incarnation: Incarnation(1) };
    let margin = Duration::from_millis(200);
    let mut shares = Shares::new(me, Timing { margin, grow_after: Duration::from_secs(3) });
    let spec = ShareSpec { rate: 1_000.0, burst: 1_000, account_rate: 1_000.0 };
    for i in 0..accounts {
        shares.open(Time::default(), share(i), spec, ShareStart::Empty);
    }

    let start = Instant::now();
    for i in 0..EVENTS / 2 {
        let now = Time::from_millis(10_000 + i / 100);
        let share = share(i % 500 * (accounts / 500));
        let ask = TokenMsg::Ask { ask: AskId(i), share, wait: Duration::from_secs(1) };
        for reply in shares.handle(now, me, &ask) {
            if let TokenMsg::Give { lease, .. } = reply.msg {
                shares.handle(now, me, &TokenMsg::Spent { share, lease });
            }
        }
        shares.tick(now);
    }
    start.elapsed().as_nanos() as f64 / EVENTS as f64
}

fn share(account: u64) -> ShareId {
    ShareId { account: AccountId(account), zone: ZoneId(1) }
}
