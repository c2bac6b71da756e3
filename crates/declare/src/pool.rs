//! Pools of backend servers.

use config::PoolKind;

/// Backend servers that can stand in for each other.
#[derive(Clone, Debug)]
#[must_use]
pub struct Pool(config::Pool);

impl Pool {
    /// A pool of model engines, named as callers name the model.
    pub fn engine(name: impl Into<String>) -> Self {
        Self(config::Pool { name: name.into(), kind: PoolKind::Engine })
    }

    /// A plain service.
    pub fn service(name: impl Into<String>) -> Self {
        Self(config::Pool { name: name.into(), kind: PoolKind::Service })
    }

    pub(crate) fn into_config(self) -> config::Pool {
        self.0
    }
}
