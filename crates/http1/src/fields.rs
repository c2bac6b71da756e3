//! Header fields.

use std::ops::Range;

/// The header fields of a head, as received.
#[derive(Clone, Debug)]
pub struct Fields {
    raw: Box<[u8]>,
    spans: Box<[Span]>,
}

/// Where a field lies in the raw head. `u32` suffices: heads are limited to far less than 4 GiB.
#[derive(Clone, Debug)]
struct Span {
    name: Range<u32>,
    value: Range<u32>,
}

impl Fields {
    /// Copies `raw` and stores where its parsed fields lie.
    pub(crate) fn new(raw: &[u8], parsed: &[httparse::Header<'_>]) -> Self {
        let spans = parsed.iter().map(|field| Span {
            name: span(raw, field.name.as_bytes()),
            value: span(raw, field.value),
        });
        Self { raw: raw.into(), spans: spans.collect() }
    }

    /// Returns the names and values in the order of the head.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.spans.iter().map(|span| {
            let name = std::str::from_utf8(self.bytes(&span.name)).unwrap_or_default();
            (name, self.bytes(&span.value))
        })
    }

    /// Returns the values of all fields with this name, whose case is ignored.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(move |field| field.0.eq_ignore_ascii_case(name)).map(|field| field.1)
    }

    /// Returns the value of the only field with this name; `None` if there are none or several.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a [u8]> {
        let mut values = self.all(name);
        let value = values.next()?;
        values.next().is_none().then_some(value)
    }

    /// Returns the value of the only field with this name as text; `None` if there are none or
    /// several, or if the value is not UTF-8.
    pub fn text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns whether there is a field with this name.
    pub fn has(&self, name: &str) -> bool {
        self.all(name).next().is_some()
    }

    /// Returns whether `token` is one of the comma-separated elements of the fields with this name.
    /// Case is ignored.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(|byte| *byte == b','))
            .any(|element| element.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Returns the bytes of the raw head in a range from [`span`].
    pub(crate) fn bytes(&self, range: &Range<u32>) -> &[u8] {
        &self.raw[range.start as usize..range.end as usize]
    }
}

/// Appends a header field and its line end. The caller must make sure that neither part contains a
/// line break.
pub fn push_field(buf: &mut Vec<u8>, name: &str, value: &[u8]) {
    buf.extend_from_slice(name.as_bytes());
    buf.extend_from_slice(b": ");
    buf.extend_from_slice(value);
    buf.extend_from_slice(b"\r\n");
}

/// Returns where `part` lies in `raw`; `part` must be a slice of `raw`.
pub(crate) fn span(raw: &[u8], part: &[u8]) -> Range<u32> {
    let start = (part.as_ptr() as usize).saturating_sub(raw.as_ptr() as usize);
    let start = start.min(raw.len());
    let end = (start + part.len()).min(raw.len());
    let narrow = |index: usize| u32::try_from(index).unwrap_or(u32::MAX);
    narrow(start)..narrow(end)
}
