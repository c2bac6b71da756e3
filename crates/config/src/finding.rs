//! Errors and warnings about a document.

use std::fmt;

use serde::Serialize;

/// Findings beyond this number are only counted, so that a broken document does not fill the log.
const MAX_FINDINGS: usize = 500;

/// The severity of a finding.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The document is accepted, but probably contains a mistake.
    Warning,
    /// The document is rejected.
    Error,
}

/// A place in a document, as a JSON pointer (RFC 6901).
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default, Serialize)]
#[serde(transparent)]
pub struct Place(String);

impl Place {
    /// Returns the place of the whole document.
    pub fn root() -> Self {
        Self::default()
    }

    /// Converts a JSON pointer, whose field names must be escaped already.
    pub(crate) fn from_pointer(pointer: impl Into<String>) -> Self {
        Self(pointer.into())
    }

    /// Returns the place of a field, or of an element that is identified by its name.
    #[must_use]
    pub fn field(&self, name: &str) -> Self {
        let name = name.replace('~', "~0").replace('/', "~1");
        Self(format!("{}/{name}", self.0))
    }

    /// Returns the place of an element of a list.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        Self(format!("{}/{index}", self.0))
    }

    /// Returns the JSON pointer.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() { f.write_str("document") } else { f.write_str(&self.0) }
    }
}

/// An error or a warning.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct Finding {
    /// Whether it rejects the document.
    pub severity: Severity,
    /// The place that it is about.
    pub place: Place,
    /// What is wrong, and what was expected where that is not obvious.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.severity {
            Severity::Error => write!(f, "{}: {}", self.place, self.message),
            Severity::Warning => write!(f, "{}: warning: {}", self.place, self.message),
        }
    }
}

/// The findings of one check. They are displayed one per line.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, thiserror::Error)]
pub struct Findings {
    findings: Vec<Finding>,
    /// The number of findings beyond [`MAX_FINDINGS`].
    left_out: usize,
    /// Whether there is an error, listed or left out.
    refused: bool,
}

impl Findings {
    /// Adds an error, which rejects the document.
    pub fn error(&mut self, place: Place, message: impl Into<String>) {
        self.push(Finding { severity: Severity::Error, place, message: message.into() });
    }

    /// Adds a warning, which does not reject the document.
    pub fn warning(&mut self, place: Place, message: impl Into<String>) {
        self.push(Finding { severity: Severity::Warning, place, message: message.into() });
    }

    /// Returns whether there is an error, which rejects the document.
    pub fn has_errors(&self) -> bool {
        self.refused
    }

    /// Returns whether there are no errors and no warnings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings that are not left out, in the order in which they were added.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.findings.iter()
    }

    fn push(&mut self, finding: Finding) {
        self.refused |= finding.severity == Severity::Error;
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(finding);
        } else {
            self.left_out += 1;
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.findings.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        if self.left_out > 0 {
            write!(f, "\n{} more findings", self.left_out)?;
        }
        Ok(())
    }
}

impl<'a> IntoIterator for &'a Findings {
    type Item = &'a Finding;
    type IntoIter = std::slice::Iter<'a, Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl IntoIterator for Findings {
    type Item = Finding;
    type IntoIter = std::vec::IntoIter<Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.findings.into_iter()
    }
}
