//! Stand-in for the platform: Object API and VM list over HTTP.
//!
//! | Call | Meaning |
//! |---|---|
//! | `GET/PUT/DELETE /objects/<key>` | one object, with `ETag`, `If-Match`, `If-None-Match: *` |
//! | `GET /objects?prefix=` | lists the objects whose keys begin with the prefix |
//! | `GET /watch?prefix=&since=&wait_ms=` | long poll for changes after the version `since` |
//! | `GET /vms`, `PUT /admin/vms` | returns or replaces the VM list |
//! | `PUT /admin/fault`, `GET /admin/calls` | sets the faults; returns the call counters |
//! | `PUT /admin/odd` | sets entries of other writers, of any form, in all lists |

use std::sync::{Arc, Mutex};

use ::object_api::{
    MemoryStore, ObjectStore, ObjectVersion, StoreError, StoreFault, VmEntry, VmList,
    WriteCondition,
    http::{
        NOT_WRITTEN_HEADER, WatchQuery, key_of_path,
        messages::{ObjectMessage, ObjectName, ObjectsMessage},
    },
};
use base::prelude::*;
use http::{HeaderValue, StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::net::TcpListener;
use viz::{Request, RequestExt, Response, Router, types::State};

use crate::server::{
    ConnectionSet, Result, ServerHandle, drop_connection, empty_answer, error_answer, json_answer,
    read_body, read_json, serve_router, state_of,
};

/// Upper limit for `wait_ms`.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// State of the platform at the start.
#[derive(Debug, Clone, Default)]
pub struct PlatformOptions {
    /// Object store to serve; clones share their contents.
    pub store: MemoryStore,
    /// VM list at the start; replaces the list in `store`.
    pub vms: Vec<VmEntry>,
}

/// Injected faults, set by `PUT /admin/fault`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFault {
    /// Every call of the Object API and of the VM list is refused with status 503.
    pub down: bool,
    /// Delay added to each of these calls, in milliseconds.
    pub delay_ms: u64,
    /// Number of next writes to carry out without an answer; their connection is dropped.
    pub lost_answers: u32,
}

/// Entries of other writers, set by `PUT /admin/odd`; they are sent as they are.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OddEntries {
    /// Entries of each list of objects, except those with a name outside its prefix, and of each
    /// watch that returns a change.
    pub objects: Vec<Box<RawValue>>,
    /// Entries of the VM list.
    pub vms: Vec<Box<RawValue>>,
}

/// Answer to a list or watch call with entries of any form.
#[derive(Serialize)]
struct RawList {
    objects: Vec<Box<RawValue>>,
}

type SharedOddEntries = Arc<Mutex<OddEntries>>;

/// Call counters, the answer to `GET /admin/calls`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCalls {
    /// Number of reads of objects and of the VM list, lists and watches.
    pub reads: u64,
    /// Number of writes and deletes.
    pub writes: u64,
}

/// Serves the platform on `listener` until the handle is dropped.
///
/// # Errors
///
/// Fails if the listener has no local address.
pub fn serve(listener: TcpListener, options: PlatformOptions) -> Result<ServerHandle<MemoryStore>> {
    options.store.set_vms(options.vms);
    let router = Router::new()
        .get("/objects", list)
        .get("/objects/*", get)
        .put("/objects/*", put)
        .delete("/objects/*", delete)
        .get("/watch", watch)
        .get("/vms", vms)
        .put("/admin/vms", set_vms)
        .put("/admin/fault", set_fault)
        .put("/admin/odd", set_odd_entries)
        .get("/admin/calls", calls)
        .with(State::new(SharedOddEntries::default()));
    serve_router(listener, router, options.store, ConnectionSet::default())
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

#[derive(Debug, Deserialize)]
struct WatchParams {
    #[serde(default)]
    prefix: String,
    since: u64,
    wait_ms: u64,
}

impl From<WatchParams> for WatchQuery {
    fn from(params: WatchParams) -> Self {
        let since = ObjectVersion(params.since);
        Self { prefix: params.prefix, since, wait_ms: params.wait_ms }
    }
}

async fn store_error_answer(request: &Request, error: StoreError) -> viz::Result<Response> {
    let status = match error {
        StoreError::ConditionFailed => StatusCode::PRECONDITION_FAILED,
        StoreError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        StoreError::AnswerLost | StoreError::BadAnswer => return drop_connection(request).await,
        StoreError::Unavailable | StoreError::RateLimited => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = empty_answer(status);
    response.headers_mut().insert(NOT_WRITTEN_HEADER, HeaderValue::from_static("1"));
    Ok(response)
}

fn with_etag(mut response: Response, version: ObjectVersion) -> Response {
    let tag = HeaderValue::from_str(&format!("\"{version}\"")).expect("digits are valid");
    response.headers_mut().insert(header::ETAG, tag);
    response
}

fn object_key(request: &Request) -> viz::Result<::object_api::ObjectKey> {
    key_of_path(request.path())
        .ok_or_else(|| error_answer(StatusCode::BAD_REQUEST, "the path names no object"))
}

fn if_match_version(request: &Request) -> Option<ObjectVersion> {
    let tag = request.headers().get(header::IF_MATCH)?.to_str().ok()?;
    tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok().map(ObjectVersion)
}

fn write_condition(request: &Request) -> viz::Result<WriteCondition> {
    let absent = request.headers().get(header::IF_NONE_MATCH).is_some_and(|tag| tag == "*");
    if absent {
        return Ok(WriteCondition::Absent);
    }
    if_match_version(request)
        .map(WriteCondition::Version)
        .ok_or_else(|| error_answer(StatusCode::PRECONDITION_REQUIRED, "a condition is needed"))
}

async fn get(request: Request) -> viz::Result<Response> {
    let store = state_of::<MemoryStore>(&request);
    match store.get(&object_key(&request)?).await {
        Ok(Some(object)) => {
            let response = Response::new(http_body_util::Full::new(object.body).into());
            Ok(with_etag(response, object.version))
        }
        Ok(None) => Ok(empty_answer(StatusCode::NOT_FOUND)),
        Err(error) => store_error_answer(&request, error).await,
    }
}

async fn put(mut request: Request) -> viz::Result<Response> {
    let store = state_of::<MemoryStore>(&request);
    let key = object_key(&request)?;
    let condition = write_condition(&request)?;
    let body = read_body(&mut request).await?;
    match store.put(&key, body, condition).await {
        Ok(version) => Ok(with_etag(empty_answer(StatusCode::OK), version)),
        Err(error) => store_error_answer(&request, error).await,
    }
}

async fn delete(request: Request) -> viz::Result<Response> {
    let store = state_of::<MemoryStore>(&request);
    let key = object_key(&request)?;
    let version = if_match_version(&request)
        .ok_or_else(|| error_answer(StatusCode::PRECONDITION_REQUIRED, "a version is needed"))?;
    match store.delete(&key, version).await {
        Ok(()) => Ok(empty_answer(StatusCode::NO_CONTENT)),
        Err(error) => store_error_answer(&request, error).await,
    }
}

async fn list(request: Request) -> viz::Result<Response> {
    let store = state_of::<MemoryStore>(&request);
    let query = request.query::<ListQuery>()?;
    match store.list(&query.prefix).await {
        Ok(objects) => {
            let objects = objects.into_iter().map(ObjectMessage::from).collect::<Vec<_>>();
            Ok(objects_answer(&request, &objects, &query.prefix))
        }
        Err(error) => store_error_answer(&request, error).await,
    }
}

/// Answers with `objects` and the odd entries for `prefix`.
fn objects_answer(request: &Request, objects: &[ObjectMessage], prefix: &str) -> Response {
    let odd = state_of::<SharedOddEntries>(request);
    let odd = odd.lock().expect("no thread panics while holding the lock");
    let has_prefix = |entry: &RawValue| {
        let name = serde_json::from_str::<ObjectName>(entry.get());
        name.map_or(true, |name| name.key.as_str().starts_with(prefix))
    };
    let odd = odd.objects.iter().filter(|entry| has_prefix(entry));
    let objects = objects.iter().map(raw_entry).chain(odd.cloned()).collect::<Vec<_>>();
    json_answer(StatusCode::OK, &RawList { objects })
}

fn raw_entry<T: Serialize>(entry: &T) -> Box<RawValue> {
    serde_json::value::to_raw_value(entry).expect("entries are plain data")
}

async fn watch(request: Request) -> viz::Result<Response> {
    let store = state_of::<MemoryStore>(&request);
    let query = WatchQuery::from(request.query::<WatchParams>()?);
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WATCH_WAIT);
    match store.watch(&query.prefix, query.since, wait).await {
        Ok(changes) if changes.is_empty() => {
            Ok(json_answer(StatusCode::OK, &ObjectsMessage::default()))
        }
        Ok(changes) => {
            let objects = changes.into_iter().map(ObjectMessage::from).collect::<Vec<_>>();
            Ok(objects_answer(&request, &objects, &query.prefix))
        }
        Err(error) => store_error_answer(&request, error).await,
    }
}

async fn vms(request: Request) -> viz::Result<Response> {
    let store = state_of::<MemoryStore>(&request);
    match store.vms().await {
        Ok(vms) => {
            let odd = state_of::<SharedOddEntries>(&request);
            let odd = odd.lock().expect("no thread panics while holding the lock");
            let vms = vms.iter().map(raw_entry).chain(odd.vms.iter().cloned());
            Ok(json_answer(StatusCode::OK, &vms.collect::<Vec<_>>()))
        }
        Err(error) => store_error_answer(&request, error).await,
    }
}

async fn set_vms(mut request: Request) -> viz::Result<Response> {
    let store = state_of::<MemoryStore>(&request);
    store.set_vms(read_json(&mut request).await?);
    Ok(empty_answer(StatusCode::NO_CONTENT))
}

async fn set_fault(mut request: Request) -> viz::Result<Response> {
    let store = state_of::<MemoryStore>(&request);
    let fault = read_json::<PlatformFault>(&mut request).await?;
    store.set_fault(StoreFault {
        down: fault.down,
        delay: Duration::from_millis(fault.delay_ms),
        lost_answers: fault.lost_answers,
    });
    Ok(empty_answer(StatusCode::NO_CONTENT))
}

async fn set_odd_entries(mut request: Request) -> viz::Result<Response> {
    let odd = state_of::<SharedOddEntries>(&request);
    let entries = read_json::<OddEntries>(&mut request).await?;
    *odd.lock().expect("no thread panics while holding the lock") = entries;
    Ok(empty_answer(StatusCode::NO_CONTENT))
}

async fn calls(request: Request) -> viz::Result<Response> {
    let counted = state_of::<MemoryStore>(&request).calls();
    let calls = PlatformCalls { reads: counted.reads, writes: counted.writes };
    Ok(json_answer(StatusCode::OK, &calls))
}
