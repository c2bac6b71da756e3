//! Load generator for the two deployments.
//!
//! [`Mix`] describes the kinds of requests and their shares, [`Plan`] is the list of requests drawn
//! from it with a seed, [`run`] sends them open-loop, and [`Report`] summarizes the results.

mod mix;
mod plan;
mod report;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

pub use mix::{AccountMix, Mix, OutputLength, RequestKind};
pub use plan::{Arrival, Plan};
pub use report::{Report, Row};

use crate::{
    Balancer, Call, Client, Reply, key_of,
    rt::{sleep, spawn},
};

/// How long a caller waits for its response beyond the class's target.
const CALLER_TIMEOUT_MARGIN: Duration = Duration::from_secs(15);

/// A request of the load and its result.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The request as it was planned.
    pub arrival: Arrival,
    /// The result of the call.
    pub reply: Reply,
}

/// Sends the load and waits for all responses. Each request is sent at its time on its own
/// connection, however many are still waiting.
pub async fn run(mix: &Mix, plan: &Plan, balancer: &Arc<Balancer>) -> Vec<Sample> {
    let start = Instant::now();
    let mut tasks = Vec::new();
    for arrival in &plan.arrivals {
        sleep((start + arrival.at).saturating_duration_since(Instant::now())).await;
        let call = call(mix, arrival);
        let address = balancer.pick(arrival.account);
        let arrival = *arrival;
        tasks.push(spawn(async move {
            let reply = Client::new(address).send(&call).await;
            Sample { arrival, reply }
        }));
    }
    let mut samples = Vec::new();
    for task in tasks {
        samples.push(task.await);
    }
    samples
}

fn call(mix: &Mix, arrival: &Arrival) -> Call {
    let kind = &mix.kinds[arrival.kind];
    let account = &mix.accounts[arrival.account].name;
    let call = match (&kind.model, kind.method.as_str()) {
        (Some(model), _) => Call::completion(&kind.path, model, arrival.tokens)
            .field("prompt", format!("history {}", arrival.prefix).repeat(8)),
        (None, "GET") => Call::get(&kind.path),
        (None, _) => Call::post(&kind.path),
    };
    let call = call
        .key(&key_of(account))
        .class(&kind.class)
        .nonce(&format!("n{}", arrival.no))
        .mark("account", account)
        .timeout(kind.target + CALLER_TIMEOUT_MARGIN);
    if kind.stream { call.stream() } else { call }
}
