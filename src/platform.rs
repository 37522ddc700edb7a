//! The client of the platform's service, and the only module that depends on its wire format.
//!
//! The key-value part is the Consul HTTP API: `GET` and `PUT ...?cas=` under `/v1/kv/`, and
//! blocking queries for watches. The list of VMs is `GET /v1/vms`.

use crate::{http_client, keep_alive};
use awc::http;
use base64::Engine as _;
use base64::engine::general_purpose;
use doorswitch_core::{servers, store};
use futures_util::Stream;
use serde::Deserialize;
use std::time::Duration;
use std::{net, rc};

/// How long a watch waits for a change, in seconds.
pub const WATCH_S: u64 = 10;
/// The largest answer to a router: a value has up to a megabyte, and base64 and JSON make it larger.
const ANSWER_BYTES_MAX: usize = 8 << 20;
/// The largest list of values, which only commands read.
const LIST_BYTES_MAX: usize = 64 << 20;

/// Why a call failed.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("the platform cannot be reached: {fault}"))]
    Unreachable { fault: String },
    #[snafu(display("the platform answered with status {status}"))]
    Status { status: u16 },
    #[snafu(display("the platform's answer is not readable: {fault}"))]
    Unreadable { fault: String },
}

/// A value under its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key in the platform's key-value store.
    pub key: String,
    /// The modification index, which grows with each change.
    pub index: u64,
    /// The value as it is stored.
    pub value: Vec<u8>,
}

/// The list of VMs.
#[derive(Clone, Debug, Deserialize)]
pub struct VmList {
    /// The modification index, which grows with each change.
    pub index: u64,
    /// The listed VMs with their services and states.
    pub vms: Vec<servers::Vm>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Row {
    key: String,
    value: Option<String>,
    modify_index: u64,
}

/// A client of the platform's service. Clones share its connections; all must stay on one thread.
#[derive(Clone)]
pub struct Client {
    inner: rc::Rc<Inner>,
}

struct Inner {
    http: awc::Client,
    url: String,
    timeout: Duration,
}

impl Client {
    /// Creates a client of the service at `url` that binds its connections to `local`, if that is given.
    pub fn new(url: &str, timeout_ms: u64, local: Option<net::IpAddr>) -> Self {
        let timeout = Duration::from_millis(timeout_ms);
        let http = http_client::build(keep_alive::STORE, timeout, local);
        let inner = Inner { http, url: url.trim_end_matches('/').to_owned(), timeout };
        Self { inner: rc::Rc::new(inner) }
    }

    /// Makes a call for the core. Failures of all kinds become [`store::Reply::Unknown`].
    pub async fn call(&self, request: store::Request) -> store::Reply {
        let reply = match request {
            store::Request::Read { key } => self.read(&key).await.map(|entry| match entry {
                Some(entry) => {
                    store::Reply::Found { index: position(entry.index), value: entry.value }
                }
                None => store::Reply::Missing { era: 0 },
            }),
            store::Request::Write { key, expected_index, value, .. } => self
                .write(&key, expected_index.revision, value)
                .await
                .map(|written| match written {
                    true => store::Reply::Written { era: 0 },
                    false => store::Reply::Conflict,
                }),
            store::Request::DeletePrefix { prefix } => {
                self.delete_prefix(&prefix).await.map(|()| store::Reply::Written { era: 0 })
            }
        };
        reply.unwrap_or(store::Reply::Unknown)
    }

    /// Reads the value of one key; `None` if the key is absent.
    pub async fn read(&self, key: &str) -> Result<Option<Entry>, Error> {
        let path = format!("/v1/kv/{key}");
        let rows = self.get_rows(&path, self.inner.timeout, ANSWER_BYTES_MAX).await?;
        Ok(rows.into_iter().next())
    }

    /// Reads all keys under a prefix, in order.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        let path = format!("/v1/kv/{prefix}?recurse");
        self.get_rows(&path, self.inner.timeout * 10, LIST_BYTES_MAX).await
    }

    /// Reads a key once its index is above `index`, or after [`WATCH_S`] seconds.
    pub async fn watch(&self, key: &str, index: u64) -> Result<Option<Entry>, Error> {
        let path = format!("/v1/kv/{key}?index={index}&wait={WATCH_S}s");
        let timeout = Duration::from_secs(WATCH_S) + self.inner.timeout;
        let rows = self.get_rows(&path, timeout, ANSWER_BYTES_MAX).await?;
        Ok(rows.into_iter().next())
    }

    /// Writes one key if its index is still `expected_index`. Returns whether it was written.
    pub async fn write(
        &self,
        key: &str,
        expected_index: u64,
        value: Vec<u8>,
    ) -> Result<bool, Error> {
        let url = format!("{}/v1/kv/{key}?cas={expected_index}", self.inner.url);
        let request = self.inner.http.put(url).timeout(self.inner.timeout);
        let response = request.send_body(value).await.map_err(unreachable)?;
        self.json(response, ANSWER_BYTES_MAX).await
    }

    /// Deletes all keys under a prefix.
    pub async fn delete_prefix(&self, prefix: &str) -> Result<(), Error> {
        let url = format!("{}/v1/kv/{prefix}?recurse", self.inner.url);
        let request = self.inner.http.delete(url).timeout(self.inner.timeout);
        let response = request.send().await.map_err(unreachable)?;
        let _: bool = self.json(response, ANSWER_BYTES_MAX).await?;
        Ok(())
    }

    /// Reads the list of VMs once its index is above `index`, or after [`WATCH_S`] seconds.
    pub async fn vms(&self, index: u64) -> Result<VmList, Error> {
        let url = format!("{}/v1/vms?index={index}&wait={WATCH_S}s", self.inner.url);
        let timeout = Duration::from_secs(WATCH_S) + self.inner.timeout;
        let response =
            self.inner.http.get(url).timeout(timeout).send().await.map_err(unreachable)?;
        self.json(response, ANSWER_BYTES_MAX).await
    }

    async fn get_rows(
        &self,
        path: &str,
        timeout: Duration,
        bytes_max: usize,
    ) -> Result<Vec<Entry>, Error> {
        let url = format!("{}{path}", self.inner.url);
        let response =
            self.inner.http.get(url).timeout(timeout).send().await.map_err(unreachable)?;
        if response.status() == http::StatusCode::NOT_FOUND {
            return Ok(Vec::new());
        }
        let rows: Vec<Row> = self.json(response, bytes_max).await?;
        rows.into_iter().map(Row::decode).collect()
    }

    async fn json<S, T>(
        &self,
        response: awc::ClientResponse<S>,
        bytes_max: usize,
    ) -> Result<T, Error>
    where
        S: Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
        T: serde::de::DeserializeOwned,
    {
        let status = response.status();
        if !status.is_success() {
            return StatusSnafu { status: status.as_u16() }.fail();
        }
        let mut response = response.timeout(self.inner.timeout * 10);
        let body = response.body().limit(bytes_max);
        let body = body.await.map_err(|error| Error::Unreachable { fault: error.to_string() })?;
        serde_json::from_slice(&body).map_err(unreadable)
    }
}

impl Row {
    fn decode(self) -> Result<Entry, Error> {
        let text = self.value.unwrap_or_default();
        let value = general_purpose::STANDARD.decode(text).map_err(unreadable)?;
        Ok(Entry { key: self.key, index: self.modify_index, value })
    }
}

/// Converts an index to a position; the protocol has no eras.
fn position(index: u64) -> store::Position {
    store::Position { era: 0, revision: index }
}

fn unreachable(error: awc::error::SendRequestError) -> Error {
    Error::Unreachable { fault: error.to_string() }
}

fn unreadable(error: impl std::fmt::Display) -> Error {
    Error::Unreadable { fault: error.to_string() }
}
