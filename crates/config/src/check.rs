//! The check of documents, which every program runs before it uses one.
//!
//! A document is validated against its schema first, then its fields are checked against each
//! other. Both add to the same [`Findings`], so that one run reports all errors.

mod config;
mod elements;
mod list;
mod settings;

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{Findings, Place, schema::CompiledSchema};

/// The largest document, in bytes: the platform stores no larger value.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// The result of a check.
#[derive(Clone, Debug)]
pub struct Checked<T> {
    /// The document; `None` if the findings contain an error.
    pub document: Option<T>,
    /// All errors and warnings.
    pub findings: Findings,
}

impl<T> Checked<T> {
    /// Returns the document without its warnings, or the findings if it is rejected.
    pub fn into_result(self) -> Result<T, Findings> {
        self.document.ok_or(self.findings)
    }

    fn rejected(findings: Findings) -> Self {
        Self { document: None, findings }
    }
}

/// A type of document that can be checked.
pub(crate) trait Document: DeserializeOwned + JsonSchema {
    /// Returns the compiled schema.
    fn compiled_schema() -> &'static CompiledSchema;

    /// Checks the fields of a document against each other, as far as they are well formed.
    fn check_consistency(doc: &Value, findings: &mut Findings);
}

pub(crate) fn check<T: Document>(text: &str) -> Checked<T> {
    let mut findings = Findings::default();
    if text.len() > MAX_DOCUMENT_BYTES {
        let message =
            format!("has {} bytes, more than the limit of {MAX_DOCUMENT_BYTES}", text.len());
        findings.error(Place::root(), message);
        return Checked::rejected(findings);
    }
    let doc: Value = match serde_json::from_str(text) {
        Ok(doc) => doc,
        Err(err) => {
            findings.error(Place::root(), format!("is not JSON: {err}"));
            return Checked::rejected(findings);
        }
    };
    T::compiled_schema().validate(&doc, &mut findings);
    T::check_consistency(&doc, &mut findings);
    if findings.has_errors() {
        return Checked::rejected(findings);
    }
    // Parses the text again, because a duplicate field is an error only for the document's type: a
    // `Value` keeps the last one.
    match serde_json::from_str(text) {
        Ok(document) => Checked { document: Some(document), findings },
        Err(err) => {
            findings.error(Place::root(), err.to_string());
            Checked::rejected(findings)
        }
    }
}

macro_rules! document {
    ($type:ty, $check_consistency:path) => {
        impl crate::check::Document for $type {
            fn compiled_schema() -> &'static crate::schema::CompiledSchema {
                static SCHEMA: std::sync::LazyLock<crate::schema::CompiledSchema> =
                    std::sync::LazyLock::new(crate::schema::CompiledSchema::of::<$type>);
                &SCHEMA
            }

            fn check_consistency(doc: &serde_json::Value, findings: &mut crate::Findings) {
                $check_consistency(doc, findings);
            }
        }

        impl $type {
            /// Checks a document and returns it, or the findings if they contain an error.
            pub fn parse(text: &str) -> Result<Self, crate::Findings> {
                Self::check(text).into_result()
            }

            /// Checks a document and returns it with its warnings, or the findings alone if they
            /// contain an error.
            pub fn check(text: &str) -> crate::Checked<Self> {
                crate::check::check(text)
            }

            /// Returns the JSON Schema of this type of document.
            pub fn schema() -> serde_json::Value {
                crate::schema::of::<$type>()
            }
        }
    };
}

use document;
