//! The check of the instance list.

use std::collections::HashMap;

use model::prelude::*;
use serde_json::Value;

use super::{document, rows::Rows};
use crate::{Findings, Instance, InstanceList};

document!(InstanceList, review);

fn review(doc: &Value, out: &mut Findings) {
    let instances = Rows::<Instance>::read(doc, "instances");
    instances.check_names(|name| InstanceId::of(name).0, out);
    let mut addresses = HashMap::new();
    for (place, instance) in instances.items() {
        let peer = place.field("peer");
        if instance.peer.port() == 0 {
            out.error(peer.clone(), "has port 0");
        }
        // The list lags, so an instance and the one that replaced it may both be on it.
        if let Some(first) = addresses.insert(instance.peer, place) {
            out.warning(peer, format!("{first} has the same address"));
        }
    }
}
