//! HTTP client of the Object API and the VM list.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use base::prelude::ByteSize;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header, request::Builder};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, Error, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::time;

use super::{
    answers::{read_changes, read_failure, read_objects, read_version, read_vms},
    fault_log::FaultLog,
    paths::{list_path, object_path, watch_path},
};
use crate::{
    object::{
        MAX_OBJECT_BYTES, ObjectChange, ObjectKey, ObjectList, ObjectStore, ObjectVersion, Result,
        StoreError, StoredObject, WriteCondition,
    },
    vms::{VmList, VmListing},
};

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle connections kept open for reuse.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Address, timeouts and limits of the client.
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// Address of the platform's service.
    pub address: SocketAddr,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Timeout for a complete answer; the wait of a watch is added to it.
    pub call_timeout: Duration,
    /// Largest answer body; a larger one gives [`StoreError::BadAnswer`].
    pub max_answer: ByteSize,
}

impl ClientSettings {
    /// Settings for the platform at `address` with a connect timeout of 1 s, a call timeout of 3 s
    /// and answers of up to 16 MiB.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(3),
            max_answer: ByteSize::mib(16),
        }
    }
}

/// HTTP client of the platform; clones share its connections.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
    settings: ClientSettings,
    faults: FaultLog,
}

struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Answer {
    fn failure(&self, is_write: bool) -> StoreError {
        read_failure(self.status, &self.headers, is_write)
    }

    fn expect_ok(self, is_write: bool) -> Result<Self> {
        match self.status.is_success() {
            true => Ok(self),
            false => Err(self.failure(is_write)),
        }
    }
}

impl PlatformClient {
    /// Creates a client; it connects at the first call.
    pub fn new(settings: ClientSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(settings.connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client, settings, faults: FaultLog::default() }
    }

    fn request(&self, method: Method, path: &str) -> Builder {
        let uri = format!("http://{}{path}", self.settings.address);
        Request::builder().method(method).uri(uri)
    }

    async fn call(&self, builder: Builder, body: Bytes, wait: Duration) -> Result<Answer> {
        let request = builder.body(Full::new(body)).map_err(|_| StoreError::Unavailable)?;
        let answer = async {
            let response =
                self.client.request(request).await.map_err(|error| send_failure(&error))?;
            self.read_answer(response).await
        };
        let timeout = wait.saturating_add(self.settings.call_timeout);
        time::timeout(timeout, answer).await.unwrap_or(Err(StoreError::AnswerLost))
    }

    async fn read_answer(&self, response: Response<Incoming>) -> Result<Answer> {
        let (parts, body) = response.into_parts();
        let limit = usize::try_from(self.settings.max_answer.0).unwrap_or(usize::MAX);
        let collected = Limited::new(body, limit).collect().await;
        let body = collected.map_err(|error| match error.is::<LengthLimitError>() {
            true => StoreError::BadAnswer,
            false => StoreError::AnswerLost,
        })?;
        Ok(Answer { status: parts.status, headers: parts.headers, body: body.to_bytes() })
    }

    async fn get_path(&self, path: &str, wait: Duration) -> Result<Bytes> {
        let request = self.request(Method::GET, path);
        let answer = self.call(request, Bytes::new(), wait).await?;
        Ok(answer.expect_ok(false)?.body)
    }
}

fn send_failure(error: &Error) -> StoreError {
    match error.is_connect() {
        true => StoreError::Unavailable,
        false => StoreError::AnswerLost,
    }
}

fn version_tag(version: ObjectVersion) -> String {
    format!("\"{version}\"")
}

#[async_trait]
impl ObjectStore for PlatformClient {
    async fn get(&self, key: &ObjectKey) -> Result<Option<StoredObject>> {
        let request = self.request(Method::GET, &object_path(key));
        let answer = self.call(request, Bytes::new(), Duration::ZERO).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let answer = answer.expect_ok(false)?;
        let version = read_version(&answer.headers)?;
        Ok(Some(StoredObject { key: key.clone(), version, body: answer.body }))
    }

    async fn put(
        &self,
        key: &ObjectKey,
        body: Bytes,
        condition: WriteCondition,
    ) -> Result<ObjectVersion> {
        if body.len() > MAX_OBJECT_BYTES {
            return Err(StoreError::BodyTooLarge);
        }
        let request = self.request(Method::PUT, &object_path(key));
        let request = match condition {
            WriteCondition::Absent => request.header(header::IF_NONE_MATCH, "*"),
            WriteCondition::Version(version) => {
                request.header(header::IF_MATCH, version_tag(version))
            }
        };
        let answer = self.call(request, body, Duration::ZERO).await?.expect_ok(true)?;
        read_version(&answer.headers)
    }

    async fn delete(&self, key: &ObjectKey, version: ObjectVersion) -> Result<()> {
        let request = self
            .request(Method::DELETE, &object_path(key))
            .header(header::IF_MATCH, version_tag(version));
        let answer = self.call(request, Bytes::new(), Duration::ZERO).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Err(StoreError::ConditionFailed),
            _ => answer.expect_ok(true).map(drop),
        }
    }

    async fn list_all(&self, prefix: &str) -> Result<ObjectList> {
        let body = self.get_path(&list_path(prefix), Duration::ZERO).await?;
        let read = read_objects(&body, prefix)?;
        self.faults.report(&format!("the list of {prefix}"), read.faults);
        Ok(read.entries)
    }

    async fn watch(
        &self,
        prefix: &str,
        since: ObjectVersion,
        wait: Duration,
    ) -> Result<Vec<ObjectChange>> {
        let body = self.get_path(&watch_path(prefix, since, wait), wait).await?;
        let read = read_changes(&body, prefix)?;
        let is_unreadable = read.entries.is_empty() && !read.faults.is_empty();
        self.faults.report(&format!("the changes of {prefix}"), read.faults);
        // Without a version to go on from, the next watch would be answered at once.
        match is_unreadable {
            true => Err(StoreError::BadAnswer),
            false => Ok(read.entries),
        }
    }
}

#[async_trait]
impl VmList for PlatformClient {
    async fn listing(&self) -> Result<VmListing> {
        let body = self.get_path("/vms", Duration::ZERO).await?;
        let read = read_vms(&body)?;
        self.faults.report("the VM list", read.faults);
        Ok(read.entries)
    }
}
