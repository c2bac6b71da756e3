//! For any input, the check does not panic and reports the same findings each time. An accepted
//! document that is serialized and checked again is accepted and unchanged.

#![allow(clippy::unwrap_used)]

use bolero::{ValueGenerator, generator::produce};
use config::{Catalog, Checked, Config, InstanceList, Settings, diff};
use serde::Serialize;
use serde_json::{Value, json};

const SEEDS: u64 = 400;

/// A change of one value in a document. The numbers select the place and the new value modulo the
/// possible ones, so that any numbers are a valid change.
#[derive(Clone, Debug, bolero::TypeGenerator)]
struct Mutation {
    place: u16,
    value: u8,
    number: i64,
}

fn config() -> Value {
    let text = include_str!("../../../examples/config.json");
    serde_json::from_str(text).unwrap()
}

fn settings() -> Value {
    let text = include_str!("../../../examples/settings.json");
    serde_json::from_str(text).unwrap()
}

fn list() -> Value {
    json!({
        "version": 1,
        "instances": [
            { "name": "a", "zone": "north", "peer": "10.0.0.1:7000", "state": "leaving" },
            { "name": "b", "zone": "north", "peer": "10.0.0.2:7000" },
        ],
    })
}

fn mutate(mut doc: Value, mutations: &[Mutation]) -> Value {
    for mutation in mutations {
        let pointers = pointers(&doc);
        let pointer = &pointers[usize::from(mutation.place) % pointers.len()];
        let others = &pointers[usize::from(mutation.value) * 7 % pointers.len()];
        let copy = doc.pointer(others).cloned().unwrap();
        apply(doc.pointer_mut(pointer).unwrap(), mutation, copy);
    }
    doc
}

fn apply(value: &mut Value, mutation: &Mutation, copy: Value) {
    *value = match mutation.value % 8 {
        0 => Value::Null,
        1 => json!(mutation.number),
        2 => json!(f64::from_bits(mutation.number.cast_unsigned())),
        3 => json!("x".repeat(usize::from(mutation.place) % 200)),
        4 => json!(mutation.number % 16),
        5 => json!([]),
        6 => json!({ "name": "x" }),
        _ => copy,
    };
}

/// Returns the JSON pointers of all values in a document.
fn pointers(doc: &Value) -> Vec<String> {
    let mut found = vec![String::new()];
    let children: Vec<(String, &Value)> = match doc {
        Value::Array(list) => {
            list.iter().enumerate().map(|(i, child)| (i.to_string(), child)).collect()
        }
        Value::Object(fields) => fields
            .iter()
            .map(|(name, child)| (name.replace('~', "~0").replace('/', "~1"), child))
            .collect(),
        _ => Vec::new(),
    };
    for (name, child) in children {
        found.extend(pointers(child).into_iter().map(|pointer| format!("/{name}{pointer}")));
    }
    found
}

/// Checks a text twice, compares the results and returns whether it is accepted.
fn is_accepted<T: Serialize + PartialEq>(text: &str, check: fn(&str) -> Checked<T>) -> bool {
    let [first, second] = [check(text), check(text)];
    assert_eq!(first.findings, second.findings);
    assert_eq!(first.document.is_none(), first.findings.has_errors(), "{}", first.findings);
    let Some(document) = first.document else { return false };

    let again = check(&serde_json::to_string(&document).unwrap());
    assert!(again.document.as_ref() == Some(&document), "{text}: {}", again.findings);
    true
}

/// Checks mutated documents.
fn check_mutated<T: Serialize + PartialEq>(doc: fn() -> Value, check: fn(&str) -> Checked<T>) {
    let mutations = produce::<Vec<Mutation>>().with().len(0..4usize);
    let accepted = std::cell::Cell::new(0u64);
    seeded::check(mutations, SEEDS, |mutations| {
        let text = mutate(doc(), mutations).to_string();
        if is_accepted(&text, check) {
            accepted.set(accepted.get() + 1);
        }
    });
    // The test covers little unless some of the documents are accepted and some rejected.
    assert!((1..SEEDS).contains(&accepted.get()), "{} accepted", accepted.get());
}

#[test]
fn mutated_configurations_are_checked_consistently() {
    check_mutated(config, Config::check);
}

#[test]
fn mutated_settings_are_checked_consistently() {
    check_mutated(settings, Settings::check);
}

#[test]
fn mutated_instance_lists_are_checked_consistently() {
    check_mutated(list, InstanceList::check);
}

#[test]
fn any_text_is_checked_consistently() {
    let texts = produce::<Vec<u8>>().with().len(0..200usize);
    seeded::check(
        texts.map_gen(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
        SEEDS,
        |text| {
            is_accepted(text, Config::check);
            is_accepted(text, Settings::check);
            is_accepted(text, InstanceList::check);
        },
    );
}

#[test]
fn truncated_and_corrupted_texts_are_checked_consistently() {
    let text = config().to_string();
    seeded::check_type::<(u16, u8)>(SEEDS, |(at, byte)| {
        let at = usize::from(*at) % text.len();
        let mut corrupted = text.clone().into_bytes();
        corrupted[at] = *byte;

        is_accepted(&text[..at], Config::check);
        is_accepted(&String::from_utf8_lossy(&corrupted), Config::check);
    });
}

/// A recursive parser without a limit of depth would overflow the stack.
#[test]
fn deeply_nested_texts_are_rejected() {
    for open in ["[", "{\"zones\":", "{\"a\":["] {
        assert!(!is_accepted(&open.repeat(100_000), Config::check));
    }
}

#[test]
fn accepted_configurations_are_indexed_and_compared() {
    let mutations = produce::<Vec<Mutation>>().with().len(0..4usize);
    let original = Config::parse(&config().to_string()).unwrap();
    seeded::check(mutations, SEEDS, |mutations| {
        let Ok(cfg) = Config::parse(&mutate(config(), mutations).to_string()) else { return };

        let catalog = Catalog::new(&cfg);

        assert_eq!(catalog.accounts.len(), cfg.accounts.len());
        assert_eq!(catalog.servers.len(), cfg.servers.len());
        assert!(diff(&cfg, &cfg).is_empty());
        assert!(diff(&original, &cfg).iter().all(|change| !change.to_string().is_empty()));
    });
}
