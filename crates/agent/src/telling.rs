//! What the entries are told about the engine, and which entries want to know.

use std::{collections::HashMap, net::SocketAddr};

use base::prelude::*;
use peers::{DatagramBody, EngineLoad, EngineState, LoadingModel, PeerSocket, ResidentState};
use residency::{EngineReport, keeper::Keeper, prompts::PromptGate};

/// An entry that sends no beat for this time is not told any more; it sends one a second.
const SUBSCRIPTION: Duration = Duration::from_millis(3_500);
/// Least time between two datagrams that tell the load only.
const LOAD_PACE: Duration = Duration::from_millis(150);
/// Requests by which the load must differ to be told.
const LOAD_STEP: u32 = 2;

/// Tokens by which the unread prompts must differ to be told; about one prompt.
const UNREAD_STEP: u64 = 1_500;

/// Who is told, and what was told last.
#[derive(Debug, Default)]
pub struct Telling {
    subscribers: HashMap<SocketAddr, Instant>,
    number: u64,
    load: EngineLoad,
    load_told: Option<Instant>,
}

fn names(models: &[ModelId]) -> Vec<String> {
    models.iter().map(ToString::to_string).collect()
}

fn load_of(report: Option<&EngineReport>, gate: &PromptGate, number: u64) -> EngineLoad {
    let queued_prefill = gate.unread().0;
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

fn residents(report: &EngineReport) -> Vec<ResidentState> {
    let resident = |held: &roster::ResidentModel| ResidentState {
        model: held.model.to_string(),
        weights_version: held.weights_version,
        adapters: held.adapters.iter().map(ToString::to_string).collect(),
    };
    report.residents.iter().map(resident).collect()
}

impl Telling {
    /// Nobody is told yet. States are numbered from `first`, which differs between incarnations.
    pub fn new(first: u64) -> Self {
        Self { number: first, ..Self::default() }
    }

    /// An entry wants to know.
    pub fn subscribe(&mut self, entry: SocketAddr, now: Instant) {
        self.subscribers.insert(entry, now);
    }

    fn subscribers(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.subscribers.retain(|_, beat| now.saturating_duration_since(*beat) < SUBSCRIPTION);
        self.subscribers.keys().copied().collect()
    }

    /// The state changed: tells it to all.
    pub fn tell_change(
        &mut self,
        socket: &PeerSocket,
        engine: SocketAddr,
        keeper: &Keeper,
        gate: &PromptGate,
    ) {
        self.number += 1;
        let now = Instant::now();
        let state = self.state(engine, keeper, gate, now);
        let subscribers = self.subscribers(now);
        self.load_told = Some(now);
        self.load = load_of(keeper.report(), gate, self.number);
        socket.send_all(&subscribers, DatagramBody::EngineState(state));
    }

    /// Tells the load to all if it differs from what was told.
    pub fn tell_load(&mut self, socket: &PeerSocket, keeper: &Keeper, gate: &PromptGate) {
        let now = Instant::now();
        let load = load_of(keeper.report(), gate, self.number);
        let before = self.load.running + self.load.waiting;
        let differs = (load.running + load.waiting).abs_diff(before) >= LOAD_STEP
            || load.queued_prefill.abs_diff(self.load.queued_prefill) >= UNREAD_STEP;
        let is_due =
            self.load_told.is_none_or(|told| now.saturating_duration_since(told) >= LOAD_PACE);
        if differs && is_due {
            self.load = load;
            self.load_told = Some(now);
            let subscribers = self.subscribers(now);
            socket.send_all(&subscribers, DatagramBody::EngineLoad(load));
        }
    }

    /// What one entry that knows the state with the number `known` is told.
    pub fn answer(
        &self,
        known: u64,
        engine: SocketAddr,
        keeper: &Keeper,
        gate: &PromptGate,
    ) -> DatagramBody {
        match known == self.number {
            true => DatagramBody::EngineLoad(load_of(keeper.report(), gate, self.number)),
            false => DatagramBody::EngineState(self.state(engine, keeper, gate, Instant::now())),
        }
    }

    fn state(
        &self,
        engine: SocketAddr,
        keeper: &Keeper,
        gate: &PromptGate,
        now: Instant,
    ) -> EngineState {
        let report = keeper.report();
        let loading = keeper.loading().map(|load| LoadingModel {
            model: load.model.to_string(),
            ready_in_ms: millis_until(load.ready_at, now),
            is_from_store: load.is_from_store,
        });
        EngineState {
            engine: engine.to_string(),
            is_reachable: report.is_some(),
            started: report.and_then(|report| report.started).map_or(0, |started| started.0),
            orders: report.map_or(0, |report| report.orders.0),
            residents: report.map(residents).unwrap_or_default(),
            loading,
            unloading: keeper.unloading().map(ToString::to_string).unwrap_or_default(),
            copies_in_memory: report.map(|r| names(&r.copies_in_memory)).unwrap_or_default(),
            copies_on_disk: report.map(|r| names(&r.copies_on_disk)).unwrap_or_default(),
            load: Some(load_of(report, gate, self.number)),
            takes_changes: keeper.takes_changes(),
        }
    }
}

fn millis_until(at: Instant, now: Instant) -> u32 {
    let left = at.saturating_duration_since(now);
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
}
