//! Stand-in for a rate-limited weight store: a few transfers run at full speed, more of them share
//! the total rate.
//!
//! | Call | Meaning |
//! |---|---|
//! | `GET /weights/<model>` | one transfer, answered when it is complete |
//! | `PUT /admin/fault`, `GET /admin/records` | sets the faults; returns the transfers |

use std::sync::{Arc, Mutex, MutexGuard};

use base::{clock::since_epoch, prelude::*};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, sync::watch, time};
use viz::{Request, RequestExt, Response, Router};

use crate::server::{
    ConnectionSet, Result, ServerHandle, empty_answer, error_answer, json_answer, read_json,
    serve_router, state_of,
};

/// Speed of the weight store.
#[derive(Debug, Clone, Copy)]
pub struct WeightOptions {
    /// Total rate: transfers completed per second at full load.
    pub rate: EventRate,
    /// Number of concurrent transfers that run at full speed; more share the total rate.
    pub max_full_speed_transfers: u32,
}

impl Default for WeightOptions {
    fn default() -> Self {
        Self { rate: EventRate(3.0), max_full_speed_transfers: 4 }
    }
}

/// Injected faults, set by `PUT /admin/fault`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightFault {
    /// Every transfer is refused with status 503.
    pub down: bool,
    /// Factor by which transfers take longer; values below 1 count as 1.
    pub slow_factor: f64,
}

impl Default for WeightFault {
    fn default() -> Self {
        Self { down: false, slow_factor: 1.0 }
    }
}

/// Transfer of the weights of one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRecord {
    /// Name of the model, as in the path of the request.
    pub model: String,
    /// Start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Duration in milliseconds; `None` if the transfer runs or was aborted.
    pub took_ms: Option<u64>,
}

/// Transfers, the answer to `GET /admin/records`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightRecords {
    /// Transfers in order of start.
    pub transfers: Vec<TransferRecord>,
    /// Peak number of concurrent transfers.
    pub peak_in_flight: u32,
}

#[derive(Debug, Default)]
struct WeightState {
    fault: WeightFault,
    in_flight: u32,
    records: WeightRecords,
}

/// The weight store stand-in; clones share their state.
#[derive(Debug, Clone)]
pub struct WeightServer {
    options: WeightOptions,
    state: Arc<Mutex<WeightState>>,
    /// Speed of each transfer, as a fraction of full speed.
    transfer_speed: watch::Sender<f64>,
}

/// A transfer in flight; dropping it frees its share of the rate.
struct TransferGuard<'a> {
    server: &'a WeightServer,
}

impl Drop for TransferGuard<'_> {
    fn drop(&mut self) {
        self.server.update_state(|state| state.in_flight -= 1);
    }
}

impl WeightServer {
    fn new(options: WeightOptions) -> Self {
        Self { options, state: Arc::default(), transfer_speed: watch::Sender::new(1.0) }
    }

    /// Transfers so far.
    pub fn records(&self) -> WeightRecords {
        self.lock().records.clone()
    }

    /// Replaces the injected faults.
    pub fn set_fault(&self, fault: WeightFault) {
        self.update_state(|state| state.fault = fault);
    }

    fn lock(&self) -> MutexGuard<'_, WeightState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }

    /// Applies a change of the state and adjusts the speed of the transfers to it.
    fn update_state(&self, apply: impl FnOnce(&mut WeightState)) {
        let mut state = self.lock();
        apply(&mut state);
        let share =
            f64::from(self.options.max_full_speed_transfers) / f64::from(state.in_flight.max(1));
        let speed = share.min(1.0) / state.fault.slow_factor.max(1.0);
        self.transfer_speed.send_replace(speed);
    }

    fn record_start(&self, model: &str) -> usize {
        let mut index = 0;
        self.update_state(|state| {
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

    /// Simulates the transfer of one model and returns its duration.
    async fn transfer(&self, model: &str) -> Duration {
        let started = Instant::now();
        let index = self.record_start(model);
        let _guard = TransferGuard { server: self };
        self.wait_for_transfer().await;
        let took = started.elapsed();
        self.lock().records.transfers[index].took_ms = Some(took.as_millis() as u64);
        took
    }

    /// Waits as long as a transfer takes, whose speed changes with the number of other transfers.
    async fn wait_for_transfer(&self) {
        let mut speeds = self.transfer_speed.subscribe();
        let mut remaining_secs =
            f64::from(self.options.max_full_speed_transfers) / self.options.rate.0;
        loop {
            let speed = *speeds.borrow_and_update();
            let began = Instant::now();
            let wait = Duration::from_secs_f64(remaining_secs / speed);
            match time::timeout(wait, speeds.changed()).await {
                Err(_) => return,
                Ok(_) => {
                    remaining_secs =
                        (remaining_secs - began.elapsed().as_secs_f64() * speed).max(0.0)
                }
            }
        }
    }
}

/// Serves the weight store on `listener` until the handle is dropped.
///
/// # Errors
///
/// Fails if the listener has no local address.
pub fn serve(listener: TcpListener, options: WeightOptions) -> Result<ServerHandle<WeightServer>> {
    let router = Router::new()
        .get("/weights/*", transfer)
        .put("/admin/fault", set_fault)
        .get("/admin/records", records);
    serve_router(listener, router, WeightServer::new(options), ConnectionSet::default())
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
