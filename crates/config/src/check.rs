//! The check that every document passes before it is used, the same everywhere.
//!
//! A document is validated against the schema of its type first, then its parts are checked
//! against each other. Both report into the same [`Findings`], so that one run shows all.

mod config;
mod list;
mod rows;
mod settings;

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{Findings, Place, schema::Compiled};

/// The largest document, in bytes: what the platform holds as one value.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// The outcome of a check.
#[derive(Clone, Debug)]
pub struct Checked<T> {
    /// The document, if nothing refuses it.
    pub document: Option<T>,
    /// What was found, warnings included.
    pub findings: Findings,
}

impl<T> Checked<T> {
    /// Returns the document, or what refuses it.
    pub fn into_result(self) -> Result<T, Findings> {
        self.document.ok_or(self.findings)
    }

    fn refused(findings: Findings) -> Self {
        Self { document: None, findings }
    }
}

/// A type of document that can be checked.
pub(crate) trait Document: DeserializeOwned + JsonSchema {
    /// Returns the compiled schema.
    fn compiled() -> &'static Compiled;

    /// Checks the parts of a document against each other, as far as they can be read.
    fn review(doc: &Value, findings: &mut Findings);
}

pub(crate) fn check<T: Document>(text: &str) -> Checked<T> {
    let mut findings = Findings::default();
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!("{} bytes are more than {MAX_DOCUMENT_BYTES}", text.len());
        findings.error(Place::root(), message);
        return Checked::refused(findings);
    }
    let doc: Value = match serde_json::from_str(text) {
        Ok(doc) => doc,
        Err(err) => {
            findings.error(Place::root(), format!("is not JSON: {err}"));
            return Checked::refused(findings);
        }
    };
    T::compiled().validate(&doc, &mut findings);
    T::review(&doc, &mut findings);
    if findings.has_errors() {
        return Checked::refused(findings);
    }
    // Reads the text again, because only this refuses a field that stands twice.
    match serde_json::from_str(text) {
        Ok(document) => Checked { document: Some(document), findings },
        Err(err) => {
            findings.error(Place::root(), err.to_string());
            Checked::refused(findings)
        }
    }
}

macro_rules! document {
    ($type:ty, $review:path) => {
        impl crate::check::Document for $type {
            fn compiled() -> &'static crate::schema::Compiled {
                static COMPILED: std::sync::LazyLock<crate::schema::Compiled> =
                    std::sync::LazyLock::new(crate::schema::Compiled::of::<$type>);
                &COMPILED
            }

            fn review(doc: &serde_json::Value, findings: &mut crate::Findings) {
                $review(doc, findings);
            }
        }

        impl $type {
            /// Checks a document and returns it, or everything that was found.
            pub fn parse(text: &str) -> Result<Self, crate::Findings> {
                Self::check(text).into_result()
            }

            /// Checks a document and returns the warnings with it.
            pub fn check(text: &str) -> crate::Checked<Self> {
                crate::check::check(text)
            }

            /// Returns the JSON Schema.
            pub fn schema() -> serde_json::Value {
                crate::schema::of::<$type>()
            }
        }
    };
}

use document;
