//! Publishes the engine's state and load to the entries that subscribe.

use std::{collections::HashMap, net::SocketAddr};

use base::prelude::*;
use peers::{
    DatagramBody, EngineLoad, EngineState, LoadingModel, PastRates, PeerSocket, ResidentState,
};
use residency::{
    EngineReport, ServedArrivals, controller::EngineController, prefill::PrefillLimiter,
};

/// A subscription ends when its entry sends no heartbeat for this time; entries send one a second.
const SUBSCRIPTION_DURATION: Duration = Duration::from_millis(3_500);
/// Shortest time between two datagrams with the load only.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(150);
/// Change in the number of requests from which the load is published again.
const MIN_LOAD_CHANGE: u32 = 2;
/// Change in queued prefill tokens from which the load is published again; about one prompt.
const MIN_PREFILL_CHANGE: u64 = 1_500;

/// The subscribed entries, and the load that was published last.
#[derive(Debug, Default)]
pub struct StatePublisher {
    subscribers: HashMap<SocketAddr, Instant>,
    state_number: u64,
    last_load: EngineLoad,
    load_sent_at: Option<Instant>,
}

fn names(models: &[ModelId]) -> Vec<String> {
    models.iter().map(ToString::to_string).collect()
}

fn engine_load(report: Option<&EngineReport>, limiter: &PrefillLimiter, number: u64) -> EngineLoad {
    let queued_prefill = limiter.queued_tokens().0;
    let Some(report) = report else {
        return EngineLoad { state_number: number, queued_prefill, ..EngineLoad::default() };
    };
    EngineLoad {
        running: report.running,
        waiting: report.waiting,
        tokens_used: report.tokens_used.0,
        state_number: number,
        queued_prefill,
    }
}

fn residents(report: &EngineReport, arrivals: &ServedArrivals, now: Instant) -> Vec<ResidentState> {
    let resident = |loaded: &roster::ResidentModel| {
        let rates = arrivals.rates(&loaded.model, now);
        ResidentState {
            model: loaded.model.to_string(),
            weights_version: loaded.weights_version,
            adapters: loaded.adapters.iter().map(ToString::to_string).collect(),
            past_rates: Some(PastRates { recent: rates.recent.0, long_term: rates.long_term.0 }),
        }
    };
    report.residents.iter().map(resident).collect()
}

impl StatePublisher {
    /// Creates a publisher without subscribers. States are numbered from `first`, which must differ
    /// between incarnations so that an entry does not take a state for one that it already has.
    pub fn new(first: u64) -> Self {
        Self { state_number: first, ..Self::default() }
    }

    /// Starts or renews the subscription of `entry`.
    pub fn subscribe(&mut self, entry: SocketAddr, now: Instant) {
        self.subscribers.insert(entry, now);
    }

    fn subscribers(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.subscribers
            .retain(|_, renewed| now.saturating_duration_since(*renewed) < SUBSCRIPTION_DURATION);
        self.subscribers.keys().copied().collect()
    }

    /// Sends the complete state to all subscribers, with a new number.
    pub fn publish_state(
        &mut self,
        socket: &PeerSocket,
        engine: SocketAddr,
        controller: &EngineController,
        limiter: &PrefillLimiter,
        arrivals: &ServedArrivals,
    ) {
        self.state_number += 1;
        let now = Instant::now();
        let state = self.state(engine, controller, limiter, arrivals, now);
        let subscribers = self.subscribers(now);
        self.load_sent_at = Some(now);
        self.last_load = engine_load(controller.report(), limiter, self.state_number);
        socket.send_all(&subscribers, DatagramBody::EngineState(state));
    }

    /// Sends the load to all subscribers if it differs enough from the last one and the shortest
    /// interval has passed.
    pub fn publish_load(
        &mut self,
        socket: &PeerSocket,
        controller: &EngineController,
        limiter: &PrefillLimiter,
    ) {
        let now = Instant::now();
        let load = engine_load(controller.report(), limiter, self.state_number);
        let requests = |load: &EngineLoad| load.running.saturating_add(load.waiting);
        let differs = requests(&load).abs_diff(requests(&self.last_load)) >= MIN_LOAD_CHANGE
            || load.queued_prefill.abs_diff(self.last_load.queued_prefill) >= MIN_PREFILL_CHANGE;
        let is_due = self
            .load_sent_at
            .is_none_or(|sent| now.saturating_duration_since(sent) >= MIN_LOAD_INTERVAL);
        if differs && is_due {
            self.last_load = load;
            self.load_sent_at = Some(now);
            let subscribers = self.subscribers(now);
            socket.send_all(&subscribers, DatagramBody::EngineLoad(load));
        }
    }

    /// Returns the reply to a heartbeat of an entry that has the state with the number `known`: the
    /// load only if that is the present state, otherwise the complete state.
    pub fn heartbeat_reply(
        &self,
        known: u64,
        engine: SocketAddr,
        controller: &EngineController,
        limiter: &PrefillLimiter,
        arrivals: &ServedArrivals,
    ) -> DatagramBody {
        match known == self.state_number {
            true => DatagramBody::EngineLoad(engine_load(
                controller.report(),
                limiter,
                self.state_number,
            )),
            false => {
                let now = Instant::now();
                DatagramBody::EngineState(self.state(engine, controller, limiter, arrivals, now))
            }
        }
    }

    fn state(
        &self,
        engine: SocketAddr,
        controller: &EngineController,
        limiter: &PrefillLimiter,
        arrivals: &ServedArrivals,
        now: Instant,
    ) -> EngineState {
        let report = controller.report();
        let loading = controller.loading().map(|load| LoadingModel {
            model: load.model.to_string(),
            ready_in_ms: millis_until(load.ready_at, now),
            is_from_store: load.is_from_store,
        });
        EngineState {
            engine: engine.to_string(),
            is_reachable: report.is_some(),
            started: report.and_then(|report| report.started).map_or(0, |started| started.0),
            orders: report.map_or(0, |report| report.orders.0),
            residents: report.map(|report| residents(report, arrivals, now)).unwrap_or_default(),
            loading,
            unloading: controller.unloading().map(ToString::to_string).unwrap_or_default(),
            copies_in_memory: report.map(|r| names(&r.copies_in_memory)).unwrap_or_default(),
            copies_on_disk: report.map(|r| names(&r.copies_on_disk)).unwrap_or_default(),
            load: Some(engine_load(report, limiter, self.state_number)),
            takes_changes: controller.takes_changes(),
        }
    }
}

fn millis_until(at: Instant, now: Instant) -> u32 {
    let left = at.saturating_duration_since(now);
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
}
