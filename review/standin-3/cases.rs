//! The cases, by name.

mod cut_second;
mod drill_relist;
mod gap_restart;
mod late_body;
mod late_report;
mod partial_entry;
mod rolled_origins;
mod slow_poison;
mod spoiled_stream;
mod stop_waiting;

use crate::{Outcome, record::Record};

/// Time that a server of the plain service takes for a request.
const SERVICE_TIME: std::time::Duration = std::time::Duration::from_millis(60);

/// Plays a case.
pub(crate) fn play(name: &str, record: &Record, has_trouble: bool) -> Outcome {
    match name {
        "gap-restart" => gap_restart::play(record, has_trouble),
        "late-report" => late_report::play(record, has_trouble),
        "late-body" => late_body::play(record, has_trouble),
        "cut-second" => cut_second::play(record, has_trouble),
        "drill-relist" => drill_relist::play(record, has_trouble),
        "rolled-origins" => rolled_origins::play(record, has_trouble),
        "partial-entry" => partial_entry::play(record, has_trouble),
        "slow-poison" => slow_poison::play(record, has_trouble),
        "spoiled-stream" => spoiled_stream::play(record, has_trouble),
        "stop-waiting" => stop_waiting::play(record, has_trouble),
        _ => Err(format!("there is no case {name}")),
    }
}

/// Returns a configuration with a route of each kind to a pool of model engines or of a plain service.
/// `tenants` are pairs of a name and its keys.
fn config(version: u64, tenants: &[(&str, &[&str])]) -> String {
    config_with_slots(version, tenants, 128)
}

/// Does the same for engines that run this many requests at the same time.
fn config_with_slots(version: u64, tenants: &[(&str, &[&str])], slots: u32) -> String {
    let tenants: Vec<_> = tenants
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<_> = keys.iter().map(|it| format!("\"{it}\"")).collect();
            format!(r#"{{"name":"{name}","apiKeys":[{}],"priority":1}}"#, keys.join(","))
        })
        .collect();
    let tenants = tenants.join(",");
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"charla","host":"host.example","prefix":"/charla/","routeKind":"streaming","timeoutMs":12000,"sloMs":300,
"priority":0,"service":"modelo","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":250}},
{{"name":"sintesis","host":"host.example","prefix":"/sintesis/","routeKind":"streaming","timeoutMs":12000,"sloMs":400,
"priority":1,"service":"modelo","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":400}},
{{"name":"abono","host":"host.example","prefix":"/abono/","routeKind":"non_idempotent","timeoutMs":2000,"sloMs":300,
"priority":2,"service":"libro","maxAttempts":1,"public":false}},
{{"name":"saldo","host":"host.example","prefix":"/saldo/","routeKind":"idempotent","timeoutMs":2000,"sloMs":300,
"priority":2,"service":"libro","maxAttempts":2,"public":false}}],
"services":[
{{"name":"modelo","healthPath":"/healthz","maxConns":620,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":20.0,
"engine":{{"slots":{slots},"kvCapacity":362178,"kvBytes":18432,"linkMbps":370000.0,"moves":false,"backups":false,
"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{{"name":"m"}}]}}}},
{{"name":"libro","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{tenants}]}}"#
    )
}

/// Returns the fields of a server's entry.
fn entry(service: &str, slots: u32, state: &str) -> String {
    entry_of_version(service, slots, state, "v1")
}

/// Does the same for a server with this version of its software.
fn entry_of_version(service: &str, slots: u32, state: &str, version: &str) -> String {
    format!(
        r#""service":"{service}","zone":"zona-norte","version":"{version}","slots":{slots},"state":"{state}",
"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}]"#
    )
}
