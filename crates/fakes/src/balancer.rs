//! The platform's balancer in front of the daemons.

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

const CHECK_EVERY: Duration = Duration::from_millis(100);
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// How callers are spread over the daemons.
#[derive(Clone, PartialEq, Debug)]
pub enum Spread {
    /// In turn.
    Even,
    /// By weight, in the order of the daemons' names; missing weights are 1.
    Weighted(Vec<usize>),
    /// Each caller, named by a number, goes to the same daemon as long as it is ready.
    Sticky,
}

/// Picks a daemon that reports that it is ready.
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
    /// Starts to check the daemons, each given by its addresses for callers and for operators.
    pub fn start(daemons: impl IntoIterator<Item = (SocketAddr, SocketAddr)>) -> Self {
        let target = |(listen, admin)| Target { listen, admin, ready: Mutex::new(true) };
        let targets: Arc<Vec<Target>> = Arc::new(daemons.into_iter().map(target).collect());
        let checks = (0..targets.len()).map(|i| spawn(check(Arc::clone(&targets), i))).collect();
        Self { targets, spread: Spread::Even, turn: AtomicUsize::new(0), _checks: checks }
    }

    /// Sets how callers are spread.
    #[must_use]
    pub fn spread(mut self, spread: Spread) -> Self {
        self.spread = spread;
        self
    }

    /// Picks a daemon for a caller; any of them if none is ready.
    pub fn pick(&self, caller: usize) -> SocketAddr {
        let ready: Vec<usize> =
            (0..self.targets.len()).filter(|&it| *lock(&self.targets[it].ready)).collect();
        let all: Vec<usize> = (0..self.targets.len()).collect();
        let choice = if ready.is_empty() { &all } else { &ready };
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let index = match &self.spread {
            Spread::Even => choice[turn % choice.len()],
            Spread::Sticky => choice[caller % choice.len()],
            Spread::Weighted(weights) => weighted(choice, weights, turn),
        };
        self.targets[index].listen
    }
}

fn weighted(choice: &[usize], weights: &[usize], turn: usize) -> usize {
    let weight = |it: &usize| weights.get(*it).copied().unwrap_or(1);
    let sum: usize = choice.iter().map(weight).sum();
    let mut rest = turn % sum.max(1);
    for it in choice {
        if rest < weight(it) {
            return *it;
        }
        rest -= weight(it);
    }
    choice[0]
}

async fn check(targets: Arc<Vec<Target>>, index: usize) {
    let target = &targets[index];
    let call = Call::get("/readyz").timeout(CHECK_TIMEOUT);
    loop {
        let reply = Client::new(target.admin).send(&call).await;
        *lock(&target.ready) = reply.status == 200;
        sleep(CHECK_EVERY).await;
    }
}
