//! Fleets of the two deployments, and a small fleet for tests.

use std::time::Duration;

use config::{Config, Server};
use declare::deployment::{Site, adwoa, alfombras};

use crate::{EngineBehavior, FleetBuilder, FleetError};

/// How long a model engine is cold after its start.
const COLD_START: Duration = Duration::from_secs(2);
/// Concurrent requests that a cold engine of the small fleet sustains.
const COLD_LIMIT: usize = 2;
/// Concurrent requests of a warm engine of the small fleet.
const ENGINE_LIMIT: u32 = 8;
/// Concurrent requests of a plain service of the small fleet.
const SERVICE_LIMIT: u32 = 32;
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Output tokens per second of one stream at a model runner.
pub(crate) const RUNNER_TOKENS_PER_S: f64 = 50.0;
const ACCOUNTS: usize = 10;

impl FleetBuilder {
    /// The fleet of a debt collection desk: 8 daemons, 12 model runners and 3 ledger runners in 3
    /// availability zones, 10 client accounts.
    pub fn alfombras() -> Result<Self, FleetError> {
        let site = Site::example(12, 3, ACCOUNTS);
        Ok(Self::new().with_config(parse(&alfombras(&site))?, &[3, 3, 2], behavior_of))
    }

    /// The fleet of a kitchen franchise: 7 daemons, 9 model runners and 3 stock runners in 3
    /// availability zones, 10 client accounts.
    pub fn adwoa() -> Result<Self, FleetError> {
        let site = Site::example(9, 3, ACCOUNTS);
        Ok(Self::new().with_config(parse(&adwoa(&site))?, &[3, 2, 2], behavior_of))
    }

    /// A small fleet for tests: availability zones `a`, `b` and `c` with `daemons` daemons, two
    /// engines of pool `m` and one server of the plain service `s` each; accounts `one` and `two`;
    /// classes `high`, `low` and `plain`; routes `/v1/completions`, `/s/read` and `/s/write` (not
    /// idempotent).
    pub fn small(daemons: usize) -> Self {
        let mut builder = Self::new()
            .class("high", 0, 2_000)
            .class("low", 1, 10_000)
            .class("plain", 0, 2_000)
            .completion_route("/v1/completions", &["high", "low"])
            .route("POST", "/s/read", Some("s"), &["plain"], true)
            .route("POST", "/s/write", Some("s"), &["plain"], false)
            .account("one", 50.0, 50)
            .account("two", 50.0, 50);
        for zone in ["a", "b", "c"] {
            builder = builder.zone(zone, daemons).runners("m", zone, 2).plain("s", zone);
        }
        builder
    }

    fn runners(mut self, pool: &str, zone: &str, count: usize) -> Self {
        let behavior = EngineBehavior::default()
            .tokens_per_s(RUNNER_TOKENS_PER_S)
            .slots(ENGINE_LIMIT as usize)
            .cold(COLD_LIMIT, COLD_START)
            .resumes();
        for _ in 0..count {
            self = self.engine(pool, zone, ENGINE_LIMIT, behavior.clone());
        }
        self
    }

    fn plain(self, pool: &str, zone: &str) -> Self {
        self.service(pool, zone, SERVICE_LIMIT, EngineBehavior::service(SERVICE_TIME))
    }
}

fn parse(fleet: &declare::Fleet) -> Result<Config, FleetError> {
    let text = fleet.publish().map_err(|err| FleetError::Config(err.to_string()))?;
    Ok(serde_json::from_str(&text)?)
}

/// Returns the behavior of the fake for a declared backend server.
fn behavior_of(server: &Server) -> EngineBehavior {
    let Some(engine) = &server.engine else { return EngineBehavior::service(SERVICE_TIME) };
    EngineBehavior {
        resumes: engine.resumes,
        fenced: engine.fenced,
        ..EngineBehavior::default()
            .tokens_per_s(RUNNER_TOKENS_PER_S)
            .slots(server.limit as usize)
            .cold(server.cold_limit as usize, COLD_START)
    }
}
