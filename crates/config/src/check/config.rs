//! The check of the configuration.

use std::collections::{HashMap, HashSet};

use model::prelude::*;
use serde_json::Value;

use super::{document, elements::Elements};
use crate::{
    Account, Class, Config, Engine, Findings, OrderKind, Place, Pool, PoolKind, Route, Server,
    Zone, ZoneState,
};

document!(Config, check_consistency);

fn check_consistency(doc: &Value, out: &mut Findings) {
    let cfg = PartialConfig::read(doc);
    cfg.check_names(out);
    cfg.check_zones(out);
    cfg.check_accounts(out);
    cfg.check_pools(out);
    cfg.check_servers(out);
    cfg.check_routes(out);
    cfg.check_classes(out);
}

/// The elements of a configuration, as far as they are well formed.
struct PartialConfig<'a> {
    zones: Elements<'a, Zone>,
    classes: Elements<'a, Class>,
    accounts: Elements<'a, Account>,
    pools: Elements<'a, Pool>,
    servers: Elements<'a, Server>,
    routes: Elements<'a, Route>,
}

impl<'a> PartialConfig<'a> {
    fn read(doc: &'a Value) -> Self {
        Self {
            zones: Elements::read(doc, "zones"),
            classes: Elements::read(doc, "classes"),
            accounts: Elements::read(doc, "accounts"),
            pools: Elements::read(doc, "pools"),
            servers: Elements::read(doc, "servers"),
            routes: Elements::read(doc, "routes"),
        }
    }

    fn check_names(&self, out: &mut Findings) {
        self.zones.check_names(|name| ZoneId::of(name).0, out);
        self.classes.check_names(|name| ClassId::of(name).0, out);
        self.accounts.check_names(|name| AccountId::of(name).0, out);
        self.pools.check_names(|name| PoolId::of(name).0, out);
        self.servers.check_names(|name| ServerId::of(name).0, out);
        self.routes.check_names(|name| RouteId::of(name).0, out);
    }

    fn check_zones(&self, out: &mut Findings) {
        let states: Vec<_> = self.zones.well_formed().map(|(_, zone)| zone.state).collect();
        let place = Place::root().field("zones");
        if states.is_empty() {
            return;
        }
        if states.iter().all(|state| *state == ZoneState::Lost) {
            out.error(place, "every zone is \"lost\", expected one that is \"in\" or \"out\"");
        } else if states.iter().all(|state| *state != ZoneState::In) {
            out.warning(place, "no zone is \"in\": no backend server receives requests");
        }
    }

    fn check_accounts(&self, out: &mut Findings) {
        let zones =
            self.zones.well_formed().filter(|(_, zone)| zone.state != ZoneState::Lost).count();
        let mut owners: HashMap<String, &Place> = HashMap::new();
        for (place, account) in self.accounts.well_formed() {
            if usize::try_from(account.burst).is_ok_and(|burst| burst < zones) {
                let message = format!("is less than {zones}, the number of zones that divide it");
                out.warning(place.field("burst"), message);
            }
            check_key_hashes(place, account, &mut owners, out);
        }
    }

    fn check_pools(&self, out: &mut Findings) {
        if !self.servers.all_well_formed() {
            return;
        }
        let used: HashSet<_> =
            self.servers.well_formed().map(|(_, server)| server.pool.as_str()).collect();
        for (place, pool) in self.pools.well_formed() {
            if !used.contains(pool.name.as_str()) {
                out.warning(place.clone(), "no backend server belongs to this pool");
            }
        }
    }

    fn check_servers(&self, out: &mut Findings) {
        let mut addresses = HashMap::new();
        for (place, server) in self.servers.well_formed() {
            self.zones.check_reference("zone", &server.zone, place.field("zone"), out);
            self.pools.check_reference("pool", &server.pool, place.field("pool"), out);
            check_limits(place, server, out);
            let address = place.field("address");
            if server.address.port() == 0 || server.address.ip().is_unspecified() {
                out.error(address.clone(), "is not a specific IP address with a port above 0");
            }
            if let Some(first) = addresses.insert(server.address, place) {
                out.error(address, format!("{first} has the same address"));
            }
            if let Some(engine) = &server.engine {
                self.check_engine(&place.field("engine"), server, engine, out);
            }
        }
    }

    fn check_engine(&self, place: &Place, server: &Server, engine: &Engine, out: &mut Findings) {
        if self.pools.get(&server.pool).is_some_and(|pool| pool.kind == PoolKind::Service) {
            out.error(place.clone(), "belongs to engines, but the pool is a plain service");
        }
        let orders = place.field("orders");
        let mut seen = HashSet::new();
        let mut role_index = None;
        for (i, order) in engine.orders.iter().enumerate() {
            if !seen.insert(order) {
                out.error(orders.index(i), "the order is listed twice");
            } else if order.kind == OrderKind::Role
                && let Some(first) = role_index.replace(i)
            {
                let message = format!("{} orders another role", orders.index(first));
                out.error(orders.index(i), message);
            }
        }
    }

    fn check_routes(&self, out: &mut Findings) {
        let mut endpoints: HashMap<(String, &str), &Place> = HashMap::new();
        for (place, route) in self.routes.well_formed() {
            let key = (route.method.to_ascii_uppercase(), route.path.as_str());
            if let Some(first) = endpoints.insert(key, place) {
                out.error(place.field("path"), format!("{first} has the same method and path"));
            }
            if route.method.eq_ignore_ascii_case("CONNECT") {
                out.error(place.field("method"), "CONNECT is not supported");
            }
            if route.path.split('/').any(|segment| matches!(segment, "." | "..")) {
                out.error(place.field("path"), "has a . or .. segment, so no request matches it");
            }
            if let Some(pool) = &route.pool {
                self.pools.check_reference("pool", pool, place.field("pool"), out);
            }
            self.check_route_classes(place, route, out);
            if route.open && self.may_use_engines(route) {
                out.warning(place.field("open"), "anyone may use the model engines without a key");
            }
        }
    }

    fn check_route_classes(&self, place: &Place, route: &Route, out: &mut Findings) {
        let classes = place.field("classes");
        let mut seen = HashSet::new();
        for (i, name) in route.classes.iter().enumerate() {
            self.classes.check_reference("class", name, classes.index(i), out);
            if !seen.insert(name) {
                out.error(classes.index(i), format!("the class {name:?} is listed twice"));
            }
            let target_ms = self.classes.get(name).map(|class| class.target_ms);
            if target_ms.is_some_and(|target_ms| route.max_duration_ms < target_ms) {
                let message = format!("is less than the target of class {name:?}");
                out.warning(place.field("max_duration_ms"), message);
            }
        }
    }

    fn may_use_engines(&self, route: &Route) -> bool {
        let Some(name) = &route.pool else { return true };
        self.pools.get(name).is_some_and(|pool| pool.kind == PoolKind::Engine)
    }

    fn check_classes(&self, out: &mut Findings) {
        if !self.routes.all_well_formed() {
            return;
        }
        let used: HashSet<_> =
            self.routes.well_formed().flat_map(|(_, route)| &route.classes).collect();
        for (place, class) in self.classes.well_formed() {
            if !used.contains(&class.name) {
                out.warning(place.clone(), "no route lists this class");
            }
        }
    }
}

fn check_key_hashes<'a>(
    place: &'a Place,
    account: &Account,
    owners: &mut HashMap<String, &'a Place>,
    out: &mut Findings,
) {
    if account.key_hashes.is_empty() {
        out.warning(place.field("key_hashes"), "the list is empty: the account has no valid key");
    }
    for (i, hash) in account.key_hashes.iter().enumerate() {
        let hash_place = place.field("key_hashes").index(i);
        match owners.insert(hash.to_ascii_lowercase(), place) {
            Some(owner) if owner == place => out.error(hash_place, "the key is listed twice"),
            Some(owner) => out.error(hash_place, format!("{owner} has the same key")),
            None => {}
        }
    }
}

fn check_limits(place: &Place, server: &Server, out: &mut Findings) {
    if server.cold_limit > server.limit {
        out.error(place.field("cold_limit"), format!("is more than the limit of {}", server.limit));
    }
}
