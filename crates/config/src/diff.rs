//! What a new configuration changes.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::{Config, Place};

/// Characters of a key's hash that are shown.
const SHOWN_HASH: usize = 4;
/// The field whose values are shown only in part.
const KEY_HASHES: &str = "key_hashes";

/// A difference between two configurations.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Change {
    /// Where it is; elements of lists are known by their names.
    pub place: Place,
    /// What it is.
    pub edit: Edit,
}

/// What happens at one place.
#[derive(Clone, PartialEq, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// The value is new.
    Added(Value),
    /// The value is not there any more.
    Removed(Value),
    /// The value is another one.
    Changed {
        /// What it was.
        old: Value,
        /// What it is.
        new: Value,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.edit {
            Edit::Added(value) => write!(f, "{}: added {value}", self.place),
            Edit::Removed(value) => write!(f, "{}: removed {value}", self.place),
            Edit::Changed { old, new } => write!(f, "{}: {old} -> {new}", self.place),
        }
    }
}

/// Lists the differences between two configurations, key hashes shortened.
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    // A configuration consists of nothing that JSON cannot hold, so neither side is null.
    let [old, new] = [old, new].map(|it| serde_json::to_value(it).unwrap_or_default());
    compare(&Place::root(), &old, &new, &mut changes);
    changes
}

fn compare(place: &Place, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    if old == new {
        return;
    }
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => compare_fields(place, old, new, changes),
        (Value::Array(old), Value::Array(new)) => compare_lists(place, old, new, changes),
        _ => {
            let edit = Edit::Changed { old: old.clone(), new: new.clone() };
            changes.push(Change { place: place.clone(), edit });
        }
    }
}

fn compare_fields(
    place: &Place,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    changes: &mut Vec<Change>,
) {
    for (name, value) in old {
        let place = place.field(name);
        match new.get(name) {
            Some(new) if name == KEY_HASHES => compare_sets(&place, value, new, changes),
            Some(new) => compare(&place, value, new, changes),
            None => changes.push(Change { place, edit: Edit::Removed(value.clone()) }),
        }
    }
    for (name, value) in new {
        if !old.contains_key(name) {
            let place = place.field(name);
            changes.push(Change { place, edit: Edit::Added(value.clone()) });
        }
    }
}

/// Compares lists by the names of their elements, or as a whole where these have no names.
fn compare_lists(place: &Place, old: &[Value], new: &[Value], changes: &mut Vec<Change>) {
    let (Some(old_names), Some(new_names)) = (by_name(old), by_name(new)) else {
        let edit = Edit::Changed { old: old.into(), new: new.into() };
        changes.push(Change { place: place.clone(), edit });
        return;
    };
    for (name, value) in &old_names {
        let place = place.field(name);
        match new_names.get(name) {
            Some(new) => compare(&place, value, new, changes),
            None => changes.push(Change { place, edit: Edit::Removed(shorten(value)) }),
        }
    }
    for (name, value) in &new_names {
        if !old_names.contains_key(name) {
            let place = place.field(name);
            changes.push(Change { place, edit: Edit::Added(shorten(value)) });
        }
    }
}

fn by_name(list: &[Value]) -> Option<BTreeMap<&str, &Value>> {
    let mut names = BTreeMap::new();
    for value in list {
        let name = value.get("name")?.as_str()?;
        // Orders of different kinds may share a name.
        if names.insert(name, value).is_some() {
            return None;
        }
    }
    Some(names)
}

/// Compares lists of hashes, whose order means nothing.
fn compare_sets(place: &Place, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    let [old, new] = [old, new].map(|it| it.as_array().map(Vec::as_slice).unwrap_or_default());
    for value in old.iter().filter(|it| !new.contains(it)) {
        let edit = Edit::Removed(shorten_hash(value));
        changes.push(Change { place: place.clone(), edit });
    }
    for value in new.iter().filter(|it| !old.contains(it)) {
        let edit = Edit::Added(shorten_hash(value));
        changes.push(Change { place: place.clone(), edit });
    }
}

/// Shortens the key hashes of an account.
fn shorten(value: &Value) -> Value {
    let mut value = value.clone();
    if let Some(Value::Array(hashes)) = value.get_mut(KEY_HASHES) {
        for hash in hashes {
            *hash = shorten_hash(hash);
        }
    }
    value
}

fn shorten_hash(value: &Value) -> Value {
    let shown: String = value.as_str().unwrap_or_default().chars().take(SHOWN_HASH).collect();
    Value::String(format!("{shown}.."))
}
