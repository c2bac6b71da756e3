//! The two deployments of today, and a small fleet.

use std::time::Duration;

use config::{Config, Server};
use declare::deployment::{Site, adwoa, alfombras};

use crate::{FleetBuilder, FleetError, Knobs};

/// The length of the two deployments' cold starts.
const COLD_START: Duration = Duration::from_secs(2);
const COLD_LIMIT: usize = 2;
const ENGINE_LIMIT: u32 = 8;
const SERVICE_LIMIT: u32 = 32;
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Output tokens a second of one stream at the two deployments' model runners.
pub(crate) const RUNNER_TOKENS_PER_S: f64 = 50.0;
const ACCOUNTS: usize = 10;

impl FleetBuilder {
    /// A debt collection desk: 8 daemons, 12 model runners and 3 ledger runners in 3 availability
    /// zones, 10 client accounts.
    pub fn alfombras() -> Result<Self, FleetError> {
        let site = Site::example(12, 3, ACCOUNTS);
        Ok(Self::new().declared(parse(&alfombras(&site))?, &[3, 3, 2], knobs))
    }

    /// A kitchen franchise: 7 daemons, 9 model runners and 3 stock runners in 3 availability
    /// zones, 10 client accounts.
    pub fn adwoa() -> Result<Self, FleetError> {
        let site = Site::example(9, 3, ACCOUNTS);
        Ok(Self::new().declared(parse(&adwoa(&site))?, &[3, 2, 2], knobs))
    }

    /// A small fleet for tests: `daemons` in each of three availability zones `a`, `b` and `c`,
    /// with two engines of pool `m` and one server of service `s` in each, accounts `one` and
    /// `two`, classes `high`, `low` and `plain`, routes `/v1/completions`, `/s/read` and
    /// `/s/write`.
    pub fn small(daemons: usize) -> Self {
        let mut builder = Self::new()
            .class("high", 0, 2_000)
            .class("low", 1, 10_000)
            .class("plain", 0, 2_000)
            .completions("/v1/completions", &["high", "low"])
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
        let knobs = Knobs::default()
            .tokens_per_s(RUNNER_TOKENS_PER_S)
            .slots(ENGINE_LIMIT as usize)
            .cold(COLD_LIMIT, COLD_START)
            .resumes();
        for _ in 0..count {
            self = self.engine(pool, zone, ENGINE_LIMIT, knobs.clone());
        }
        self
    }

    fn plain(self, pool: &str, zone: &str) -> Self {
        self.service(pool, zone, SERVICE_LIMIT, Knobs::service(SERVICE_TIME))
    }
}

fn parse(fleet: &declare::Fleet) -> Result<Config, FleetError> {
    let text = fleet.publish().map_err(|err| FleetError::Config(err.to_string()))?;
    Ok(serde_json::from_str(&text)?)
}

/// Returns how a declared backend server behaves.
fn knobs(server: &Server) -> Knobs {
    let Some(engine) = &server.engine else { return Knobs::service(SERVICE_TIME) };
    Knobs {
        resumes: engine.resumes,
        fenced: engine.fenced,
        ..Knobs::default()
            .tokens_per_s(RUNNER_TOKENS_PER_S)
            .slots(server.limit as usize)
            .cold(server.cold_limit as usize, COLD_START)
    }
}
