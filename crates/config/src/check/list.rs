//! The check of the instance list.

use std::collections::HashMap;

use model::prelude::*;
use serde_json::Value;

use super::{document, elements::Elements};
use crate::{Findings, Instance, InstanceList};

document!(InstanceList, check_consistency);

fn check_consistency(doc: &Value, out: &mut Findings) {
    let instances = Elements::<Instance>::read(doc, "instances");
    instances.check_names(|name| InstanceId::of(name).0, out);
    let mut addresses = HashMap::new();
    for (place, instance) in instances.well_formed() {
        let peer = place.field("peer");
        if instance.peer.port() == 0 {
            out.error(peer.clone(), "has port 0, to which nothing can connect");
        }
        // Only a warning: the list lags, so it may show both an instance and its replacement.
        if let Some(first) = addresses.insert(instance.peer, place) {
            out.warning(peer, format!("{first} has the same address"));
        }
    }
}
