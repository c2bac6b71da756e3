//! The operator's configuration.

/// A tenant with its keys and its priority.
#[derive(Clone, Copy)]
pub struct Tenant<'a> {
    pub name: &'a str,
    pub keys: &'a [&'a str],
    pub priority: u8,
}

/// Returns a configuration with a route of each kind and `idle` more routes. `/ledger/` and
/// `/order/` go to the service `ledger`, `/chat/` to the engines of `models`; `/open/` is public.
pub fn config(version: u64, tenants: &[Tenant<'_>], idle: usize) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, more: &str| {
        format!(
            r#"{{"name":"{name}","host":"a.example","prefix":"/{name}/","routeKind":"{kind}","timeoutMs":4000,"service":"{service}","maxAttempts":{attempts},{more}}}"#
        )
    };
    let keyed = r#""public":false,"sloMs":300,"priority":2"#;
    let mut routes = vec![
        route("ledger", "idempotent", "ledger", 2, keyed),
        route("order", "non_idempotent", "ledger", 1, keyed),
        route("open", "idempotent", "ledger", 2, r#""public":true,"sloMs":300,"priority":2"#),
        route(
            "chat",
            "streaming",
            "models",
            1,
            r#""public":false,"sloMs":1200,"priority":2,"sticky":true,"resumable":false,"gapTargetMs":1000"#,
        ),
        route(
            "talk",
            "streaming",
            "models",
            2,
            r#""public":false,"sloMs":400,"priority":1,"sticky":true,"resumable":true,"gapTargetMs":400"#,
        ),
    ];
    routes.extend((0..idle).map(|no| {
        let more = r#""public":true,"sloMs":1000,"priority":0"#;
        route(&format!("idle{no:06}"), "idempotent", "ledger", 2, more)
    }));
    let tenants = tenants.iter().map(|Tenant { name, keys, priority }| {
        let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        format!(r#"{{"name":"{name}","apiKeys":[{}],"priority":{priority}}}"#, keys.join(","))
    });
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"models","healthPath":"/healthz","maxConns":620,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":20.0,"engine":{{"slots":128,"kvCapacity":362178,"kvBytes":18432,"linkMbps":370000.0,"moves":true,"backups":true,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{{"name":"m"}}]}}}},{{"name":"ledger","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{}]}}"#,
        routes.join(","),
        tenants.collect::<Vec<_>>().join(","),
    )
}
