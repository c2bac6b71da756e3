//! Pools of backend servers.

use config::PoolKind;

/// A pool of interchangeable backend servers.
#[derive(Clone, Debug)]
#[must_use]
pub struct Pool(config::Pool);

impl Pool {
    /// Declares a pool of model engines. Its name is that of the model in callers' requests.
    pub fn engine(name: impl Into<String>) -> Self {
        Self(config::Pool { name: name.into(), kind: PoolKind::Engine })
    }

    /// Declares a pool of servers of a plain service.
    pub fn service(name: impl Into<String>) -> Self {
        Self(config::Pool { name: name.into(), kind: PoolKind::Service })
    }

    pub(crate) fn into_config(self) -> config::Pool {
        self.0
    }
}
