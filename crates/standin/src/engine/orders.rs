//! Orders to load and unload.

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

/// Adapter loads that run at full speed at the same time.
const FULL_SPEED_ADAPTERS: u32 = 32;

/// Aborts a load unless it may outlive its order.
struct LoadGuard(Option<AbortHandle>);

impl Drop for LoadGuard {
    fn drop(&mut self) {
        if let Some(handle) = self.0.take() {
            handle.abort();
        }
    }
}

/// Frees the memory of a load that did not come to its end.
struct LoadAttempt {
    server: EngineServer,
    key: ModelKey,
    life: u64,
    is_done: bool,
}

impl Drop for LoadAttempt {
    fn drop(&mut self) {
        if !self.is_done && self.server.life() == self.life {
            self.server.free(&self.key);
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
        Some(_) => LoadGuard(None),
    };
    server.wait_while(&key, ModelState::Loading).await;
    drop(guard);
    match server.lock().table.state(&key) {
        Some(ModelState::Loaded) => Ok(done("loaded")),
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
    server.wait_while(&key, ModelState::Unloading).await;
    Ok(done("absent"))
}

fn done(state: &str) -> Response {
    json_answer(StatusCode::OK, &serde_json::json!({ "state": state }))
}

impl EngineServer {
    fn check_fencing(
        &self,
        kind: OrderKind,
        key: &ModelKey,
        fencing: Option<u64>,
    ) -> viz::Result<()> {
        let admitted = self.lock().table.admits(key, fencing);
        if admitted || !self.options.checks_fencing {
            return Ok(());
        }
        self.record_order(kind, key, fencing, false);
        Err(error_answer(StatusCode::CONFLICT, "the order carries an old fencing number"))
    }

    async fn wait_while(&self, key: &ModelKey, state: ModelState) {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            let current = self.lock().table.state(key);
            if current != Some(state) || changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn start_load(&self, order: LoadOrder) -> viz::Result<LoadGuard> {
        if !self.reserve(&order) {
            self.record_order(OrderKind::Load, &order.key, order.fencing, false);
            return Err(error_answer(StatusCode::INSUFFICIENT_STORAGE, "the memory is full"));
        }
        let record = self.record_order(OrderKind::Load, &order.key, order.fencing, true);
        let server = self.clone();
        let task = tokio::spawn(async move { server.carry_out_load(order.key, record).await });
        let aborts = !self.options.loads_outlive_orders;
        Ok(LoadGuard(aborts.then(|| task.abort_handle())))
    }

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

    /// Frees the memory of a model or adapter.
    fn free(&self, key: &ModelKey) {
        let mut state = self.lock();
        state.table.remove(key);
        state.records.close_holdings(|held| held == key);
        drop(state);
        self.notify();
    }

    async fn carry_out_load(&self, key: ModelKey, record: usize) {
        let life = self.life();
        let mut attempt =
            LoadAttempt { server: self.clone(), key: key.clone(), life, is_done: false };
        let fetched = self.fetch(&key).await;
        let fails = take_one(&mut self.lock().fault.failed_loads);
        if !fetched || fails || self.life() != life {
            return;
        }
        attempt.is_done = true;
        self.lock().table.set_state(&key, ModelState::Loaded);
        self.record_done(record);
        self.notify();
    }

    /// Brings a checkpoint or adapter into the accelerator's memory.
    async fn fetch(&self, key: &ModelKey) -> bool {
        if key.adapter.is_some() {
            let loads = self.lock().table.adapter_loads();
            let crowd = f64::from(loads.max(FULL_SPEED_ADAPTERS)) / f64::from(FULL_SPEED_ADAPTERS);
            time::sleep(self.slowed(self.options.adapter_load).mul_f64(crowd)).await;
            return true;
        }
        let tier = self.lock().table.tier(&key.model);
        if tier == CacheTier::Remote && !self.fetch_remote(&key.model).await {
            return false;
        }
        let span = match tier {
            CacheTier::Memory => self.options.memory_load,
            CacheTier::Disk | CacheTier::Remote => self.options.disk_load,
        };
        time::sleep(self.slowed(span)).await;
        self.lock().table.cache(&key.model, CacheTier::Memory);
        true
    }

    async fn fetch_remote(&self, model: &str) -> bool {
        let Some(address) = self.options.weights else {
            return true;
        };
        fetch_weights(address, model).await
    }

    fn start_unload(&self, key: &ModelKey, fencing: Option<u64>) {
        let record = self.record_order(OrderKind::Unload, key, fencing, true);
        self.lock().table.set_state(key, ModelState::Unloading);
        self.end_model(key);
        let server = self.clone();
        let key = key.clone();
        tokio::spawn(async move { server.carry_out_unload(key, record).await });
    }

    async fn carry_out_unload(&self, key: ModelKey, record: usize) {
        let life = self.life();
        time::sleep(self.slowed(self.options.unload_time)).await;
        if self.life() != life {
            return;
        }
        self.record_done(record);
        self.free(&key);
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
    let is_ok = response.status().is_success();
    is_ok && response.into_body().collect().await.is_ok()
}
