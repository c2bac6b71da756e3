//! The header fields of a head.

use std::ops::Range;

/// The header fields of a head, as they came.
#[derive(Clone, Debug)]
pub struct Fields {
    raw: Box<[u8]>,
    spans: Box<[Span]>,
}

/// Where a field lies. Heads are bounded well below 4 GiB.
#[derive(Clone, Debug)]
struct Span {
    name: Range<u32>,
    value: Range<u32>,
}

impl Fields {
    /// Keeps `raw` with the fields that were parsed in it.
    pub(crate) fn new(raw: &[u8], parsed: &[httparse::Header<'_>]) -> Self {
        let spans = parsed
            .iter()
            .map(|it| Span { name: span(raw, it.name.as_bytes()), value: span(raw, it.value) });
        Self { raw: raw.into(), spans: spans.collect() }
    }

    /// Returns the fields in their order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.spans.iter().map(|it| {
            let name = std::str::from_utf8(self.bytes(&it.name)).unwrap_or_default();
            (name, self.bytes(&it.value))
        })
    }

    /// Returns the values of all fields with this name, in any case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(move |it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1)
    }

    /// Returns the value of the only field with this name; nothing if there are several.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a [u8]> {
        let mut values = self.all(name);
        let value = values.next()?;
        values.next().is_none().then_some(value)
    }

    /// Returns the text of the only field with this name.
    pub fn text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns whether a field is there.
    pub fn has(&self, name: &str) -> bool {
        self.all(name).next().is_some()
    }

    /// Returns whether one of the comma-separated elements of a field is `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|it| it.split(|byte| *byte == b','))
            .any(|it| it.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Returns the bytes of the head.
    pub(crate) fn bytes(&self, range: &Range<u32>) -> &[u8] {
        &self.raw[range.start as usize..range.end as usize]
    }
}

/// Writes a header field and the end of its line.
pub fn push_field(buf: &mut Vec<u8>, name: &str, value: &[u8]) {
    buf.extend_from_slice(name.as_bytes());
    buf.extend_from_slice(b": ");
    buf.extend_from_slice(value);
    buf.extend_from_slice(b"\r\n");
}

/// Returns where `part` lies in `raw`, which contains it.
pub(crate) fn span(raw: &[u8], part: &[u8]) -> Range<u32> {
    let start = (part.as_ptr() as usize).saturating_sub(raw.as_ptr() as usize);
    let start = start.min(raw.len());
    let end = (start + part.len()).min(raw.len());
    let narrow = |it: usize| u32::try_from(it).unwrap_or(u32::MAX);
    narrow(start)..narrow(end)
}
