//! Fleet and load of the two deployments.

use clap::ValueEnum;
use config::Config;

use crate::{FleetBuilder, FleetError, load::Mix, presets::RUNNER_TOKENS_PER_S};

/// One of the two deployments.
#[derive(Clone, Copy, PartialEq, Eq, Debug, ValueEnum)]
pub enum Deployment {
    /// The debt collection desk, see [`FleetBuilder::alfombras`].
    Alfombras,
    /// The kitchen franchise, see [`FleetBuilder::adwoa`].
    Adwoa,
}

impl Deployment {
    /// Returns the builder of its fleet.
    pub fn fleet(self) -> Result<FleetBuilder, FleetError> {
        match self {
            Self::Alfombras => FleetBuilder::alfombras(),
            Self::Adwoa => FleetBuilder::adwoa(),
        }
    }

    /// Returns its load for the configuration that its fleet runs with.
    pub fn mix(self, config: &Config) -> Mix {
        let engines = config.servers.iter().filter(|server| server.engine.is_some());
        let streams: u32 = engines.map(|engine| engine.limit).sum();
        let tokens_per_s = f64::from(streams) * RUNNER_TOKENS_PER_S;
        match self {
            Self::Alfombras => Mix::alfombras(config, tokens_per_s),
            Self::Adwoa => Mix::adwoa(config, tokens_per_s),
        }
    }
}
