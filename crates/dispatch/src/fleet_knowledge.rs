//! What an instance knows of the size of its fleet.

/// What an instance knows of the size of its fleet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FleetKnowledge {
    /// Gossip has not had the time to find all members.
    Unsettled,
    /// It had, but the instance has heard from no other, although its settings name some. It may be
    /// the only one that runs, or have been cut off since its start.
    Alone,
    /// All members are known, but for instances that have just started.
    Settled,
}
