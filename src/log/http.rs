//! Client of the platform's log and list of hosts over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use attohttpc::RequestBuilder;
use serde::Deserialize;
use serde_json::Value;

use super::AppendError;
use super::Batch;
use super::Host;
use super::List;
use super::Log;
use super::ReadError;
use crate::id::Offset;

/// Maximum wait for a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum wait for a response, in addition to the requested wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the platform's HTTP interface.
///
/// `POST /streams/<name>/records` appends the JSON body and returns `{"offset": n}`.
/// `GET /streams/<name>/records?from=n&wait_ms=n` returns a [`Batch`].
/// `GET /hosts` returns `{"hosts": [..]}`.
#[derive(Debug, Clone)]
pub struct Http {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Deserialize)]
struct Hosts {
    hosts: Vec<Host>,
}

impl Http {
    /// Returns a client of the platform at `address`.
    ///
    /// ```
    /// let platform = pistachiohall::log::http::Http::new("127.0.0.1:9".parse().unwrap());
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Http { address }
    }

    fn request(&self, method: Method, path: &str, wait: Duration) -> RequestBuilder {
        RequestBuilder::new(method, format!("http://{}{path}", self.address))
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(RESPONSE_TIMEOUT + wait)
            .read_timeout(RESPONSE_TIMEOUT + wait)
    }

    fn get<T>(&self, path: &str, wait: Duration) -> Result<T, ReadError>
    where
        T: for<'de> Deserialize<'de>,
    {
        let read_error = |cause: &dyn std::fmt::Display| ReadError(cause.to_string());
        let response = self
            .request(Method::GET, path, wait)
            .send()
            .and_then(attohttpc::Response::error_for_status)
            .map_err(|cause| read_error(&cause))?;
        let body = response.bytes().map_err(|cause| read_error(&cause))?;
        serde_json::from_slice(&body).map_err(|cause| read_error(&cause))
    }
}

impl Log for Http {
    fn append(&self, stream: &str, data: &Value) -> Result<Offset, AppendError> {
        let path = format!("/streams/{stream}/records");
        let response = self
            .request(Method::POST, &path, Duration::ZERO)
            .text(data.to_string())
            .send()
            .map_err(
                |cause| match crate::upstream::is_before_first_byte(&cause) {
                    true => AppendError::Refused(cause.to_string()),
                    false => AppendError::Unknown(cause.to_string()),
                },
            )?;
        let status = response.status();
        let unknown = |cause: &dyn std::fmt::Display| AppendError::Unknown(cause.to_string());
        if !status.is_success() {
            return Err(unknown(&status));
        }
        let body = response.bytes().map_err(|cause| unknown(&cause))?;
        let appended: Appended = serde_json::from_slice(&body).map_err(|cause| unknown(&cause))?;
        Ok(appended.offset)
    }

    fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}/records?from={from}&wait_ms={wait_ms}");
        self.get(&path, wait)
    }
}

impl List for Http {
    fn hosts(&self) -> Result<Vec<Host>, ReadError> {
        self.get::<Hosts>("/hosts", Duration::ZERO)
            .map(|response| response.hosts)
    }
}
