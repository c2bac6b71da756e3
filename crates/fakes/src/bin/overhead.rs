//! Measures the latency that one daemon adds to a request.

use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use clap::Parser;
use fakes::{
    Call, Client, EngineBehavior, FleetBuilder, FleetError, key_of,
    rt::{block_on, sleep, spawn},
};
use hdrhistogram::Histogram;

const START_TIMEOUT: Duration = Duration::from_secs(20);
const SERVICE_TIME: Duration = Duration::from_millis(2);
const ACCOUNT: &str = "one";
const DAEMON: &str = "a-1";
const MAX_RECORDED_US: u64 = 60_000_000;
const US_PER_MS: f64 = 1_000.0;
const BYTES_PER_MB: f64 = 1e6;

/// Sends the same load alternately to a fake backend server directly and through one daemon, and
/// prints the latency that the daemon adds.
#[derive(Parser)]
struct Args {
    /// Requests per second.
    #[arg(long, default_value_t = 500)]
    rate: u32,
    /// How long one turn lasts, in seconds.
    #[arg(long, default_value_t = 3)]
    seconds: u32,
    /// How many turns each path is measured for.
    #[arg(long, default_value_t = 4)]
    turns: u32,
}

fn main() -> ExitCode {
    env_logger::init();
    match run(&Args::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            eprintln!("{failed} requests failed");
            ExitCode::FAILURE
        }
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<u64, FleetError> {
    let fleet = FleetBuilder::new()
        .zone("a", 1)
        .class("plain", 0, 5_000)
        .account(ACCOUNT, f64::from(args.rate) * 4.0, args.rate * 4)
        .service("s", "a", 1_000, EngineBehavior::service(SERVICE_TIME).slots(1_000))
        .route("POST", "/s/read", Some("s"), &["plain"], true)
        .start()?;
    fleet.wait_all_ready(START_TIMEOUT)?;
    let mut direct = Path::new(fleet.engine("s-a-1").address());
    let mut routed = Path::new(fleet.address(DAEMON));
    for turn in 0..=args.turns {
        // The first turn warms up connections and caches, and is not recorded.
        let is_recorded = turn > 0;
        direct.run_turn(args, is_recorded);
        routed.run_turn(args, is_recorded);
    }
    print(&direct, &routed);
    let memory = fleet.process(DAEMON).memory().unwrap_or(0);
    println!("memory of the daemon: {:.1} MB", memory as f64 / BYTES_PER_MB);
    Ok(direct.failed + routed.failed)
}

/// A path to the backend server with its idle connections and measured times.
struct Path {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<Client>>>,
    times: Histogram<u64>,
    failed: u64,
}

impl Path {
    fn new(address: SocketAddr) -> Self {
        let times = Histogram::new_with_max(MAX_RECORDED_US, 3);
        let times = times.unwrap_or_else(|err| panic!("the histogram's bounds are wrong: {err}"));
        Self { address, idle: Arc::default(), times, failed: 0 }
    }

    /// Sends the requests of one turn open-loop and, unless it is the warm-up, records their times.
    fn run_turn(&mut self, args: &Args, is_recorded: bool) {
        let start = Instant::now();
        let tasks = (0..args.rate * args.seconds).map(|i| {
            let due = start + Duration::from_secs(1) * i / args.rate;
            spawn(send(self.address, due, Arc::clone(&self.idle)))
        });
        let tasks: Vec<_> = tasks.collect();
        for task in tasks {
            match block_on(task) {
                Some(time) if is_recorded => self.times.saturating_record(micros(time)),
                Some(_) => {}
                None => self.failed += 1,
            }
        }
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / US_PER_MS
    }
}

/// Sends a request when it is due. Returns the time from then to the end of its response; `None` if
/// the response is not complete.
async fn send(
    address: SocketAddr,
    due: Instant,
    idle: Arc<Mutex<Vec<Client>>>,
) -> Option<Duration> {
    sleep(due.saturating_duration_since(Instant::now())).await;
    let client = idle.lock().ok()?.pop();
    let mut client = client.unwrap_or_else(|| Client::new(address));
    let call = Call::post("/s/read").key(&key_of(ACCOUNT)).nonce("n");
    let reply = client.send(&call).await;
    let time = due.elapsed();
    idle.lock().ok()?.push(client);
    reply.is_complete().then_some(time)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(MAX_RECORDED_US)
}

fn print(direct: &Path, routed: &Path) {
    println!("{:<8}{:>12}{:>12}{:>12}{:>8}", "", "direct ms", "routed ms", "added ms", "ratio");
    for (name, quantile) in [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999)] {
        let (a, b) = (direct.quantile_ms(quantile), routed.quantile_ms(quantile));
        println!("{name:<8}{a:>12.3}{b:>12.3}{:>12.3}{:>8.2}", b - a, b / a);
    }
}
