//! Reading HTTP/1.1 messages, as far as the stand-ins need it.

use std::{
    io::{self, BufRead, Read},
    net::TcpStream,
};

/// A message whose head was read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Message {
    pub(crate) first_line: String,
    pub(crate) fields: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        field.map(|it| it.1.as_str())
    }

    /// Returns the id of the request that this is, or answers.
    pub(crate) fn id(&self) -> &str {
        self.field("X-Clementinehall-Request-Id").unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub(crate) fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub(crate) fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a head; `None` if the connection ended before its first byte.
pub(crate) fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { first_line: line.trim_end().to_owned(), ..Message::default() };
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.fields.push((name.to_owned(), value.trim().to_owned()));
    }
    Ok(Some(message))
}

/// Reads a request with its body; `None` if the connection ended.
pub(crate) fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    let length = message.field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Reads a response with its body. Returns whether it is complete by its framing.
pub(crate) fn read_response(reader: &mut impl BufRead) -> io::Result<(Message, bool)> {
    let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut message = head;
    let is_complete = if let Some(length) = message.field("content-length") {
        let length: u64 = length.parse().unwrap_or(0);
        let read = reader.take(length).read_to_end(&mut message.body)?;
        read as u64 == length
    } else if message.field("transfer-encoding").is_some() {
        read_chunks(reader, &mut message.body)?
    } else {
        reader.read_to_end(&mut message.body)?;
        true
    };
    Ok((message, is_complete))
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let Ok(size) = u64::from_str_radix(line.trim(), 16) else { return Ok(false) };
        if reader.take(size).read_to_end(body)? as u64 != size {
            return Ok(false);
        }
        line.clear();
        reader.read_line(&mut line)?;
        if size == 0 {
            return Ok(true);
        }
    }
}

/// Ends a connection in both directions.
pub(crate) fn shut(stream: &TcpStream) {
    // The peer may have closed it already.
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
