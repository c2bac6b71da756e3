//! The differences between two configurations.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::{Config, Place};

/// Characters of a key hash that a change shows.
const SHOWN_HASH_CHARS: usize = 4;
/// The field with key hashes, which are shown only in part.
const KEY_HASHES: &str = "key_hashes";

/// A difference between two configurations.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Change {
    /// The place that differs. Elements of lists are identified by their names.
    pub place: Place,
    /// The value there in one or both configurations.
    pub edit: Edit,
}

/// The difference at one place.
#[derive(Clone, PartialEq, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// Only the new configuration has the value.
    Added(Value),
    /// Only the old configuration has the value.
    Removed(Value),
    /// Both configurations have a value, and the two differ.
    Changed {
        /// The value in the old configuration.
        old: Value,
        /// The value in the new configuration.
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

/// Returns the differences between two configurations. Key hashes are shortened.
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    // A configuration has only fields that JSON can represent, so neither conversion fails.
    let [old, new] = [old, new].map(|cfg| serde_json::to_value(cfg).unwrap_or_default());
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

/// Compares lists by the names of their elements, or as a whole if not every element has a name of
/// its own.
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
            None => changes.push(Change { place, edit: Edit::Removed(shorten_key_hashes(value)) }),
        }
    }
    for (name, value) in &new_names {
        if !old_names.contains_key(name) {
            let place = place.field(name);
            changes.push(Change { place, edit: Edit::Added(shorten_key_hashes(value)) });
        }
    }
}

fn by_name(list: &[Value]) -> Option<BTreeMap<&str, &Value>> {
    let mut names = BTreeMap::new();
    for value in list {
        let name = value.get("name")?.as_str()?;
        // Orders of different kinds may have the same name.
        if names.insert(name, value).is_some() {
            return None;
        }
    }
    Some(names)
}

/// Compares lists of key hashes, whose order does not matter.
fn compare_sets(place: &Place, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    let [old, new] = [old, new].map(|list| list.as_array().map(Vec::as_slice).unwrap_or_default());
    for value in old.iter().filter(|hash| !new.contains(hash)) {
        let edit = Edit::Removed(shorten_hash(value));
        changes.push(Change { place: place.clone(), edit });
    }
    for value in new.iter().filter(|hash| !old.contains(hash)) {
        let edit = Edit::Added(shorten_hash(value));
        changes.push(Change { place: place.clone(), edit });
    }
}

/// Shortens the key hashes if the value is an account.
fn shorten_key_hashes(value: &Value) -> Value {
    let mut value = value.clone();
    if let Some(Value::Array(hashes)) = value.get_mut(KEY_HASHES) {
        for hash in hashes {
            *hash = shorten_hash(hash);
        }
    }
    value
}

fn shorten_hash(value: &Value) -> Value {
    let shown: String = value.as_str().unwrap_or_default().chars().take(SHOWN_HASH_CHARS).collect();
    Value::String(format!("{shown}.."))
}
