//! Stand-in for a model engine: continuous batching, load and unload orders, fault injection.
//!
//! | Call | Meaning |
//! |---|---|
//! | `POST /v1/chat/completions` | complete or streamed answer of a loaded model or adapter |
//! | `POST /v1/cancel` | cancels a request by its id |
//! | `POST /admin/load`, `POST /admin/unload` | load and unload orders, answered when complete |
//! | `GET /admin/list` | models, caches and memory |
//! | `GET /admin/load_report` | running and waiting requests, late by the report lag |
//! | `PUT /admin/fault`, `GET /admin/records` | sets the faults; returns the records |

mod batch;
mod chat;
mod crash;
pub mod messages;
mod models;
mod options;
mod orders;
mod records;
mod reports;

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU64, Ordering},
};

use base::prelude::*;
use http::StatusCode;
use tokio::{net::TcpListener, sync::watch};
use viz::{Handler, Next, Request, RequestExt, Response, Router};

use self::{batch::BatchQueue, models::ModelTable};
pub use self::{
    messages::{
        CancelOrder, CancelState, ChatMessage, ChatRequest, EngineListing, LoadOrder, LoadReport,
        ModelKey, ModelListing, ModelState, UnloadOrder,
    },
    options::{CacheTier, EngineFault, EngineOptions},
    records::{
        CrashRecord, EngineRecords, ExecutionEnd, ExecutionRecord, HoldingRecord, OrderKind,
        OrderRecord,
    },
};
use crate::server::{
    ConnectionSet, Result, ServerHandle, drop_connection, empty_answer, json_answer, read_json,
    serve_router, state_of,
};

#[derive(Debug)]
struct EngineState {
    fault: EngineFault,
    table: ModelTable,
    records: EngineRecords,
    /// End of the restart after the last crash.
    unavailable_until: Option<Instant>,
}

/// The engine stand-in; clones share their state.
#[derive(Debug, Clone)]
pub struct EngineServer {
    options: Arc<EngineOptions>,
    state: Arc<Mutex<EngineState>>,
    batch: BatchQueue,
    connections: ConnectionSet,
    incarnations: Arc<AtomicU64>,
    model_changes: watch::Sender<u64>,
    report_history: reports::ReportHistory,
}

impl EngineServer {
    fn new(options: EngineOptions) -> Self {
        let table = ModelTable::new(options.memory, options.cached.clone());
        let state = EngineState {
            fault: EngineFault::default(),
            table,
            records: EngineRecords::default(),
            unavailable_until: None,
        };
        Self {
            batch: BatchQueue::new(options.batch_size),
            options: Arc::new(options),
            state: Arc::new(Mutex::new(state)),
            connections: ConnectionSet::default(),
            incarnations: Arc::default(),
            model_changes: watch::Sender::new(0),
            report_history: reports::ReportHistory::default(),
        }
    }

    /// Requests, orders and crashes so far; a crash keeps them.
    pub fn records(&self) -> EngineRecords {
        self.lock().records.clone()
    }

    /// Replaces the injected faults.
    pub fn set_fault(&self, fault: EngineFault) {
        self.lock().fault = fault;
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }

    /// Number of crashes so far; tasks of an earlier incarnation stop.
    fn incarnation(&self) -> u64 {
        self.incarnations.load(Ordering::SeqCst)
    }

    fn apply_slow_factor(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.lock().fault.slow_factor.max(1.0))
    }

    /// Wakes the tasks that wait for a model to change its state.
    fn notify_model_change(&self) {
        self.model_changes.send_modify(|count| *count += 1);
    }

    fn is_down(&self) -> bool {
        let state = self.lock();
        state.fault.down || state.unavailable_until.is_some_and(|until| Instant::now() < until)
    }
}

/// Serves the engine on `listener` until the handle is dropped.
///
/// # Errors
///
/// Fails if the listener has no local address.
pub fn serve(listener: TcpListener, options: EngineOptions) -> Result<ServerHandle<EngineServer>> {
    let server = EngineServer::new(options);
    let router = Router::new()
        .post("/v1/chat/completions", chat::complete)
        .post("/v1/cancel", chat::cancel)
        .post("/admin/load", orders::load)
        .post("/admin/unload", orders::unload)
        .get("/admin/list", reports::list)
        .get("/admin/load_report", reports::load_report)
        .with_handler(refuse_while_down)
        .put("/admin/fault", set_fault)
        .get("/admin/records", records);
    let connections = server.connections.clone();
    let mut handle = serve_router(listener, router, server.clone(), connections)?;
    handle.attach(tokio::spawn(batch::run_batches(server.clone())));
    handle.attach(tokio::spawn(reports::sample_load(server)));
    Ok(handle)
}

/// Drops the connection while the engine is down or restarts after a crash.
async fn refuse_while_down<H>((request, handler): Next<Request, H>) -> viz::Result<Response>
where
    H: Handler<Request, Output = viz::Result<Response>>,
{
    let server = state_of::<EngineServer>(&request);
    match server.is_down() {
        true => drop_connection(&request).await,
        false => handler.call(request).await,
    }
}

async fn set_fault(mut request: Request) -> viz::Result<Response> {
    let server = state_of::<EngineServer>(&request);
    server.set_fault(read_json(&mut request).await?);
    Ok(empty_answer(StatusCode::NO_CONTENT))
}

async fn records(request: Request) -> viz::Result<Response> {
    let server = state_of::<EngineServer>(&request);
    Ok(json_answer(StatusCode::OK, &server.records()))
}

fn header_text(request: &Request, name: &str) -> Option<String> {
    request.header::<_, String>(name)
}
