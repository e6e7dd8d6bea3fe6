//! Stand-in for a plain service: answers each call with its digest and records every execution.
//!
//! | Call | Meaning |
//! |---|---|
//! | any method on `/services/<name>/...` | one call, which takes [`ServiceOptions::call_time`] |
//! | `PUT /admin/fault`, `GET /admin/records` | sets the faults; returns the executed calls |

use std::sync::{Arc, Mutex, MutexGuard};

use base::{clock::since_epoch, prelude::*};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time};
use viz::{Request, RequestExt, Response, Route, Router};

use crate::{
    answers::{call_digest, short_digest},
    server::{
        ConnectionSet, Result, ServerHandle, drop_connection, empty_answer, json_answer, read_body,
        read_json, serve_router, state_of,
    },
};

/// Name and timing of the service.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Replica name in the answers.
    pub replica: String,
    /// Execution time of each call.
    pub call_time: Duration,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self { replica: "replica".to_owned(), call_time: Duration::from_millis(5) }
    }
}

/// Injected faults, set by `PUT /admin/fault`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFault {
    /// Connections are dropped and no call is executed.
    pub down: bool,
    /// Factor by which calls take longer; values below 1 count as 1.
    pub slow_factor: f64,
    /// Number of next calls to execute without an answer; their connection is dropped.
    pub lost_answers: u32,
}

impl Default for ServiceFault {
    fn default() -> Self {
        Self { down: false, slow_factor: 1.0, lost_answers: 0 }
    }
}

/// One executed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// `x-request-id`, empty if absent.
    pub request_id: String,
    /// HTTP method.
    pub method: String,
    /// Full path, `/services/<name>/...`.
    pub path: String,
    /// `Idempotency-Key`, if the call has one.
    pub key: Option<String>,
    /// Digest of the body, see [`short_digest`].
    pub body_digest: String,
    /// Whether the execution is complete.
    pub finished: bool,
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// Name of the replica that executed the call.
    pub replica: String,
    /// Digest of service, method, path and body; see [`call_digest`].
    pub digest: String,
}

/// Executed calls, the answer to `GET /admin/records`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecords {
    /// Calls in order of start.
    pub calls: Vec<CallRecord>,
}

#[derive(Debug, Default)]
struct ServiceState {
    fault: ServiceFault,
    records: ServiceRecords,
}

/// The service stand-in; clones share their state.
#[derive(Debug, Clone)]
pub struct ServiceServer {
    options: ServiceOptions,
    state: Arc<Mutex<ServiceState>>,
}

impl ServiceServer {
    /// Calls executed so far, unfinished ones included.
    pub fn records(&self) -> ServiceRecords {
        self.lock().records.clone()
    }

    /// Replaces the injected faults.
    pub fn set_fault(&self, fault: ServiceFault) {
        self.lock().fault = fault;
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }

    async fn execute(&self, call: CallRecord) {
        let (index, slow_factor) = {
            let mut state = self.lock();
            state.records.calls.push(call);
            (state.records.calls.len() - 1, state.fault.slow_factor.max(1.0))
        };
        let call_time = self.options.call_time.mul_f64(slow_factor);
        if !call_time.is_zero() {
            time::sleep(call_time).await;
        }
        self.lock().records.calls[index].finished = true;
    }

    /// Counts down `lost_answers`; true if the answer must be dropped.
    fn take_lost_answer(&self) -> bool {
        let fault = &mut self.lock().fault;
        let lost = fault.lost_answers > 0;
        fault.lost_answers = fault.lost_answers.saturating_sub(1);
        lost
    }
}

/// Serves the service on `listener` until the handle is dropped.
///
/// # Errors
///
/// Fails if the listener has no local address.
pub fn serve(
    listener: TcpListener,
    options: ServiceOptions,
) -> Result<ServerHandle<ServiceServer>> {
    let server = ServiceServer { options, state: Arc::default() };
    let router = Router::new()
        .route("/services/*", Route::new().any(call))
        .put("/admin/fault", set_fault)
        .get("/admin/records", records);
    serve_router(listener, router, server, ConnectionSet::default())
}

fn header_text(request: &Request, name: &str) -> Option<String> {
    request.headers().get(name)?.to_str().ok().map(str::to_owned)
}

fn service_name(path: &str) -> &str {
    path.split('/').nth(2).unwrap_or_default()
}

async fn call(mut request: Request) -> viz::Result<Response> {
    let server = state_of::<ServiceServer>(&request);
    if server.lock().fault.down {
        return drop_connection(&request).await;
    }
    let body = read_body(&mut request).await?;
    let method = request.method().to_string();
    let path = request.path().to_owned();
    let digest = call_digest(service_name(&path), &method, &path, &body);
    let record = CallRecord {
        started_ms: since_epoch().as_millis() as u64,
        request_id: header_text(&request, "x-request-id").unwrap_or_default(),
        key: header_text(&request, "idempotency-key"),
        body_digest: short_digest(&[&body]),
        finished: false,
        method,
        path,
    };
    // A call runs in its own task: a plain service completes it even if the caller disconnects.
    let executing_server = server.clone();
    let task = tokio::spawn(async move { executing_server.execute(record).await });
    let _finished = task.await;
    if server.take_lost_answer() {
        return drop_connection(&request).await;
    }
    let replica = server.options.replica.clone();
    Ok(json_answer(StatusCode::OK, &CallAnswer { replica, digest }))
}

async fn set_fault(mut request: Request) -> viz::Result<Response> {
    let server = state_of::<ServiceServer>(&request);
    server.set_fault(read_json(&mut request).await?);
    Ok(empty_answer(StatusCode::NO_CONTENT))
}

async fn records(request: Request) -> viz::Result<Response> {
    let server = state_of::<ServiceServer>(&request);
    Ok(json_answer(StatusCode::OK, &server.records()))
}
