//! Summary of a load's results.

use std::{
    collections::BTreeMap,
    fmt::{self, Display},
    time::Duration,
};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{Mix, Plan, Sample};
use crate::{End, RecordedRequest};

/// Reason of refusals because the account is over its rate.
const OVER_RATE: &str = "over-rate";
/// Reason of refusals for lack of capacity.
const CAPACITY: &str = "capacity";
/// An account with fewer requests within its rate says little about fairness and is not considered
/// as the worst-served one.
const MIN_FAIRNESS_REQUESTS: usize = 20;
const MAX_RECORDED_MS: u64 = 600_000;

/// Summary of a load's results.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// One row per class.
    pub classes: Vec<Row>,
    /// One row per client account.
    pub accounts: Vec<Row>,
    /// All requests in one row.
    pub all: Row,
    /// Output tokens per second of complete responses within their target.
    pub goodput_tokens_per_s: f64,
    /// Fraction of the generated tokens that no caller received in a complete response.
    pub wasted: f64,
    /// The account with the lowest attainment; empty if none sent enough requests.
    pub worst_account: String,
    /// The attainment of that account, 0 to 1.
    pub worst_attainment: f64,
    /// Complete responses with the content of another request.
    pub foreign: usize,
}

/// Results of a class, an account or the whole load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// The class or account; `all` for the whole load.
    pub name: String,
    /// Requests sent.
    pub offered: usize,
    /// Requests sent while the account was within its rate.
    pub within_rate: usize,
    /// Complete responses whose time to first byte was within the target.
    pub in_target: usize,
    /// Those of `in_target` whose requests were within the rate.
    pub within_rate_in_target: usize,
    /// Complete responses whose time to first byte exceeded the target.
    pub late: usize,
    /// Refusals by reason.
    pub refused: BTreeMap<String, usize>,
    /// Refusals of requests within the rate for any reason but capacity.
    pub wrongful: usize,
    /// Refusals of requests within the rate for lack of capacity.
    pub shed: usize,
    /// Incomplete, foreign and missing responses by how the call ended.
    pub broken: BTreeMap<String, usize>,
    /// Median time to first byte of complete responses, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile of the time to first byte of complete responses, in milliseconds.
    pub p99_ms: u64,
}

impl Report {
    /// Summarizes samples and the requests that the backend servers recorded.
    pub fn new(mix: &Mix, plan: &Plan, samples: &[Sample], record: &[RecordedRequest]) -> Self {
        let class = |it: &Sample| mix.kinds[it.arrival.kind].class.clone();
        let account = |it: &Sample| mix.accounts[it.arrival.account].name.clone();
        let accounts = rows(mix, samples, account);
        let eligible = accounts.iter().filter(|it| it.within_rate >= MIN_FAIRNESS_REQUESTS);
        let worst = eligible.min_by(|a, b| a.attainment().total_cmp(&b.attainment()));
        let worst = worst.cloned().unwrap_or_default();
        let tokens = |it: &&Sample| u64::from(it.arrival.tokens);
        let complete = samples.iter().filter(|it| it.reply.is_complete());
        let delivered: u64 = complete.clone().map(|it| tokens(&it)).sum();
        let good: u64 = complete.filter(|it| in_target(mix, it)).map(|it| tokens(&it)).sum();
        let generated: u64 = record.iter().map(|it| u64::from(it.tokens)).sum();
        Self {
            classes: rows(mix, samples, class),
            all: rows(mix, samples, |_| "all".to_owned()).pop().unwrap_or_default(),
            goodput_tokens_per_s: good as f64 / plan.length.as_secs_f64(),
            wasted: generated.saturating_sub(delivered) as f64 / (generated.max(1)) as f64,
            worst_attainment: worst.attainment(),
            worst_account: worst.name,
            foreign: samples.iter().filter(|it| it.reply.end == End::Foreign).count(),
            accounts,
        }
    }

    /// Returns the row of a class.
    pub fn class(&self, name: &str) -> Option<&Row> {
        self.classes.iter().find(|it| it.name == name)
    }
}

impl Row {
    /// Returns the fraction of the requests within the rate whose complete response was in target.
    pub fn attainment(&self) -> f64 {
        self.within_rate_in_target as f64 / self.within_rate.max(1) as f64
    }

    /// Returns the number of incomplete, foreign and missing responses.
    pub fn broken(&self) -> usize {
        self.broken.values().sum()
    }

    fn add(&mut self, mix: &Mix, sample: &Sample) {
        let within = sample.arrival.within_rate;
        self.offered += 1;
        self.within_rate += usize::from(within);
        match &sample.reply.end {
            End::Complete if in_target(mix, sample) => {
                self.in_target += 1;
                self.within_rate_in_target += usize::from(within);
            }
            End::Complete => self.late += 1,
            End::Refused => {
                let reason = reason(sample);
                let is_capacity = reason == CAPACITY;
                self.shed += usize::from(within && is_capacity);
                self.wrongful += usize::from(within && !is_capacity);
                *self.refused.entry(reason).or_default() += 1;
            }
            end => {
                let name = match end {
                    End::NoAnswer(_) => "no-answer",
                    End::Truncated => "truncated",
                    End::Foreign => "foreign",
                    _ => "timed-out",
                };
                *self.broken.entry(name.to_owned()).or_default() += 1;
            }
        }
    }
}

/// Returns the stated reason of a refusal or, if there is none, one derived from the status.
fn reason(sample: &Sample) -> String {
    match (sample.reply.reason.as_str(), sample.reply.status) {
        ("", 429) => OVER_RATE.to_owned(),
        ("", status) => status.to_string(),
        (reason, _) => reason.to_owned(),
    }
}

fn in_target(mix: &Mix, sample: &Sample) -> bool {
    let target = mix.kinds[sample.arrival.kind].target;
    sample.reply.first_byte.is_some_and(|it| it <= target)
}

/// Groups samples into rows by name.
fn rows(mix: &Mix, samples: &[Sample], name: impl Fn(&Sample) -> String) -> Vec<Row> {
    let mut groups: BTreeMap<String, Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        groups.entry(name(sample)).or_default().push(sample);
    }
    groups.into_iter().map(|(name, samples)| row(mix, name, &samples)).collect()
}

fn row(mix: &Mix, name: String, samples: &[&Sample]) -> Row {
    let mut row = Row { name, ..Row::default() };
    let mut times = Vec::new();
    for sample in samples {
        row.add(mix, sample);
        times.extend(sample.reply.first_byte.filter(|_| sample.reply.is_complete()));
    }
    row.p50_ms = quantile_ms(&times, 0.5);
    row.p99_ms = quantile_ms(&times, 0.99);
    row
}

fn quantile_ms(times: &[Duration], quantile: f64) -> u64 {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_RECORDED_MS, 3) else { return 0 };
    for time in times {
        histogram.saturating_record(u64::try_from(time.as_millis()).unwrap_or(MAX_RECORDED_MS));
    }
    histogram.value_at_quantile(quantile)
}

impl Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14}{:>8}{:>8}{:>9}{:>6}{:>7}{:>9}{:>6}{:>8}{:>8}{:>8}  refused, broken",
            "name",
            "offered",
            "in rate",
            "attained",
            "late",
            "shed",
            "wrongful",
            "lost",
            "target",
            "p50 ms",
            "p99 ms"
        )?;
        for row in self.classes.iter().chain(&self.accounts).chain([&self.all]) {
            writeln!(f, "{row}")?;
        }
        writeln!(
            f,
            "goodput {:.0} tokens/s, wasted {:.1}%, worst-served account {} {:.1}%, foreign {}",
            self.goodput_tokens_per_s,
            100.0 * self.wasted,
            self.worst_account,
            100.0 * self.worst_attainment,
            self.foreign
        )
    }
}

impl Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<14}{:>8}{:>8}{:>8.1}%{:>6}{:>7}{:>9}{:>6}{:>8}{:>8}{:>8}  {:?} {:?}",
            self.name,
            self.offered,
            self.within_rate,
            100.0 * self.attainment(),
            self.late,
            self.shed,
            self.wrongful,
            self.broken(),
            self.in_target,
            self.p50_ms,
            self.p99_ms,
            self.refused,
            self.broken
        )
    }
}
