//! The two deployments of today, and a small fleet.

use std::time::Duration;

use crate::{FleetBuilder, Knobs};

/// The length of the two deployments' cold starts.
const COLD_START: Duration = Duration::from_secs(2);
const COLD_LIMIT: usize = 2;
pub(crate) const ENGINE_LIMIT: u32 = 8;
const SERVICE_LIMIT: u32 = 32;
const SERVICE_TIME: Duration = Duration::from_millis(5);
pub(crate) const RUNNER_TOKENS_PER_S: f64 = 50.0;
const ACCOUNTS: usize = 10;
const LARGE_ACCOUNTS: usize = 3;

impl FleetBuilder {
    /// A debt collection desk: 8 daemons, 12 model runners and 3 ledger runners in 3 availability
    /// zones, 10 client accounts.
    pub fn alfombras() -> Self {
        let zones = ["cali", "palmira", "buga"];
        let mut builder = Self::new()
            .class("dialogue", 0, 1_000)
            .class("ledger", 0, 500)
            .class("summary", 1, 3_000)
            .class("reminder", 2, 15_000)
            .completions("/v1/chat/completions", &["dialogue", "summary", "reminder"])
            .route("GET", "/ledger/balance", Some("ledger"), &["ledger"], true)
            .route("POST", "/ledger/promise", Some("ledger"), &["ledger"], false)
            .route("POST", "/ledger/reversal", Some("ledger"), &["ledger"], false);
        for (zone, daemons) in zones.iter().zip([3, 3, 2]) {
            builder =
                builder.zone(zone, daemons).runners("asistente", zone, 4).plain("ledger", zone);
        }
        builder.accounts("cliente")
    }

    /// A kitchen franchise: 7 daemons, 9 model runners and 3 stock runners in 3 availability
    /// zones, 10 client accounts.
    pub fn adwoa() -> Self {
        let zones = ["osu", "tema", "madina"];
        let mut builder = Self::new()
            .class("cook-step", 0, 500)
            .class("stock", 0, 500)
            .class("dish", 1, 2_000)
            .class("menu", 2, 15_000)
            .completions("/v1/chat/completions", &["cook-step", "dish", "menu"])
            .route("GET", "/stock/level", Some("stock"), &["stock"], true)
            .route("POST", "/stock/order", Some("stock"), &["stock"], false);
        for (zone, daemons) in zones.iter().zip([3, 2, 2]) {
            builder = builder.zone(zone, daemons).runners("recipes", zone, 3).plain("stock", zone);
        }
        builder.accounts("outlet")
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

    /// Adds the accounts; the first few are large.
    fn accounts(mut self, prefix: &str) -> Self {
        for i in 1..=ACCOUNTS {
            let (rate, burst) = if i <= LARGE_ACCOUNTS { (60.0, 60) } else { (15.0, 20) };
            self = self.account(&format!("{prefix}-{i}"), rate, burst);
        }
        self
    }
}
