//! Serves operators over HTTP: state dump, health and readiness.

use async_net::TcpListener;

use crate::Traffic;

/// Serves operators for as long as the process runs.
pub async fn serve(cx: Traffic, listener: TcpListener) {
    let _ = (cx, listener);
}
