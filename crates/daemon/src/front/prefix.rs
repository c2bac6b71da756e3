//! The fields of a request's body that are used for routing.

use model::prelude::*;
use serde::Deserialize;
use serde_json::Value;

/// Bytes of a prompt that are hashed, from its start.
const PREFIX_BYTES: usize = 512;

/// The fields of a body that are used for routing.
#[derive(Debug, Default, Deserialize)]
pub(super) struct BodyFields {
    /// The name of the requested model, which is that of the pool.
    #[serde(default)]
    pub(super) model: Option<String>,
    #[serde(default)]
    prompt: Option<Value>,
    #[serde(default)]
    messages: Option<Vec<Value>>,
}

impl BodyFields {
    /// Parses a body. Returns `None` if it is not a JSON object with these fields.
    pub(super) fn parse(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// Hashes the start of the prompt, or of the messages if there is no prompt.
    fn prefix(&self) -> Option<PrefixHash> {
        let mut text = String::new();
        match (&self.prompt, &self.messages) {
            (Some(prompt), _) => append(&mut text, prompt),
            (None, Some(messages)) => messages.iter().for_each(|msg| append(&mut text, msg)),
            (None, None) => return None,
        }
        Some(hash(text.as_bytes()))
    }
}

/// Hashes the prefix of a request that engines may have cached: of the prompt, or of the whole body
/// if it has none.
pub(super) fn prefix_of(fields: Option<&BodyFields>, body: &[u8]) -> PrefixHash {
    fields.and_then(BodyFields::prefix).unwrap_or_else(|| hash(body))
}

fn hash(bytes: &[u8]) -> PrefixHash {
    let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
    PrefixHash::of(&String::from_utf8_lossy(prefix))
}

/// Appends all strings of a value, until `text` has at least [`PREFIX_BYTES`].
fn append(text: &mut String, value: &Value) {
    if text.len() >= PREFIX_BYTES {
        return;
    }
    match value {
        Value::String(string) => text.push_str(string),
        Value::Array(items) => items.iter().for_each(|item| append(text, item)),
        Value::Object(fields) => fields.values().for_each(|field| append(text, field)),
        Value::Null | Value::Bool(_) | Value::Number(_) => {}
    }
}
