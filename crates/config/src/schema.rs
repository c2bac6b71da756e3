//! JSON Schemas, generated from the documents' types, and validation against them.

use std::borrow::Cow;

use jsonschema::{ValidationError, Validator, error::ValidationErrorKind};
use schemars::{
    JsonSchema, Schema, SchemaGenerator, generate::SchemaSettings, json_schema,
    transform::RecursiveTransform,
};
use serde_json::{Map, Value, json};

use crate::{Findings, Place};

/// Names, which also appear in logs, metrics and headers.
pub(crate) const NAME: &str = "^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$";
/// Names of pools and of what engines run: model names contain slashes, colons and the like.
pub(crate) const MODEL_NAME: &str = "^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}$";
/// A SHA-256 hash in hexadecimal digits.
pub(crate) const KEY_HASH: &str = "^[0-9a-fA-F]{64}$";
/// A method name: a token of HTTP, of at most 32 characters.
pub(crate) const METHOD: &str = "^[!#$%&'*+.^_`|~0-9A-Za-z-]{1,32}$";
/// A path as in a request line, without query and fragment (RFC 3986).
pub(crate) const PATH: &str = "^/[A-Za-z0-9._~!$&'()*+,;=:@%/-]{0,1023}$";
/// The longest time that a document may contain, in milliseconds.
pub(crate) const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Characters of an unknown field's name that a finding shows.
const SHOWN_NAME_CHARS: usize = 64;
/// The `format` of addresses in schemas.
const ADDRESS_FORMAT: &str = "ip-and-port";

/// Stands for a socket address in schemas.
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

/// Generates the schema of a document.
pub(crate) fn of<T: JsonSchema>() -> Value {
    let settings = SchemaSettings::draft2020_12()
        .with_transform(RecursiveTransform(forbid_null))
        .with_transform(RecursiveTransform(add_integer_bounds));
    settings.into_generator().into_root_schema_for::<T>().to_value()
}

/// A validator for a schema, or why the schema could not be compiled.
pub(crate) struct CompiledSchema(Result<Validator, String>);

impl CompiledSchema {
    /// Compiles the schema of a document.
    pub(crate) fn of<T: JsonSchema>() -> Self {
        let options = jsonschema::options()
            .should_validate_formats(true)
            .with_format(ADDRESS_FORMAT, |text: &str| text.parse::<std::net::SocketAddr>().is_ok());
        Self(options.build(&of::<T>()).map_err(|err| err.to_string()))
    }

    /// Adds an error for each violation of the schema.
    pub(crate) fn validate(&self, doc: &Value, findings: &mut Findings) {
        match &self.0 {
            Ok(validator) => {
                for err in validator.iter_errors(doc) {
                    add_error(&err, findings);
                }
            }
            Err(err) => findings.error(Place::root(), format!("cannot compile the schema: {err}")),
        }
    }
}

fn add_error(err: &ValidationError<'_>, findings: &mut Findings) {
    let place = Place::from_pointer(err.instance_path().as_str());
    match err.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            for name in unexpected {
                let name: String = name.chars().take(SHOWN_NAME_CHARS).collect();
                findings.error(place.field(&name), "unknown field");
            }
        }
        ValidationErrorKind::Required { property } => {
            let name = property.as_str().unwrap_or_default();
            findings.error(place.field(name), "field is missing");
        }
        ValidationErrorKind::OneOfNotValid { context } => {
            findings.error(place, format!("is not one of {}", allowed_constants(context)));
        }
        ValidationErrorKind::Format { .. } => {
            findings.error(place, "is not an IP address with a port");
        }
        _ => findings.error(place, describe(err)),
    }
}

/// Returns the constants that are allowed, separated by commas.
fn allowed_constants(context: &[Vec<ValidationError<'_>>]) -> String {
    let constants = context.iter().flatten().filter_map(|err| match err.kind() {
        ValidationErrorKind::Constant { expected_value } => Some(expected_value.to_string()),
        _ => None,
    });
    constants.collect::<Vec<_>>().join(", ")
}

/// Describes a violation. Only numbers are shown: a string may be a key in the wrong place, and
/// findings are logged.
fn describe(err: &ValidationError<'_>) -> String {
    if err.instance().is_number() {
        err.to_string()
    } else {
        err.masked_with("the value").to_string()
    }
}

/// Forbids `null` as a value: an optional field is left out instead.
fn forbid_null(schema: &mut Schema) {
    let Some(object) = schema.as_object_mut() else { return };
    if let Some(Value::Array(types)) = object.get_mut("type") {
        types.retain(|name| name != "null");
        if let [only] = types.as_slice() {
            let only = only.clone();
            object.insert("type".to_owned(), only);
        }
    }
    if let Some(Value::Array(mut variants)) = object.remove("anyOf") {
        variants.retain(|variant| *variant != json!({ "type": "null" }));
        match (variants.len(), variants.pop()) {
            (1, Some(Value::Object(only))) => object.extend(only),
            (_, last) => {
                variants.extend(last);
                object.insert("anyOf".to_owned(), Value::Array(variants));
            }
        }
    }
}

/// Adds the maximum of 32-bit and 64-bit integers, whose schemas have only a format.
fn add_integer_bounds(schema: &mut Schema) {
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
