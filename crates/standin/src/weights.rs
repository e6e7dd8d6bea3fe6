//! A rate-limited weight store: a few transfers run at full speed, more share the same rate.
//!
//! | Call | Meaning |
//! |---|---|
//! | `GET /weights/<model>` | one transfer; answered when it is complete |
//! | `PUT /admin/fault`, `GET /admin/records` | faults, and transfers made |

use std::sync::{Arc, Mutex, MutexGuard};

use base::{clock::since_epoch, prelude::*};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, sync::watch, time};
use viz::{Request, RequestExt, Response, Router};

use crate::server::{
    ConnectionBreaker, Result, ServerHandle, empty_answer, error_answer, json_answer, read_json,
    serve_router, state_of,
};

/// How fast the weight store is.
#[derive(Debug, Clone, Copy)]
pub struct WeightOptions {
    /// Transfers completed each second while the store is fully used.
    pub rate: EventRate,
    /// Transfers that run at full speed at the same time.
    pub full_speed: u32,
}

impl Default for WeightOptions {
    fn default() -> Self {
        Self { rate: EventRate(3.0), full_speed: 4 }
    }
}

/// Faults as set by `PUT /admin/fault`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightFault {
    /// Every transfer is refused.
    pub down: bool,
    /// Transfers take this many times longer.
    pub slow_factor: f64,
}

impl Default for WeightFault {
    fn default() -> Self {
        Self { down: false, slow_factor: 1.0 }
    }
}

/// One transfer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRecord {
    /// Model or adapter transferred.
    pub model: String,
    /// Start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Time taken, in milliseconds; absent if the transfer was not completed.
    pub took_ms: Option<u64>,
}

/// Transfers, as told by `GET /admin/records`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightRecords {
    /// Transfers in the order of their starts.
    pub transfers: Vec<TransferRecord>,
    /// Most transfers that ran at the same time.
    pub peak_in_flight: u32,
}

#[derive(Debug, Default)]
struct WeightState {
    fault: WeightFault,
    in_flight: u32,
    records: WeightRecords,
}

/// The weight store; clones share their state.
#[derive(Debug, Clone)]
pub struct WeightServer {
    options: WeightOptions,
    state: Arc<Mutex<WeightState>>,
    speed: watch::Sender<f64>,
}

/// A transfer under way; dropping it frees its part of the rate.
struct TransferGuard<'a> {
    server: &'a WeightServer,
}

impl Drop for TransferGuard<'_> {
    fn drop(&mut self) {
        self.server.change(|state| state.in_flight -= 1);
    }
}

impl WeightServer {
    fn new(options: WeightOptions) -> Self {
        Self { options, state: Arc::default(), speed: watch::Sender::new(1.0) }
    }

    /// Transfers made so far.
    pub fn records(&self) -> WeightRecords {
        self.lock().records.clone()
    }

    /// Replaces the faults.
    pub fn set_fault(&self, fault: WeightFault) {
        self.change(|state| state.fault = fault);
    }

    fn lock(&self) -> MutexGuard<'_, WeightState> {
        self.state.lock().expect("no holder panics")
    }

    fn change(&self, apply: impl FnOnce(&mut WeightState)) {
        let mut state = self.lock();
        apply(&mut state);
        let share = f64::from(self.options.full_speed) / f64::from(state.in_flight.max(1));
        let speed = share.min(1.0) / state.fault.slow_factor.max(1.0);
        self.speed.send_replace(speed);
    }

    fn begin(&self, model: &str) -> usize {
        let mut index = 0;
        self.change(|state| {
            state.in_flight += 1;
            let records = &mut state.records;
            records.peak_in_flight = records.peak_in_flight.max(state.in_flight);
            index = records.transfers.len();
            let started_ms = since_epoch().as_millis() as u64;
            records.transfers.push(TransferRecord {
                model: model.to_owned(),
                started_ms,
                took_ms: None,
            });
        });
        index
    }

    /// Transfers one model and returns the time taken.
    async fn transfer(&self, model: &str) -> Duration {
        let started = Instant::now();
        let index = self.begin(model);
        let _guard = TransferGuard { server: self };
        self.move_bytes().await;
        let took = started.elapsed();
        self.lock().records.transfers[index].took_ms = Some(took.as_millis() as u64);
        took
    }

    /// Waits as long as the bytes need, at a speed that changes with the other transfers.
    async fn move_bytes(&self) {
        let mut speeds = self.speed.subscribe();
        let mut left = f64::from(self.options.full_speed) / self.options.rate.0;
        loop {
            let speed = *speeds.borrow_and_update();
            let began = Instant::now();
            let wait = Duration::from_secs_f64(left / speed);
            match time::timeout(wait, speeds.changed()).await {
                Err(_) => return,
                Ok(_) => left = (left - began.elapsed().as_secs_f64() * speed).max(0.0),
            }
        }
    }
}

/// Serves the weight store on `listener`.
pub fn serve(listener: TcpListener, options: WeightOptions) -> Result<ServerHandle<WeightServer>> {
    let router = Router::new()
        .get("/weights/*", transfer)
        .put("/admin/fault", set_fault)
        .get("/admin/records", records);
    serve_router(listener, router, WeightServer::new(options), ConnectionBreaker::default())
}

async fn transfer(request: Request) -> viz::Result<Response> {
    let server = state_of::<WeightServer>(&request);
    if server.lock().fault.down {
        return Err(error_answer(StatusCode::SERVICE_UNAVAILABLE, "the weight store is down"));
    }
    let model = request.path().strip_prefix("/weights/").unwrap_or_default().to_owned();
    let took = server.transfer(&model).await;
    let message = serde_json::json!({ "model": model, "took_ms": took.as_millis() as u64 });
    Ok(json_answer(StatusCode::OK, &message))
}

async fn set_fault(mut request: Request) -> viz::Result<Response> {
    let server = state_of::<WeightServer>(&request);
    server.set_fault(read_json(&mut request).await?);
    Ok(empty_answer(StatusCode::NO_CONTENT))
}

async fn records(request: Request) -> viz::Result<Response> {
    let server = state_of::<WeightServer>(&request);
    Ok(json_answer(StatusCode::OK, &server.records()))
}
