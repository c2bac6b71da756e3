//! Serves callers over HTTP.

use async_net::TcpListener;

use crate::Traffic;

/// Serves callers until the process stops listening and the last connection has ended.
pub async fn serve(cx: Traffic, listener: TcpListener) {
    let _ = (cx, listener);
}
