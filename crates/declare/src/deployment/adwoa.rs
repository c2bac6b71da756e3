//! A group of kitchens: live cook steps, rescaled dishes and menus, and a stock service.

use std::time::Duration;

use super::{Quota, Site};
use crate::{Class, Fleet, Pool, Route, Zone};

const ZONES: [&str; 3] = ["osu", "tema", "madina"];
const MODEL: &str = "recipes";
const STOCK: &str = "stock";
const QUOTAS: [Quota; 10] = [
    Quota::new("head-office", 50.0, 60),
    Quota::new("menu-team", 40.0, 45),
    Quota::new("outlet-osu", 30.0, 40),
    Quota::new("outlet-labone", 12.0, 18),
    Quota::new("outlet-tema", 12.0, 18),
    Quota::new("outlet-madina", 12.0, 18),
    Quota::new("outlet-kumasi", 12.0, 18),
    Quota::new("outlet-takoradi", 8.0, 12),
    Quota::new("outlet-tamale", 8.0, 12),
    Quota::new("training", 3.0, 6),
];

/// Declares the group of kitchens: ten client accounts in three availability zones, made for
/// nine model runners and three stock servers.
pub fn adwoa(site: &Site) -> Fleet {
    let fleet =
        ZONES.iter().fold(Fleet::new(site.version), |fleet, zone| fleet.zone(Zone::new(*zone)));
    fleet
        .class(Class::new("live-cook-steps").tier(0).target(Duration::from_millis(500)))
        .class(Class::new("stock-orders").tier(0).target(Duration::from_millis(500)))
        .class(Class::new("stock-lookups").tier(1).target(Duration::from_millis(500)))
        .class(Class::new("dish-rescale").tier(1).target(Duration::from_secs(2)))
        .class(Class::new("menu-rescale").tier(2).target(Duration::from_secs(15)))
        .accounts(site.accounts(&QUOTAS))
        .pool(Pool::engine(MODEL))
        .pool(Pool::service(STOCK))
        .servers(site.runners(MODEL, &ZONES))
        .servers(site.services(STOCK, &ZONES))
        .route(
            Route::post("/v1/chat/completions")
                .class("live-cook-steps")
                .class("dish-rescale")
                .class("menu-rescale")
                .idempotent(),
        )
        .route(Route::get("/stock/level").pool(STOCK).class("stock-lookups").idempotent())
        .route(Route::post("/stock/order").pool(STOCK).class("stock-orders"))
        .route(Route::get("/stock/units").pool(STOCK).class("stock-lookups").idempotent().open())
}
