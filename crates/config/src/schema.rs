//! JSON Schemas, made from the types, and the validators compiled from them.

use std::borrow::Cow;

use jsonschema::{ValidationError, Validator, error::ValidationErrorKind};
use schemars::{
    JsonSchema, Schema, SchemaGenerator, generate::SchemaSettings, json_schema,
    transform::RecursiveTransform,
};
use serde_json::{Map, Value, json};

use crate::{Findings, Place};

/// Names that end up in logs, metrics and headers.
pub(crate) const NAME: &str = "^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$";
/// Names of pools and of what engines run: model names come with slashes, colons and the like.
pub(crate) const MODEL_NAME: &str = "^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}$";
/// The hexadecimal form of a SHA-256 hash.
pub(crate) const KEY_HASH: &str = "^[0-9a-fA-F]{64}$";
/// A token of HTTP.
pub(crate) const METHOD: &str = "^[!#$%&'*+.^_`|~0-9A-Za-z-]{1,32}$";
/// A path as it stands in a request line, without query and fragment (RFC 3986).
pub(crate) const PATH: &str = "^/[A-Za-z0-9._~!$&'()*+,;=:@%/-]{0,1023}$";
/// No time in a document is longer, in milliseconds.
pub(crate) const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// The longest part of a field's name that a finding repeats, in characters.
const SHOWN_NAME: usize = 64;
const ADDRESS_FORMAT: &str = "ip-and-port";

/// Stands for an address in schemas.
pub(crate) struct Address;

impl JsonSchema for Address {
    fn schema_name() -> Cow<'static, str> {
        "Address".into()
    }

    fn inline_schema() -> bool {
        true
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "type": "string", "format": ADDRESS_FORMAT })
    }
}

/// Makes the schema of a document.
pub(crate) fn of<T: JsonSchema>() -> Value {
    let settings = SchemaSettings::draft2020_12()
        .with_transform(RecursiveTransform(refuse_null))
        .with_transform(RecursiveTransform(bound_integers));
    settings.into_generator().into_root_schema_for::<T>().to_value()
}

/// A schema ready for use.
pub(crate) struct Compiled(Result<Validator, String>);

impl Compiled {
    /// Compiles the schema of a document.
    pub(crate) fn of<T: JsonSchema>() -> Self {
        let options = jsonschema::options()
            .should_validate_formats(true)
            .with_format(ADDRESS_FORMAT, |text: &str| text.parse::<std::net::SocketAddr>().is_ok());
        Self(options.build(&of::<T>()).map_err(|err| err.to_string()))
    }

    /// Adds a finding for everything in a document that its schema does not allow.
    pub(crate) fn validate(&self, doc: &Value, findings: &mut Findings) {
        match &self.0 {
            Ok(validator) => {
                for err in validator.iter_errors(doc) {
                    report(&err, findings);
                }
            }
            Err(err) => findings.error(Place::root(), format!("the schema is not usable: {err}")),
        }
    }
}

fn report(err: &ValidationError<'_>, findings: &mut Findings) {
    let place = Place::from_pointer(err.instance_path().as_str());
    match err.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            for name in unexpected {
                let name: String = name.chars().take(SHOWN_NAME).collect();
                findings.error(place.field(&name), "unknown field");
            }
        }
        ValidationErrorKind::Required { property } => {
            let name = property.as_str().unwrap_or_default();
            findings.error(place.field(name), "field is missing");
        }
        ValidationErrorKind::OneOfNotValid { context } => {
            findings.error(place, format!("is not one of {}", choices(context)));
        }
        ValidationErrorKind::Format { .. } => {
            findings.error(place, "is not an IP address with a port");
        }
        _ => findings.error(place, describe(err)),
    }
}

/// Lists the constants among which a value was to be chosen.
fn choices(context: &[Vec<ValidationError<'_>>]) -> String {
    let constants = context.iter().flatten().filter_map(|err| match err.kind() {
        ValidationErrorKind::Constant { expected_value } => Some(expected_value.to_string()),
        _ => None,
    });
    constants.collect::<Vec<_>>().join(", ")
}

/// Describes a violation. Only numbers are repeated: a string may be a key that somebody put in
/// the wrong place, and findings go to logs.
fn describe(err: &ValidationError<'_>) -> String {
    if err.instance().is_number() {
        err.to_string()
    } else {
        err.masked_with("the value").to_string()
    }
}

/// An optional field is left out, not set to null.
fn refuse_null(schema: &mut Schema) {
    let Some(object) = schema.as_object_mut() else { return };
    if let Some(Value::Array(types)) = object.get_mut("type") {
        types.retain(|it| it != "null");
        if let [only] = types.as_slice() {
            let only = only.clone();
            object.insert("type".to_owned(), only);
        }
    }
    if let Some(Value::Array(mut variants)) = object.remove("anyOf") {
        variants.retain(|it| *it != json!({ "type": "null" }));
        match (variants.len(), variants.pop()) {
            (1, Some(Value::Object(only))) => object.extend(only),
            (_, last) => {
                variants.extend(last);
                object.insert("anyOf".to_owned(), Value::Array(variants));
            }
        }
    }
}

/// Adds the bounds of the integer types, which JSON does not know.
fn bound_integers(schema: &mut Schema) {
    let Some(object) = schema.as_object_mut() else { return };
    match object.get("format").and_then(Value::as_str) {
        Some("uint32") => set_maximum(object, u32::MAX.into()),
        Some("uint" | "uint64") => set_maximum(object, u64::MAX),
        _ => {}
    }
}

fn set_maximum(object: &mut Map<String, Value>, maximum: u64) {
    object.entry("maximum").or_insert_with(|| maximum.into());
}
