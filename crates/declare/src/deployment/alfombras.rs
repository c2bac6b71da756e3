//! A collections desk: live replies to debtors, drafts, summaries and a ledger.

use std::time::Duration;

use super::{Quota, Site};
use crate::{Class, Fleet, Pool, Route, Zone};

const ZONES: [&str; 3] = ["cali", "palmira", "buga"];
const MODEL: &str = "asistente";
const LEDGER: &str = "ledger";
const QUOTAS: [Quota; 10] = [
    Quota::new("hoteles-norte", 60.0, 60),
    Quota::new("hoteles-sur", 60.0, 60),
    Quota::new("oficinas", 45.0, 45),
    Quota::new("hogares-cali", 15.0, 20),
    Quota::new("hogares-palmira", 15.0, 20),
    Quota::new("hogares-buga", 15.0, 20),
    Quota::new("disputas", 15.0, 20),
    Quota::new("convenios", 10.0, 15),
    Quota::new("auditoria", 6.0, 9),
    Quota::new("pruebas", 3.0, 6),
];

/// Declares the collections desk: ten client accounts in three availability zones, made for
/// twelve model runners and three ledger servers.
pub fn alfombras(site: &Site) -> Fleet {
    let fleet =
        ZONES.iter().fold(Fleet::new(site.version), |fleet, zone| fleet.zone(Zone::new(*zone)));
    fleet
        .class(Class::new("live-replies").tier(0).target(Duration::from_millis(1_000)))
        .class(Class::new("ledger").tier(0).target(Duration::from_millis(500)))
        .class(Class::new("summaries").tier(1).target(Duration::from_secs(3)))
        .class(Class::new("drafts").tier(2).target(Duration::from_secs(15)))
        .accounts(site.accounts(&QUOTAS))
        .pool(Pool::engine(MODEL))
        .pool(Pool::service(LEDGER))
        .servers(site.runners(MODEL, &ZONES))
        .servers(site.services(LEDGER, &ZONES))
        .route(
            Route::post("/v1/chat/completions")
                .class("live-replies")
                .class("summaries")
                .class("drafts")
                .idempotent(),
        )
        .route(Route::get("/ledger/balance").pool(LEDGER).class("ledger").idempotent())
        .route(Route::post("/ledger/promise").pool(LEDGER).class("ledger"))
        .route(Route::post("/ledger/reversal").pool(LEDGER).class("ledger"))
        .route(Route::get("/ledger/hours").pool(LEDGER).class("ledger").idempotent().open())
}
