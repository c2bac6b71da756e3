//! Reads of the platform's services: the configuration and the instance list.
//!
//! Both are watched: a read names the version that is known and waits at the service until there
//! is another one.

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
    Traffic, deadline,
    http::{Client, ExchangeError},
};

/// Time for a service to answer, beyond the time for which it was asked to wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Shortest time between the starts of two reads: a service whose replicas differ answers each
/// watch at once, and the reads of all instances together are limited.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Reads of the instance list within the time for which a read lets an owner go on.
const READS_PER_LEASE: u64 = 4;

/// Watches the configuration service for as long as the process runs.
pub async fn read_config(cx: Traffic) {
    let platform = &cx.settings.platform;
    let wait = Duration::from_millis(platform.watch_ms);
    let mut reader = Reader::new(&cx, platform.config, &platform.config_path, wait);
    loop {
        let started = cx.clock.now();
        match reader.read().await {
            Ok(Some(text)) => cx.link.event(Event::ConfigRead { text }),
            Ok(None) => {}
            Err(err) => {
                log::debug!("cannot read the configuration: {err}");
                cx.link.event(Event::ConfigFailed);
                reader.pause().await;
            }
        }
        reader.keep_interval(started).await;
    }
}

/// Watches the instance list for as long as the process runs.
pub async fn read_instances(cx: Traffic) {
    let platform = &cx.settings.platform;
    // A read proves the list as of its start, so it must not wait for long.
    let longest = cx.settings.ownership.lease_ms / READS_PER_LEASE;
    let wait = Duration::from_millis(platform.watch_ms.min(longest));
    let mut reader = Reader::new(&cx, platform.instances, &platform.instances_path, wait);
    let mut last = None;
    loop {
        let asked_at = cx.clock.now();
        match read_list(&mut reader, &mut last).await {
            Ok(list) => cx.link.event(Event::ListRead { asked_at, list }),
            Err(err) => {
                log::debug!("cannot read the instance list: {err}");
                cx.link.event(Event::ListFailed);
                reader.pause().await;
            }
        }
        reader.keep_interval(asked_at).await;
    }
}

/// Reads the list; the last one if the service says that there is no other.
async fn read_list(
    reader: &mut Reader<'_>,
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
    /// The service did not answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// The service gave no whole response.
    #[error("{0}")]
    Exchange(#[from] ExchangeError),
    /// The service answered with a status that has no document.
    #[error("status {0}")]
    Status(StatusCode),
    /// The document is not UTF-8.
    #[error("the document is not UTF-8: {0}")]
    Encoding(#[from] std::string::FromUtf8Error),
    /// The document is not what it should be.
    #[error("the document is malformed: {0}")]
    Document(#[from] serde_json::Error),
    /// The service says that nothing changed, but nothing was ever read.
    #[error("the service has no document")]
    NothingRead,
    /// The path in the settings is not the path of a URL.
    #[error("the path is malformed")]
    Path,
}

/// The version of a document, whatever else is in it.
#[derive(Deserialize)]
struct VersionOnly {
    version: u64,
}

/// Watches one document.
struct Reader<'a> {
    cx: &'a Traffic,
    address: SocketAddr,
    path: &'a str,
    /// How long the service is asked to wait for a change.
    wait: Duration,
    client: Option<Client>,
    version: Option<u64>,
}

impl<'a> Reader<'a> {
    fn new(cx: &'a Traffic, address: SocketAddr, path: &'a str, wait: Duration) -> Self {
        Self { cx, address, path, wait, client: None, version: None }
    }

    /// Returns the document, or `None` if it did not change. The first read does not wait.
    async fn read(&mut self) -> Result<Option<Arc<str>>, ReadError> {
        let by = self.cx.clock.now() + self.wait + ANSWER_TIMEOUT;
        let req = self.request()?;
        // An error leaves no connection behind.
        let client = self.client.take();
        let exchange = async {
            let mut client = match client {
                Some(client) => client,
                None => Client::connect(self.address).await?,
            };
            let reply = client.exchange(req).await?;
            Ok::<_, ExchangeError>((client, reply))
        };
        let done = deadline::until(self.cx.clock, by, exchange).await;
        let (client, reply) = done.ok_or(ReadError::TimedOut)??;
        self.client = Some(client);
        match reply.res.status() {
            StatusCode::NotModified => Ok(None),
            StatusCode::Ok => self.document(reply.body).map(Some),
            status => Err(ReadError::Status(status)),
        }
    }

    fn request(&self) -> Result<Request, ReadError> {
        let mut text = format!("http://{}{}", self.address, self.path);
        if let Some(version) = self.version {
            let mark = if self.path.contains('?') { '&' } else { '?' };
            text.push_str(&format!("{mark}after={version}&wait_ms={}", self.wait.as_millis()));
        }
        let url = Url::parse(&text).map_err(|_| ReadError::Path)?;
        Ok(Request::new(Method::Get, url))
    }

    /// Notes the version that came, also where it is lower than one before: the control state
    /// decides what to do with it.
    fn document(&mut self, body: Vec<u8>) -> Result<Arc<str>, ReadError> {
        let text = String::from_utf8(body)?;
        self.version = serde_json::from_str::<VersionOnly>(&text).ok().map(|it| it.version);
        Ok(text.into())
    }

    /// Waits after a failure, for a time that differs between instances.
    async fn pause(&self) {
        let retry = Duration::from_millis(self.cx.settings.platform.retry_ms);
        let factor = rand::rng().random_range(0.5..1.5);
        Timer::after(retry.mul_f64(factor)).await;
    }

    async fn keep_interval(&self, started: Time) {
        let next = started + MIN_INTERVAL;
        if self.cx.clock.now() < next {
            self.cx.clock.sleep_until(next).await;
        }
    }
}
