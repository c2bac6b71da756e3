//! The elements of a document's lists, as far as they can be read.

use std::collections::HashMap;

use serde::Deserialize;
use serde_json::Value;

use crate::{Findings, Place};

/// An element of a list.
///
/// An element that its schema refuses still has a name, so that references to it are not reported
/// as dangling.
pub(crate) struct Row<'a, T> {
    /// Where it stands.
    pub(crate) place: Place,
    /// Its name, if it has one.
    pub(crate) name: Option<&'a str>,
    /// The element, if it is well formed.
    pub(crate) item: Option<T>,
}

/// The elements of one list.
pub(crate) struct Rows<'a, T> {
    rows: Vec<Row<'a, T>>,
    /// The first element of each name.
    names: HashMap<&'a str, usize>,
    /// Whether the document has the list at all.
    present: bool,
}

impl<'a, T: Deserialize<'a>> Rows<'a, T> {
    /// Reads the list in a field of the document.
    pub(crate) fn read(doc: &'a Value, field: &str) -> Self {
        let list = doc.get(field).and_then(Value::as_array);
        let place = Place::root().field(field);
        let rows = list.into_iter().flatten().enumerate().map(|(i, value)| Row {
            place: place.index(i),
            name: value.get("name").and_then(Value::as_str),
            item: T::deserialize(value).ok(),
        });
        let rows: Vec<_> = rows.collect();
        let mut names = HashMap::new();
        for (i, row) in rows.iter().enumerate() {
            if let Some(name) = row.name {
                names.entry(name).or_insert(i);
            }
        }
        Self { rows, names, present: list.is_some() }
    }
}

impl<'a, T> Rows<'a, T> {
    /// Returns the place and the value of each well-formed element.
    pub(crate) fn items(&self) -> impl Iterator<Item = (&Place, &T)> {
        self.rows.iter().filter_map(|it| Some((&it.place, it.item.as_ref()?)))
    }

    /// Returns whether all elements are well formed.
    pub(crate) fn are_whole(&self) -> bool {
        self.rows.iter().all(|it| it.item.is_some())
    }

    /// Returns the well-formed element with this name.
    pub(crate) fn get(&self, name: &str) -> Option<&T> {
        let index = self.names.get(name)?;
        self.rows[*index].item.as_ref()
    }

    /// Reports a name that no element has.
    pub(crate) fn check_reference(&self, kind: &str, name: &str, place: Place, out: &mut Findings) {
        if self.present && !self.names.contains_key(name) {
            out.error(place, format!("no {kind} has the name {name:?}"));
        }
    }

    /// Reports names that stand twice or share their id.
    pub(crate) fn check_names(&self, id: impl Fn(&str) -> u64, out: &mut Findings) {
        let mut seen: HashMap<u64, &Row<'a, T>> = HashMap::new();
        for row in &self.rows {
            let Some(name) = row.name else { continue };
            let Some(first) = seen.insert(id(name), row) else { continue };
            let place = row.place.field("name");
            if first.name == Some(name) {
                out.error(place, format!("the name {name:?} is taken by {}", first.place));
            } else {
                out.error(place, format!("the name {name:?} has the same id as {}", first.place));
            }
        }
    }
}
