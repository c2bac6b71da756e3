//! HTTP requests to the admin address of an instance.

use std::{net::SocketAddr, time::Duration};

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method, Request, StatusCode, Url};
use serde_json::Value;

use crate::error::CallError;

/// The largest response body that is read.
const MAX_BODY_BYTES: u64 = 256 << 20;

/// The response to a request.
pub(crate) struct AdminResponse {
    pub(crate) status: StatusCode,
    pub(crate) body: Vec<u8>,
}

/// Returns the state of an instance as JSON, within the timeout.
pub(crate) async fn dump(address: SocketAddr, timeout: Duration) -> Result<Value, CallError> {
    let res = get(address, "/dump", timeout).await?;
    if !res.status.is_success() {
        return Err(CallError::Status(res.status));
    }
    serde_json::from_slice(&res.body).map_err(CallError::Json)
}

/// Sends a GET request and reads the whole response within the timeout.
pub(crate) async fn get(
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<AdminResponse, CallError> {
    let expired = async {
        Timer::after(timeout).await;
        Err(CallError::Timeout(timeout))
    };
    exchange(address, path).or(expired).await
}

async fn exchange(address: SocketAddr, path: &str) -> Result<AdminResponse, CallError> {
    let url = Url::parse(&format!("http://{address}{path}"));
    let url = url.map_err(|err| CallError::Http(err.into()))?;
    let stream = TcpStream::connect(address).await.map_err(CallError::Connect)?;
    let req = Request::new(Method::Get, url);
    let mut res = async_h1::connect(stream, req).await.map_err(CallError::Http)?;
    let mut body = Vec::new();
    let mut reader = res.take_body().take(MAX_BODY_BYTES + 1);
    reader.read_to_end(&mut body).await.map_err(|err| CallError::Http(err.into()))?;
    if body.len() as u64 > MAX_BODY_BYTES {
        return Err(CallError::TooLarge(MAX_BODY_BYTES));
    }
    Ok(AdminResponse { status: res.status(), body })
}
