//! What the body of a request says about routing.

use model::prelude::*;
use serde::Deserialize;
use serde_json::Value;

/// Bytes of a prompt that are hashed.
const PREFIX_BYTES: usize = 512;

/// The fields of a body that matter to routing.
#[derive(Debug, Default, Deserialize)]
pub(super) struct BodyFields {
    /// The name of the model.
    #[serde(default)]
    pub(super) model: Option<String>,
    #[serde(default)]
    prompt: Option<Value>,
    #[serde(default)]
    messages: Option<Vec<Value>>,
}

impl BodyFields {
    /// Parses a body, which must be a JSON object.
    pub(super) fn parse(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// Hashes the start of the prompt, or of the first messages.
    fn prefix(&self) -> Option<PrefixHash> {
        let mut text = String::new();
        match (&self.prompt, &self.messages) {
            (Some(prompt), _) => append(&mut text, prompt),
            (None, Some(messages)) => messages.iter().for_each(|it| append(&mut text, it)),
            (None, None) => return None,
        }
        Some(hash(text.as_bytes()))
    }
}

/// Hashes the part of a request that engines may have cached.
pub(super) fn prefix_of(fields: Option<&BodyFields>, body: &[u8]) -> PrefixHash {
    fields.and_then(BodyFields::prefix).unwrap_or_else(|| hash(body))
}

fn hash(bytes: &[u8]) -> PrefixHash {
    let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
    PrefixHash::of(&String::from_utf8_lossy(prefix))
}

/// Appends all strings of a value until there are enough bytes.
fn append(text: &mut String, value: &Value) {
    if text.len() >= PREFIX_BYTES {
        return;
    }
    match value {
        Value::String(it) => text.push_str(it),
        Value::Array(items) => items.iter().for_each(|it| append(text, it)),
        Value::Object(fields) => fields.values().for_each(|it| append(text, it)),
        Value::Null | Value::Bool(_) | Value::Number(_) => {}
    }
}
