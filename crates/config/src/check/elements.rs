//! The elements of a document's lists, as far as they are well formed.

use std::collections::HashMap;

use serde::Deserialize;
use serde_json::Value;

use crate::{Findings, Place};

/// An element of a list.
///
/// The name of an element that is not well formed is kept, so that references to it are not
/// reported as dangling.
pub(crate) struct Element<'a, T> {
    /// Its place in the document.
    pub(crate) place: Place,
    /// Its name, if it has one that is a string.
    pub(crate) name: Option<&'a str>,
    /// The element, if it is well formed.
    pub(crate) value: Option<T>,
}

/// The elements of one list.
pub(crate) struct Elements<'a, T> {
    elements: Vec<Element<'a, T>>,
    /// The index of the first element with each name.
    indexes: HashMap<&'a str, usize>,
    /// Whether the document has the list. If not, references into it are not reported as well.
    is_present: bool,
}

impl<'a, T: Deserialize<'a>> Elements<'a, T> {
    /// Reads the list in this field of the document.
    pub(crate) fn read(doc: &'a Value, field: &str) -> Self {
        let list = doc.get(field).and_then(Value::as_array);
        let place = Place::root().field(field);
        let elements = list.into_iter().flatten().enumerate().map(|(i, value)| Element {
            place: place.index(i),
            name: value.get("name").and_then(Value::as_str),
            value: T::deserialize(value).ok(),
        });
        let elements: Vec<_> = elements.collect();
        let mut indexes = HashMap::new();
        for (i, element) in elements.iter().enumerate() {
            if let Some(name) = element.name {
                indexes.entry(name).or_insert(i);
            }
        }
        Self { elements, indexes, is_present: list.is_some() }
    }
}

impl<'a, T> Elements<'a, T> {
    /// Returns the place and the value of each well-formed element.
    pub(crate) fn well_formed(&self) -> impl Iterator<Item = (&Place, &T)> {
        self.elements.iter().filter_map(|element| Some((&element.place, element.value.as_ref()?)))
    }

    /// Returns whether all elements are well formed.
    pub(crate) fn all_well_formed(&self) -> bool {
        self.elements.iter().all(|element| element.value.is_some())
    }

    /// Returns the first element with this name, if it is well formed.
    pub(crate) fn get(&self, name: &str) -> Option<&T> {
        let index = self.indexes.get(name)?;
        self.elements[*index].value.as_ref()
    }

    /// Reports a reference to a name that no element has.
    pub(crate) fn check_reference(&self, kind: &str, name: &str, place: Place, out: &mut Findings) {
        if self.is_present && !self.indexes.contains_key(name) {
            out.error(place, format!("no {kind} has the name {name:?}"));
        }
    }

    /// Reports names that two elements have, and names with the same hash.
    pub(crate) fn check_names(&self, hash: impl Fn(&str) -> u64, out: &mut Findings) {
        let mut seen: HashMap<u64, &Element<'a, T>> = HashMap::new();
        for element in &self.elements {
            let Some(name) = element.name else { continue };
            let Some(first) = seen.insert(hash(name), element) else { continue };
            let place = element.place.field("name");
            if first.name == Some(name) {
                out.error(place, format!("the name {name:?} is already used by {}", first.place));
            } else {
                out.error(
                    place,
                    format!("the name {name:?} has the same hash as that of {}", first.place),
                );
            }
        }
    }
}
