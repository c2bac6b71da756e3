//! A fake of the platform's load balancer in front of the daemons.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_executor::Task;

use crate::{
    Call, Client,
    rt::{lock, sleep, spawn},
};

const CHECK_PERIOD: Duration = Duration::from_millis(100);
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// How callers are distributed over the ready daemons.
#[derive(Clone, PartialEq, Debug)]
pub enum Spread {
    /// Round robin.
    Even,
    /// Round robin by weight; the weights are in the order of the daemons, missing ones are 1.
    Weighted(Vec<usize>),
    /// Each caller, given by a number, gets the same daemon as long as the set of ready ones does
    /// not change.
    Sticky,
}

/// Picks a ready daemon for each connection; checks readiness periodically.
pub struct Balancer {
    targets: Arc<Vec<Target>>,
    spread: Spread,
    turn: AtomicUsize,
    _checks: Vec<Task<()>>,
}

struct Target {
    listen: SocketAddr,
    admin: SocketAddr,
    ready: Mutex<bool>,
}

impl Balancer {
    /// Starts the readiness checks of the daemons, each given by its addresses for callers and for
    /// operators. Until its first check, a daemon counts as ready.
    pub fn start(daemons: impl IntoIterator<Item = (SocketAddr, SocketAddr)>) -> Self {
        let target = |(listen, admin)| Target { listen, admin, ready: Mutex::new(true) };
        let targets: Arc<Vec<Target>> = Arc::new(daemons.into_iter().map(target).collect());
        let checks = (0..targets.len()).map(|i| spawn(check(Arc::clone(&targets), i))).collect();
        Self { targets, spread: Spread::Even, turn: AtomicUsize::new(0), _checks: checks }
    }

    /// Sets how callers are distributed.
    #[must_use]
    pub fn spread(mut self, spread: Spread) -> Self {
        self.spread = spread;
        self
    }

    /// Picks a ready daemon for a caller, or any daemon if none is ready.
    pub fn pick(&self, caller: usize) -> SocketAddr {
        let ready: Vec<usize> =
            (0..self.targets.len()).filter(|&it| *lock(&self.targets[it].ready)).collect();
        let all: Vec<usize> = (0..self.targets.len()).collect();
        let candidates = if ready.is_empty() { &all } else { &ready };
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let index = match &self.spread {
            Spread::Even => candidates[turn % candidates.len()],
            Spread::Sticky => candidates[caller % candidates.len()],
            Spread::Weighted(weights) => weighted(candidates, weights, turn),
        };
        self.targets[index].listen
    }
}

fn weighted(candidates: &[usize], weights: &[usize], turn: usize) -> usize {
    let weight = |it: &usize| weights.get(*it).copied().unwrap_or(1);
    let total: usize = candidates.iter().map(weight).sum();
    let mut rest = turn % total.max(1);
    for it in candidates {
        if rest < weight(it) {
            return *it;
        }
        rest -= weight(it);
    }
    candidates[0]
}

async fn check(targets: Arc<Vec<Target>>, index: usize) {
    let target = &targets[index];
    let call = Call::get("/readyz").timeout(CHECK_TIMEOUT);
    loop {
        let reply = Client::new(target.admin).send(&call).await;
        *lock(&target.ready) = reply.status == 200;
        sleep(CHECK_PERIOD).await;
    }
}
