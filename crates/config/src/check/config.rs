//! The check of the configuration.

use std::collections::{HashMap, HashSet};

use model::prelude::*;
use serde_json::Value;

use super::{document, rows::Rows};
use crate::{
    Account, Class, Config, Engine, Findings, OrderKind, Place, Pool, PoolKind, Route, Server,
    Zone, ZoneState,
};

document!(Config, review);

fn review(doc: &Value, out: &mut Findings) {
    let draft = Draft::read(doc);
    draft.check_names(out);
    draft.check_zones(out);
    draft.check_accounts(out);
    draft.check_pools(out);
    draft.check_servers(out);
    draft.check_routes(out);
    draft.check_classes(out);
}

/// A configuration, as far as it can be read.
struct Draft<'a> {
    zones: Rows<'a, Zone>,
    classes: Rows<'a, Class>,
    accounts: Rows<'a, Account>,
    pools: Rows<'a, Pool>,
    servers: Rows<'a, Server>,
    routes: Rows<'a, Route>,
}

impl<'a> Draft<'a> {
    fn read(doc: &'a Value) -> Self {
        Self {
            zones: Rows::read(doc, "zones"),
            classes: Rows::read(doc, "classes"),
            accounts: Rows::read(doc, "accounts"),
            pools: Rows::read(doc, "pools"),
            servers: Rows::read(doc, "servers"),
            routes: Rows::read(doc, "routes"),
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
        let states: Vec<_> = self.zones.items().map(|(_, zone)| zone.state).collect();
        let place = Place::root().field("zones");
        if states.is_empty() {
            return;
        }
        if states.iter().all(|it| *it == ZoneState::Lost) {
            out.error(place, "every zone is lost");
        } else if states.iter().all(|it| *it != ZoneState::In) {
            out.warning(place, "no zone is in: no backend server receives work");
        }
    }

    fn check_accounts(&self, out: &mut Findings) {
        let zones = self.zones.items().filter(|(_, zone)| zone.state != ZoneState::Lost).count();
        let mut owners: HashMap<String, &Place> = HashMap::new();
        for (place, account) in self.accounts.items() {
            if usize::try_from(account.burst).is_ok_and(|burst| burst < zones) {
                let message = format!("is less than one for each of {zones} zones");
                out.warning(place.field("burst"), message);
            }
            check_key_hashes(place, account, &mut owners, out);
        }
    }

    fn check_pools(&self, out: &mut Findings) {
        if !self.servers.are_whole() {
            return;
        }
        let used: HashSet<_> = self.servers.items().map(|(_, it)| it.pool.as_str()).collect();
        for (place, pool) in self.pools.items() {
            if !used.contains(pool.name.as_str()) {
                out.warning(place.clone(), "no backend server is in this pool");
            }
        }
    }

    fn check_servers(&self, out: &mut Findings) {
        let mut addresses = HashMap::new();
        for (place, server) in self.servers.items() {
            self.zones.check_reference("zone", &server.zone, place.field("zone"), out);
            self.pools.check_reference("pool", &server.pool, place.field("pool"), out);
            check_limits(place, server, out);
            let address = place.field("address");
            if server.address.port() == 0 || server.address.ip().is_unspecified() {
                out.error(address.clone(), "is not an address that one can connect to");
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
            out.error(place.clone(), "the pool is a plain service");
        }
        let orders = place.field("orders");
        let mut seen = HashSet::new();
        let mut role = None;
        for (i, order) in engine.orders.iter().enumerate() {
            if !seen.insert(order) {
                out.error(orders.index(i), "stands twice");
            } else if order.kind == OrderKind::Role
                && let Some(first) = role.replace(i)
            {
                let message = format!("{} orders another role", orders.index(first));
                out.error(orders.index(i), message);
            }
        }
    }

    fn check_routes(&self, out: &mut Findings) {
        let mut requests: HashMap<(String, &str), &Place> = HashMap::new();
        for (place, route) in self.routes.items() {
            let key = (route.method.to_ascii_uppercase(), route.path.as_str());
            if let Some(first) = requests.insert(key, place) {
                out.error(place.field("path"), format!("{first} has the same method and path"));
            }
            if route.method.eq_ignore_ascii_case("CONNECT") {
                out.error(place.field("method"), "tunnels are not routed");
            }
            if route.path.split('/').any(|it| matches!(it, "." | "..")) {
                out.error(place.field("path"), "has dot segments, which no request keeps");
            }
            if let Some(pool) = &route.pool {
                self.pools.check_reference("pool", pool, place.field("pool"), out);
            }
            self.check_route_classes(place, route, out);
            if route.open && self.runs_engines(route) {
                out.warning(place.field("open"), "anybody may use the model engines");
            }
        }
    }

    fn check_route_classes(&self, place: &Place, route: &Route, out: &mut Findings) {
        let classes = place.field("classes");
        let mut seen = HashSet::new();
        for (i, name) in route.classes.iter().enumerate() {
            self.classes.check_reference("class", name, classes.index(i), out);
            if !seen.insert(name) {
                out.error(classes.index(i), format!("the class {name:?} stands twice"));
            }
            let target_ms = self.classes.get(name).map(|it| it.target_ms);
            if target_ms.is_some_and(|target_ms| route.max_duration_ms < target_ms) {
                let message = format!("is less than the target of class {name:?}");
                out.warning(place.field("max_duration_ms"), message);
            }
        }
    }

    fn runs_engines(&self, route: &Route) -> bool {
        let Some(name) = &route.pool else { return true };
        self.pools.get(name).is_some_and(|pool| pool.kind == PoolKind::Engine)
    }

    fn check_classes(&self, out: &mut Findings) {
        if !self.routes.are_whole() {
            return;
        }
        let used: HashSet<_> = self.routes.items().flat_map(|(_, it)| &it.classes).collect();
        for (place, class) in self.classes.items() {
            if !used.contains(&class.name) {
                out.warning(place.clone(), "no route offers this class");
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
        out.warning(place.field("key_hashes"), "no key is in force");
    }
    for (i, hash) in account.key_hashes.iter().enumerate() {
        let hash_place = place.field("key_hashes").index(i);
        match owners.insert(hash.to_ascii_lowercase(), place) {
            Some(owner) if owner == place => out.error(hash_place, "the key stands twice"),
            Some(owner) => out.error(hash_place, format!("{owner} has the same key")),
            None => {}
        }
    }
}

fn check_limits(place: &Place, server: &Server, out: &mut Findings) {
    if server.cold_limit > server.limit {
        out.error(place.field("cold_limit"), format!("is more than the limit {}", server.limit));
    }
}
