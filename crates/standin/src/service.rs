//! A plain service: answers with a digest of each call and records every execution.
//!
//! | Call | Meaning |
//! |---|---|
//! | any method on `/services/<name>/...` | one call, executed after the settable time |
//! | `PUT /admin/fault`, `GET /admin/records` | faults, and calls executed |

use std::sync::{Arc, Mutex, MutexGuard};

use base::{clock::since_epoch, prelude::*};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time};
use viz::{Request, RequestExt, Response, Route, Router};

use crate::{
    answers::{call_digest, digest_of},
    server::{
        ConnectionBreaker, Result, ServerHandle, drop_connection, empty_answer, json_answer,
        read_body, read_json, serve_router, state_of,
    },
};

/// How the service behaves.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Name shown in answers, to tell replicas apart.
    pub replica: String,
    /// Time that each call takes.
    pub call_time: Duration,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self { replica: "replica".to_owned(), call_time: Duration::from_millis(5) }
    }
}

/// Faults as set by `PUT /admin/fault`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFault {
    /// Connections are dropped before a call is executed.
    pub down: bool,
    /// Calls take this many times longer.
    pub slow_factor: f64,
    /// This many further calls are executed but lose their answer.
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
    /// Path with the service's name.
    pub path: String,
    /// `Idempotency-Key`, if any.
    pub key: Option<String>,
    /// Digest of the body.
    pub body_digest: String,
    /// Whether the call came to its end.
    pub finished: bool,
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// Replica that executed the call.
    pub replica: String,
    /// Digest of service, method, path and body; see [`call_digest`].
    pub digest: String,
}

/// Calls executed, as told by `GET /admin/records`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecords {
    /// Calls in the order of their starts.
    pub calls: Vec<CallRecord>,
}

#[derive(Debug, Default)]
struct ServiceState {
    fault: ServiceFault,
    records: ServiceRecords,
}

/// The service; clones share their state.
#[derive(Debug, Clone)]
pub struct ServiceServer {
    options: ServiceOptions,
    state: Arc<Mutex<ServiceState>>,
}

impl ServiceServer {
    /// Calls executed so far.
    pub fn records(&self) -> ServiceRecords {
        self.lock().records.clone()
    }

    /// Replaces the faults.
    pub fn set_fault(&self, fault: ServiceFault) {
        self.lock().fault = fault;
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no holder panics")
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

    fn loses_answer(&self) -> bool {
        let fault = &mut self.lock().fault;
        let lost = fault.lost_answers > 0;
        fault.lost_answers = fault.lost_answers.saturating_sub(1);
        lost
    }
}

/// Serves the service on `listener`.
pub fn serve(
    listener: TcpListener,
    options: ServiceOptions,
) -> Result<ServerHandle<ServiceServer>> {
    let server = ServiceServer { options, state: Arc::default() };
    let router = Router::new()
        .route("/services/*", Route::new().any(call))
        .put("/admin/fault", set_fault)
        .get("/admin/records", records);
    serve_router(listener, router, server, ConnectionBreaker::default())
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
        body_digest: digest_of(&[&body]),
        finished: false,
        method,
        path,
    };
    // A plain service finishes what it has begun, also when the caller has gone.
    let executing = server.clone();
    let executed = tokio::spawn(async move { executing.execute(record).await });
    let _finished = executed.await;
    if server.loses_answer() {
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
