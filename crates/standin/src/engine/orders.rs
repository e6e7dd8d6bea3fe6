//! Load and unload orders.

use std::net::SocketAddr;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, Empty};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::{task::AbortHandle, time};
use viz::{Request, Response};

use super::{
    CacheTier, EngineServer, LoadOrder, ModelKey, ModelState, OrderKind, UnloadOrder,
    options::take_one,
};
use crate::server::{error_answer, json_answer, read_json, state_of};

/// Adapter loads that run at full speed concurrently; more of them share the speed.
const MAX_FULL_SPEED_ADAPTER_LOADS: u32 = 32;

/// Aborts a load when the handler of its order is dropped; holds `None` if the load continues.
struct LoadAbortGuard(Option<AbortHandle>);

impl Drop for LoadAbortGuard {
    fn drop(&mut self) {
        if let Some(handle) = self.0.take() {
            handle.abort();
        }
    }
}

/// Memory reserved for a load; freed on drop unless the load succeeded or the engine crashed.
struct LoadReservation {
    server: EngineServer,
    key: ModelKey,
    incarnation: u64,
    is_loaded: bool,
}

impl Drop for LoadReservation {
    fn drop(&mut self) {
        if !self.is_loaded && self.server.incarnation() == self.incarnation {
            self.server.release_memory(&self.key);
        }
    }
}

pub(super) async fn load(mut request: Request) -> viz::Result<Response> {
    let server = state_of::<EngineServer>(&request);
    let order = read_json::<LoadOrder>(&mut request).await?;
    let key = order.key.clone();
    server.check_fencing(OrderKind::Load, &key, order.fencing)?;
    let state = server.lock().table.state(&key);
    let guard = match state {
        None => server.start_load(order)?,
        Some(_) => LoadAbortGuard(None),
    };
    server.wait_while_state(&key, ModelState::Loading).await;
    drop(guard);
    match server.lock().table.state(&key) {
        Some(ModelState::Loaded) => Ok(state_answer("loaded")),
        _ => Err(error_answer(StatusCode::INTERNAL_SERVER_ERROR, "the load failed")),
    }
}

pub(super) async fn unload(mut request: Request) -> viz::Result<Response> {
    let server = state_of::<EngineServer>(&request);
    let order = read_json::<UnloadOrder>(&mut request).await?;
    let key = order.key;
    server.check_fencing(OrderKind::Unload, &key, order.fencing)?;
    let state = server.lock().table.state(&key);
    match state {
        Some(ModelState::Loading) => {
            return Err(error_answer(StatusCode::CONFLICT, "the model is being loaded"));
        }
        Some(ModelState::Loaded) => server.start_unload(&key, order.fencing),
        Some(ModelState::Unloading) | None => {}
    }
    server.wait_while_state(&key, ModelState::Unloading).await;
    Ok(state_answer("absent"))
}

fn state_answer(state: &str) -> Response {
    json_answer(StatusCode::OK, &serde_json::json!({ "state": state }))
}

impl EngineServer {
    fn check_fencing(
        &self,
        kind: OrderKind,
        key: &ModelKey,
        fencing: Option<u64>,
    ) -> viz::Result<()> {
        let accepted = self.lock().table.accept_fencing(key, fencing);
        if accepted || !self.options.checks_fencing {
            return Ok(());
        }
        self.record_order(kind, key, fencing, false);
        Err(error_answer(StatusCode::CONFLICT, "the order carries an old fencing number"))
    }

    async fn wait_while_state(&self, key: &ModelKey, state: ModelState) {
        let mut changes = self.model_changes.subscribe();
        loop {
            changes.borrow_and_update();
            let current = self.lock().table.state(key);
            if current != Some(state) || changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn start_load(&self, order: LoadOrder) -> viz::Result<LoadAbortGuard> {
        if !self.reserve(&order) {
            self.record_order(OrderKind::Load, &order.key, order.fencing, false);
            return Err(error_answer(StatusCode::INSUFFICIENT_STORAGE, "the memory is full"));
        }
        let record_index = self.record_order(OrderKind::Load, &order.key, order.fencing, true);
        let server = self.clone();
        let task = tokio::spawn(async move { server.run_load(order.key, record_index).await });
        let aborts_on_drop = !self.options.loads_survive_disconnect;
        Ok(LoadAbortGuard(aborts_on_drop.then(|| task.abort_handle())))
    }

    /// Reserves the memory of a load; false if it does not fit and overcommit is refused.
    fn reserve(&self, order: &LoadOrder) -> bool {
        let mut state = self.lock();
        let fits = state.table.fits(order.bytes);
        if !fits && self.options.refuses_overcommit {
            return false;
        }
        state.table.begin_load(&order.key, order.bytes, order.fencing);
        let used = state.table.used_bytes();
        let loads = state.table.adapter_loads();
        let records = &mut state.records;
        records.open_holding(&order.key);
        records.overcommits += u32::from(!fits);
        records.peak_bytes = records.peak_bytes.max(used);
        records.peak_adapter_loads = records.peak_adapter_loads.max(loads);
        true
    }

    /// Removes a model or adapter and frees its memory.
    fn release_memory(&self, key: &ModelKey) {
        let mut state = self.lock();
        state.table.remove(key);
        state.records.close_holdings(|held| held == key);
        drop(state);
        self.notify_model_change();
    }

    async fn run_load(&self, key: ModelKey, record_index: usize) {
        let incarnation = self.incarnation();
        let mut reservation = LoadReservation {
            server: self.clone(),
            key: key.clone(),
            incarnation,
            is_loaded: false,
        };
        let fetched = self.fetch_model(&key).await;
        let fails = take_one(&mut self.lock().fault.failed_loads);
        if !fetched || fails || self.incarnation() != incarnation {
            return;
        }
        reservation.is_loaded = true;
        self.lock().table.set_state(&key, ModelState::Loaded);
        self.record_order_done(record_index);
        self.notify_model_change();
    }

    /// Waits as long as the load of a checkpoint or adapter takes, and caches a checkpoint in
    /// memory. False if the transfer from the weight store failed.
    async fn fetch_model(&self, key: &ModelKey) -> bool {
        if key.adapter.is_some() {
            let loads = self.lock().table.adapter_loads();
            let slowdown = f64::from(loads.max(MAX_FULL_SPEED_ADAPTER_LOADS))
                / f64::from(MAX_FULL_SPEED_ADAPTER_LOADS);
            time::sleep(self.apply_slow_factor(self.options.adapter_load).mul_f64(slowdown)).await;
            return true;
        }
        let tier = self.lock().table.cache_tier(&key.model);
        if tier == CacheTier::Remote && !self.fetch_remote(&key.model).await {
            return false;
        }
        let load_time = match tier {
            CacheTier::Memory => self.options.memory_load,
            CacheTier::Disk | CacheTier::Remote => self.options.disk_load,
        };
        time::sleep(self.apply_slow_factor(load_time)).await;
        self.lock().table.set_cache_tier(&key.model, CacheTier::Memory);
        true
    }

    async fn fetch_remote(&self, model: &str) -> bool {
        let Some(address) = self.options.weights else {
            return true;
        };
        fetch_weights(address, model).await
    }

    fn start_unload(&self, key: &ModelKey, fencing: Option<u64>) {
        let record_index = self.record_order(OrderKind::Unload, key, fencing, true);
        self.lock().table.set_state(key, ModelState::Unloading);
        self.end_model(key);
        let server = self.clone();
        let key = key.clone();
        tokio::spawn(async move { server.run_unload(key, record_index).await });
    }

    async fn run_unload(&self, key: ModelKey, record_index: usize) {
        let incarnation = self.incarnation();
        time::sleep(self.apply_slow_factor(self.options.unload_time)).await;
        if self.incarnation() != incarnation {
            return;
        }
        self.record_order_done(record_index);
        self.release_memory(&key);
    }
}

async fn fetch_weights(address: SocketAddr, model: &str) -> bool {
    let client =
        Client::builder(TokioExecutor::new()).build::<_, Empty<Bytes>>(HttpConnector::new());
    let Ok(uri) = format!("http://{address}/weights/{model}").parse() else {
        return false;
    };
    let Ok(response) = client.get(uri).await else {
        return false;
    };
    let is_success = response.status().is_success();
    is_success && response.into_body().collect().await.is_ok()
}
