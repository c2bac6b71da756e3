//! Format of log lines.

use std::{
    fmt,
    io::{self, Write},
};

use env_logger::fmt::Formatter;
use log::{
    Record,
    kv::{self, Key, Value, VisitSource},
};

/// Writes a record as one line.
pub(crate) fn write(buf: &mut Formatter, instance: &str, record: &Record<'_>) -> io::Result<()> {
    let time = buf.timestamp_millis();
    let message = Quoted(record.args().to_string());
    write!(buf, "{time} {:5} {message} instance={}", record.level(), Quoted(instance.to_owned()))?;
    let mut fields = Fields { buf, result: Ok(()) };
    // `fields.result` holds the first error.
    let _ = record.key_values().visit(&mut fields);
    fields.result?;
    writeln!(buf, " target={}", record.target())
}

/// Writes the fields of a record as `key=value`.
struct Fields<'a> {
    buf: &'a mut Formatter,
    result: io::Result<()>,
}

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        if self.result.is_ok() {
            self.result = write!(self.buf, " {key}={}", Quoted(value.to_string()));
        }
        Ok(())
    }
}

/// Text that is quoted and escaped unless it is a single word, so that no logged input can forge a
/// field or a line.
struct Quoted(String);

impl fmt::Display for Quoted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_word_char = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
        if !self.0.is_empty() && self.0.chars().all(is_word_char) {
            f.write_str(&self.0)
        } else {
            write!(f, "{:?}", self.0)
        }
    }
}
