//! What a check has to say about a document.

use std::fmt;

use serde::Serialize;

/// A list of findings ends here, so that a broken document does not fill the log.
const MAX_FINDINGS: usize = 500;

/// How much a finding weighs.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The document is usable, but probably not what was meant.
    Warning,
    /// The document is refused.
    Error,
}

/// The place of a finding, a JSON pointer (RFC 6901).
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default, Serialize)]
#[serde(transparent)]
pub struct Place(String);

impl Place {
    /// The whole document.
    pub fn root() -> Self {
        Self::default()
    }

    /// Takes a JSON pointer as it is.
    pub(crate) fn from_pointer(pointer: impl Into<String>) -> Self {
        Self(pointer.into())
    }

    /// The place of a field, or of an element that is known by its name.
    #[must_use]
    pub fn field(&self, name: &str) -> Self {
        let name = name.replace('~', "~0").replace('/', "~1");
        Self(format!("{}/{name}", self.0))
    }

    /// The place of an element of a list.
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

/// What a check found at one place.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct Finding {
    /// How much it weighs.
    pub severity: Severity,
    /// Where it is.
    pub place: Place,
    /// What it is.
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

/// All findings of one check, printed one a line.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, thiserror::Error)]
pub struct Findings {
    findings: Vec<Finding>,
    /// Findings that were dropped because there were too many.
    left_out: usize,
    /// Whether an error was found, be it listed or dropped.
    refused: bool,
}

impl Findings {
    /// Adds a finding that refuses the document.
    pub fn error(&mut self, place: Place, message: impl Into<String>) {
        self.push(Finding { severity: Severity::Error, place, message: message.into() });
    }

    /// Adds a finding that does not refuse the document.
    pub fn warning(&mut self, place: Place, message: impl Into<String>) {
        self.push(Finding { severity: Severity::Warning, place, message: message.into() });
    }

    /// Returns whether a finding refuses the document.
    pub fn has_errors(&self) -> bool {
        self.refused
    }

    /// Returns whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings in the order in which they were made.
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
