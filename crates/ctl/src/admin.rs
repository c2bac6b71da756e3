//! Reads the admin address of an instance.

use std::{net::SocketAddr, time::Duration};

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method, Request, StatusCode, Url};
use serde_json::Value;

use crate::error::CallError;

/// The longest answer that is read, in bytes.
const MAX_ANSWER: u64 = 256 << 20;

/// An answer of an instance.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Vec<u8>,
}

/// Reads the state of an instance.
pub(crate) async fn dump(address: SocketAddr, timeout: Duration) -> Result<Value, CallError> {
    let answer = get(address, "/dump", timeout).await?;
    if !answer.status.is_success() {
        return Err(CallError::Status(answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(CallError::Json)
}

/// Sends a request and reads the whole answer within the timeout.
pub(crate) async fn get(
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<Answer, CallError> {
    let late = async {
        Timer::after(timeout).await;
        Err(CallError::Timeout(timeout))
    };
    exchange(address, path).or(late).await
}

async fn exchange(address: SocketAddr, path: &str) -> Result<Answer, CallError> {
    let url = Url::parse(&format!("http://{address}{path}"));
    let url = url.map_err(|err| CallError::Http(err.into()))?;
    let stream = TcpStream::connect(address).await.map_err(CallError::Connect)?;
    let req = Request::new(Method::Get, url);
    let mut res = async_h1::connect(stream, req).await.map_err(CallError::Http)?;
    let mut body = Vec::new();
    let mut reader = res.take_body().take(MAX_ANSWER + 1);
    reader.read_to_end(&mut body).await.map_err(|err| CallError::Http(err.into()))?;
    if body.len() as u64 > MAX_ANSWER {
        return Err(CallError::TooLong(MAX_ANSWER));
    }
    Ok(Answer { status: res.status(), body })
}
