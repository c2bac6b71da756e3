//! Reading and writing of HTTP/1.1 messages.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// The fields of a message, in order.
pub type Fields = Vec<(String, String)>;

/// Returns the value of the first field with this name.
pub fn field<'a>(fields: &'a Fields, name: &str) -> Option<&'a str> {
    fields.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
}

/// A request that was read whole.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub fields: Fields,
    pub body: Vec<u8>,
}

impl Request {
    pub fn field(&self, name: &str) -> Option<&str> {
        field(&self.fields, name)
    }

    pub fn id(&self) -> &str {
        self.field("X-Clementinehall-Request-Id").unwrap_or_default()
    }
}

/// A response. `is_whole` says whether its framing is complete.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub fields: Fields,
    pub body: Vec<u8>,
    pub is_whole: bool,
}

impl Response {
    pub fn id(&self) -> &str {
        field(&self.fields, "X-Clementinehall-Request-Id").unwrap_or_default()
    }

    pub fn closes(&self) -> bool {
        field(&self.fields, "Connection").is_some_and(|it| it.eq_ignore_ascii_case("close"))
    }
}

/// Reads a request; `None` if the connection ends or breaks before its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (line, fields) = read_head(reader).ok()??;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let body = if let Some(length) = field(&fields, "Content-Length") {
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        body
    } else if field(&fields, "Transfer-Encoding").is_some() {
        read_chunks(reader, &mut Vec::new()).ok()?
    } else {
        Vec::new()
    };
    Some(Request { method, target, fields, body })
}

/// Reads a response to a request with `method`. An error means that not even the head came.
pub fn read_response(reader: &mut BufReader<TcpStream>, method: &str) -> io::Result<Response> {
    let Some((line, fields)) = read_head(reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = line.split(' ').nth(1).and_then(|it| it.parse().ok());
    let Some(status) = status.filter(|_| line.starts_with("HTTP/1.1 ")) else {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("no status line: {line:?}"),
        ));
    };
    let mut res = Response { status, fields, body: Vec::new(), is_whole: true };
    if method == "HEAD" {
        return Ok(res);
    }
    if let Some(length) = field(&res.fields, "Content-Length") {
        let length: u64 = length.parse().unwrap_or(0);
        let read = reader.take(length).read_to_end(&mut res.body);
        res.is_whole = read.is_ok() && res.body.len() as u64 == length;
    } else if field(&res.fields, "Transfer-Encoding").is_some() {
        res.is_whole = read_chunks(reader, &mut res.body).is_ok();
    } else {
        res.is_whole = reader.read_to_end(&mut res.body).is_ok();
    }
    Ok(res)
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(String, Fields)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), fields)));
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a chunked body. What came before an error is in `body`.
fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<Vec<u8>> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "no chunk size"))?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        let mut end = [0; 2];
        reader.read_exact(&mut end)?;
        if size == 0 {
            return Ok(std::mem::take(body));
        }
    }
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
