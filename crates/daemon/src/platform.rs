//! Reading the configuration and the instance list from the platform's services.
//!
//! Both are read by long polling: a request names the known version, and the service delays its
//! response until there is another version or the wait time has passed.

use std::{net::SocketAddr, sync::Arc};

use async_io::Timer;
use config::InstanceList;
use control::Event;
use http_types::{Method, Request, StatusCode, Url};
use model::prelude::*;
use rand::RngExt as _;
use serde::Deserialize;
use thiserror::Error;

use crate::{
    Context, deadline,
    http::{Client, ExchangeError},
};

/// Timeout for a service to respond, beyond the time for which it was asked to wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum time between the starts of two reads, which limits the reads of all instances together:
/// if the replicas of a service have different versions, it responds to each read at once.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Reads of the instance list within one lease, the time for which an owner may use its shards
/// after a read.
const READS_PER_LEASE: u64 = 4;

/// Reads the configuration for as long as the process runs.
pub async fn read_config(cx: Context) {
    let platform = &cx.settings.platform;
    let wait = Duration::from_millis(platform.watch_ms);
    let mut reader = DocumentReader::new(&cx, platform.config, &platform.config_path, wait);
    loop {
        let started = cx.clock.now();
        match reader.read().await {
            Ok(Some(text)) => cx.control.send_event(Event::ConfigRead { text }),
            Ok(None) => {}
            Err(err) => {
                log::debug!("cannot read the configuration: {err}");
                cx.control.send_event(Event::ConfigFailed);
                reader.pause().await;
            }
        }
        reader.wait_min_interval(started).await;
    }
}

/// Reads the instance list for as long as the process runs.
pub async fn read_instances(cx: Context) {
    let platform = &cx.settings.platform;
    // A read confirms the list as of the read's start, so it must not wait for long.
    let max_wait = cx.settings.ownership.lease_ms / READS_PER_LEASE;
    let wait = Duration::from_millis(platform.watch_ms.min(max_wait));
    let mut reader = DocumentReader::new(&cx, platform.instances, &platform.instances_path, wait);
    let mut last = None;
    loop {
        let asked_at = cx.clock.now();
        match read_list(&mut reader, &mut last).await {
            Ok(list) => cx.control.send_event(Event::ListRead { asked_at, list }),
            Err(err) => {
                log::debug!("cannot read the instance list: {err}");
                cx.control.send_event(Event::ListFailed);
                reader.pause().await;
            }
        }
        reader.wait_min_interval(asked_at).await;
    }
}

/// Reads the list. Returns the last one if the service reports that it has not changed.
async fn read_list(
    reader: &mut DocumentReader<'_>,
    last: &mut Option<InstanceList>,
) -> Result<InstanceList, ReadError> {
    if let Some(text) = reader.read().await? {
        *last = Some(serde_json::from_str(&text)?);
    }
    last.clone().ok_or(ReadError::NothingRead)
}

/// Why a read failed.
#[derive(Debug, Error)]
enum ReadError {
    /// The service did not respond in time.
    #[error("the service did not respond in time")]
    TimedOut,
    /// The connection failed, or the response was incomplete or malformed.
    #[error("{0}")]
    Exchange(#[from] ExchangeError),
    /// The service responded with a status other than 200 and 304.
    #[error("the service responded with status {0} instead of 200 or 304")]
    Status(StatusCode),
    /// The document is not UTF-8.
    #[error("the document is not UTF-8: {0}")]
    Encoding(#[from] std::string::FromUtf8Error),
    /// The document is not JSON, or not an instance list.
    #[error("the document is malformed: {0}")]
    Document(#[from] serde_json::Error),
    /// The service reports that nothing has changed, but no document was ever read.
    #[error("the service reports no change before a first document was read")]
    NothingRead,
    /// The path in the settings is not the path of a URL.
    #[error("the path in the settings is not the path of a URL")]
    Path,
}

/// The version of a document; its other fields are ignored.
#[derive(Deserialize)]
struct VersionOnly {
    version: u64,
}

/// Reads one document by long polling.
struct DocumentReader<'a> {
    cx: &'a Context,
    address: SocketAddr,
    path: &'a str,
    /// How long the service is asked to wait for a change.
    wait: Duration,
    client: Option<Client>,
    version: Option<u64>,
}

impl<'a> DocumentReader<'a> {
    fn new(cx: &'a Context, address: SocketAddr, path: &'a str, wait: Duration) -> Self {
        Self { cx, address, path, wait, client: None, version: None }
    }

    /// Returns the document, or `None` if it has not changed. The first read does not wait.
    async fn read(&mut self) -> Result<Option<Arc<str>>, ReadError> {
        let by = self.cx.clock.now() + self.wait + RESPONSE_TIMEOUT;
        let req = self.request()?;
        // Taken out, so that a connection with an error is not used again.
        let client = self.client.take();
        let exchange = async {
            let mut client = Client::reuse_or_connect(client, self.address).await?;
            let response = client.exchange(req).await?;
            Ok::<_, ExchangeError>((client, response))
        };
        let result = deadline::until(self.cx.clock, by, exchange).await;
        let (client, response) = result.ok_or(ReadError::TimedOut)??;
        self.client = Some(client);
        match response.res.status() {
            StatusCode::NotModified => Ok(None),
            StatusCode::Ok => self.document(response.body).map(Some),
            status => Err(ReadError::Status(status)),
        }
    }

    fn request(&self) -> Result<Request, ReadError> {
        let mut text = format!("http://{}{}", self.address, self.path);
        if let Some(version) = self.version {
            let separator = if self.path.contains('?') { '&' } else { '?' };
            text.push_str(&format!("{separator}after={version}&wait_ms={}", self.wait.as_millis()));
        }
        let url = Url::parse(&text).map_err(|_| ReadError::Path)?;
        Ok(Request::new(Method::Get, url))
    }

    /// Decodes a document and remembers its version, also if it is lower than the last one: the
    /// reducer decides what to do with it.
    fn document(&mut self, body: Vec<u8>) -> Result<Arc<str>, ReadError> {
        let text = String::from_utf8(body)?;
        self.version = serde_json::from_str::<VersionOnly>(&text).ok().map(|doc| doc.version);
        Ok(text.into())
    }

    /// Waits after a failure. The time is random, so that the instances do not retry together.
    async fn pause(&self) {
        let retry = Duration::from_millis(self.cx.settings.platform.retry_ms);
        let factor = rand::rng().random_range(0.5..1.5);
        Timer::after(retry.mul_f64(factor)).await;
    }

    /// Waits until the next read may start.
    async fn wait_min_interval(&self, started: Time) {
        let next = started + MIN_INTERVAL;
        if self.cx.clock.now() < next {
            self.cx.clock.sleep_until(next).await;
        }
    }
}
