//! The grammar of server-sent events.

use memchr::{memchr, memchr_iter, memchr2};

use crate::status_line::contains_status_line;

/// The field names that the HTML standard defines for server-sent events.
const EVENT_FIELDS: [&str; 4] = ["data", "event", "id", "retry"];
/// Bytes that may precede the first line of a stream, which receivers ignore.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Returns whether `bytes` is one complete server-sent event, up to and with its blank line.
///
/// This is stricter than the HTML standard, in which any bytes are a stream of events and receivers
/// ignore what they do not understand. A relay uses it to find bytes that belong to no event, such
/// as those of a second response of a server.
///
/// * Each line ends in LF, CR LF or CR, as in the standard. Behind a line that ends otherwise, a CR
///   alone does not end the blank line: it is the beginning of a CR LF. No line ends in a CR alone if
///   another one ends in CR LF: the CR may be where the server's bytes were cut off, and the lines
///   behind it those of another stream.
/// * Each line before the blank one is a comment, a field whose name is a token (RFC 9110, section
///   5.6.2), or consists of spaces and tabs. A name that the standard does not define needs a colon,
///   so that the size of a chunk is not a field.
/// * The event is UTF-8, except that a server may cut text between any two bytes: parts of characters
///   may stand in its data and comments if it has no control characters. Binary data mostly has some,
///   or bytes that are in no character.
/// * No status line of an HTTP/1 response stands in the event with a header field behind it. The
///   status line may begin within a line and ends in CR LF; any line behind it that is a field with
///   a name that the standard of events does not define is a header field. A response that is quoted
///   in lines of data is content, if fields that the standard does not define come before it.
///
/// A byte order mark may precede the event, as it may precede a stream. The blank line alone is an
/// event without fields.
///
/// A foreign response remains undetected if it begins within a line and its head has no field, or
/// only fields with names of events in lower case. So does a CR LF that is cut in the first line of an
/// event, if lines that end in LF or CR follow.
pub fn is_event(bytes: &[u8]) -> bool {
    if !is_text(bytes) || mixes_cr_and_cr_lf(bytes) {
        return false;
    }
    let mut rest = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    let mut has_status_line = false;
    let mut is_after_cr = false;
    while let Some((line, end, after)) = split_line(rest) {
        if line.is_empty() {
            return after.is_empty() && (end != LineEnd::Cr || is_after_cr);
        }
        if !is_line(line) || (has_status_line && is_unknown_field(line)) {
            return false;
        }
        has_status_line |= end == LineEnd::CrLf && contains_status_line(line);
        is_after_cr = end == LineEnd::Cr;
        rest = after;
    }
    false
}

/// What ends a line.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum LineEnd {
    Lf,
    CrLf,
    Cr,
}

/// Returns the first line, what ends it, and the bytes behind it.
fn split_line(bytes: &[u8]) -> Option<(&[u8], LineEnd, &[u8])> {
    let len = memchr2(b'\n', b'\r', bytes)?;
    let (line, rest) = bytes.split_at(len);
    Some(match rest {
        [b'\r', b'\n', after @ ..] => (line, LineEnd::CrLf, after),
        [b'\r', after @ ..] => (line, LineEnd::Cr, after),
        _ => (line, LineEnd::Lf, &rest[1..]),
    })
}

/// Returns whether both a CR alone and a CR LF stand in the bytes.
fn mixes_cr_and_cr_lf(bytes: &[u8]) -> bool {
    let is_cr_lf = |index: usize| bytes.get(index + 1) == Some(&b'\n');
    let has_cr_lf = memchr_iter(b'\r', bytes).any(is_cr_lf);
    has_cr_lf && memchr_iter(b'\r', bytes).any(|index| !is_cr_lf(index))
}

/// Returns whether the bytes are UTF-8, or whole characters and parts of such without control
/// characters.
fn is_text(bytes: &[u8]) -> bool {
    if std::str::from_utf8(bytes).is_ok() {
        return true;
    }
    // C0, C1 and F5 to FF are in no character.
    let is_part = |byte: &u8| !matches!(byte, 0xc0 | 0xc1 | 0xf5..);
    let is_control = |byte: &u8| byte.is_ascii_control() && !b"\t\n\r".contains(byte);
    bytes.iter().all(|byte| is_part(byte) && !is_control(byte))
}

fn is_line(line: &[u8]) -> bool {
    let (name, has_colon) = split_name(line);
    if name.is_empty() || name == b"data" {
        return true;
    }
    let is_named = has_colon && name.iter().all(|byte| is_token_byte(*byte));
    let is_blank = line.iter().all(|byte| b" \t".contains(byte));
    (is_named || is_event_field(name) || is_blank) && std::str::from_utf8(line).is_ok()
}

fn is_event_field(name: &[u8]) -> bool {
    EVENT_FIELDS.iter().any(|field| field.as_bytes() == name)
}

fn is_unknown_field(line: &[u8]) -> bool {
    let (name, has_colon) = split_name(line);
    has_colon && !name.is_empty() && !is_event_field(name)
}

/// Returns the name of the line's field, which is empty for a comment, and whether a colon follows.
fn split_name(line: &[u8]) -> (&[u8], bool) {
    match memchr(b':', line) {
        Some(len) => (&line[..len], true),
        None => (line, false),
    }
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
