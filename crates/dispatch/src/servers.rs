//! What an entry believes about the backend servers to which it sends.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use base::prelude::*;
use catalog::TokenCount;
use roster::{BackendServer, IncarnationStart, InstanceId, ResidentModel, ServerState};

use crate::{
    call::{Generation, ModelTarget, ServerLoad},
    health::ServerHealth,
    prefill_speed::PrefillSpeed,
};

/// A plain request that has no answer for this time, and no other sign of life since, tells that
/// its backend server is silent. Slow plain requests take 200 ms.
const PLAIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// The same for streams and their first events. An engine reads a long prompt in 150 ms, and in
/// 400 ms while its VM is slowed.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(800);

/// One request of this entry at a backend server.
#[derive(Debug, Clone)]
pub struct RunningCall {
    /// Model and adapter; none for plain services.
    pub target: Option<ModelTarget>,
    /// Length of the prompt.
    pub prompt: TokenCount,
    /// Tokens of prompts that this entry had waiting there before it.
    pub queued_ahead: TokenCount,
    /// When it was sent; none while it waits for the side process to let it in.
    pub sent: Option<Instant>,
    /// Whether its first event has come.
    pub has_started: bool,
}

/// A load in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadInProgress {
    /// Model that will be there.
    pub model: ModelId,
    /// When it is expected to be ready.
    pub ready_at: Instant,
}

/// What a side process says about the engine beside it.
#[derive(Debug, Clone, Default)]
pub struct EngineUpdate {
    /// Models that the engine holds.
    pub residents: Vec<ResidentModel>,
    /// A model that it is about to drop.
    pub unloading: Option<ModelId>,
    /// A load in progress.
    pub loading: Option<LoadInProgress>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Tokens of prompts that it has to read.
    pub queued_prefill: TokenCount,
    /// Whether the engine answers its side process.
    pub is_reachable: bool,
}

/// One backend server as this entry sees it.
#[derive(Debug)]
pub struct ServerView {
    /// Name.
    pub id: InstanceId,
    /// Service.
    pub service: ServiceName,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Start of its incarnation.
    pub started: Option<IncarnationStart>,
    /// Whether it takes no new work.
    pub is_draining: bool,
    /// Trust by own results.
    pub health: ServerHealth,
    /// Own requests there.
    pub calls: HashMap<u64, RunningCall>,
    listed_residents: Vec<ResidentModel>,
    is_down: bool,
    residents: BTreeMap<ModelId, BTreeSet<AdapterId>>,
    unloading: Option<ModelId>,
    loading: Option<LoadInProgress>,
    has_side_updates: bool,
    prefill_speeds: HashMap<ModelId, PrefillSpeed>,
    reported_load: u32,
    reported_prefill: TokenCount,
    prefill_since_report: TokenCount,
    load_reported_at: Instant,
    own_calls_at_report: u32,
    last_response: Instant,
}

impl ServerView {
    /// A backend server that has just been listed.
    pub fn new(server: &BackendServer, now: Instant) -> Self {
        let mut view = Self {
            id: server.id.clone(),
            service: server.service.clone(),
            address: server.address,
            zone: server.zone.clone(),
            slots: server.slots,
            started: server.started,
            is_draining: false,
            health: ServerHealth::new(now),
            calls: HashMap::new(),
            listed_residents: Vec::new(),
            is_down: false,
            residents: BTreeMap::new(),
            unloading: None,
            loading: None,
            has_side_updates: false,
            prefill_speeds: HashMap::new(),
            reported_load: 0,
            reported_prefill: TokenCount(0),
            prefill_since_report: TokenCount(0),
            load_reported_at: now,
            own_calls_at_report: 0,
            last_response: now,
        };
        view.apply_listing(server, now);
        view
    }

    /// Takes in a changed entry of the store.
    pub fn apply_listing(&mut self, server: &BackendServer, now: Instant) {
        if self.started != server.started {
            self.reset(now);
        }
        self.service = server.service.clone();
        self.address = server.address;
        self.zone = server.zone.clone();
        self.slots = server.slots;
        self.started = server.started;
        self.is_draining = matches!(server.state, ServerState::Draining { .. });
        self.listed_residents.clone_from(&server.residents);
        if !self.has_side_updates {
            self.set_residents(&server.residents);
        }
    }

    /// A new incarnation under the same name holds and knows nothing of before.
    fn reset(&mut self, now: Instant) {
        self.last_response = now;
        self.health = ServerHealth::new(now);
        self.residents.clear();
        self.unloading = None;
        self.loading = None;
        self.has_side_updates = false;
        self.is_down = false;
    }

    /// Takes in news of the side process.
    pub fn apply_engine_update(&mut self, news: &EngineUpdate, now: Instant) {
        self.has_side_updates = true;
        self.is_down = !news.is_reachable;
        self.set_residents(&news.residents);
        self.unloading = news.unloading.clone();
        self.loading = news.loading.clone();
        self.record_load(news.running + news.waiting, now);
        self.record_queued_prefill(news.queued_prefill);
    }

    /// Takes in the tokens of prompts that it has to read, as its side process tells.
    pub fn record_queued_prefill(&mut self, unread: TokenCount) {
        self.reported_prefill = unread;
        self.prefill_since_report = TokenCount(0);
    }

    /// Whether a side process lets requests in.
    pub fn has_side_process(&self) -> bool {
        self.has_side_updates
    }

    /// Goes by the entries of the store again, because the side process is silent.
    pub fn mark_side_unreachable(&mut self) {
        self.has_side_updates = false;
        self.is_down = false;
        self.unloading = None;
        self.loading = None;
        let listed_residents = std::mem::take(&mut self.listed_residents);
        self.set_residents(&listed_residents);
        self.listed_residents = listed_residents;
    }

    /// Whether the side process says that the engine does not answer.
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    /// Takes in the load that an answer told.
    pub fn record_answer_load(&mut self, load: ServerLoad, now: Instant) {
        self.slots = load.slots.max(1);
        self.record_load(load.running + load.waiting, now);
    }

    /// Takes in the number of requests that run or wait there.
    pub fn record_load(&mut self, load: u32, now: Instant) {
        self.last_response = now;
        self.reported_load = load;
        self.load_reported_at = now;
        self.own_calls_at_report = self.own_calls();
    }

    fn set_residents(&mut self, residents: &[ResidentModel]) {
        self.residents = residents
            .iter()
            .map(|resident| (resident.model.clone(), resident.adapters.iter().cloned().collect()))
            .collect();
    }

    /// The engine said that it does not hold `target`. One that is known only from the store has
    /// started anew, empty, or another one has its address.
    pub fn remove_target(&mut self, target: &ModelTarget) {
        match &target.adapter {
            Some(adapter) => {
                if let Some(adapters) = self.residents.get_mut(&target.model) {
                    adapters.remove(adapter);
                }
            }
            None if self.has_side_updates => self.remove_model(&target.model),
            None => self.residents.clear(),
        }
    }

    /// The engine does not hold `model`, or is about to drop it.
    pub fn remove_model(&mut self, model: &ModelId) {
        self.residents.remove(model);
    }

    /// Whether requests for `model` can go there.
    pub fn holds_model(&self, model: &ModelId) -> bool {
        self.residents.contains_key(model) && self.unloading.as_ref() != Some(model)
    }

    /// Whether the model and the adapter, if one is asked for, are there.
    pub fn holds(&self, target: &ModelTarget) -> bool {
        let has_adapter = match &target.adapter {
            Some(adapter) => {
                self.residents.get(&target.model).is_some_and(|held| held.contains(adapter))
            }
            None => true,
        };
        self.holds_model(&target.model) && has_adapter
    }

    /// The load in progress.
    pub fn loading(&self) -> Option<&LoadInProgress> {
        self.loading.as_ref()
    }

    /// Whether a request has had no answer for long, and nothing else was heard since.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let unanswered = self.calls.values().filter(|call| !call.has_started);
        let sent = unanswered.filter_map(|call| Some((call.sent?, call.target.is_some())));
        let Some((oldest, is_stream)) = sent.min() else { return false };
        let patience = if is_stream { FIRST_EVENT_TIMEOUT } else { PLAIN_ANSWER_TIMEOUT };
        now.saturating_duration_since(oldest.max(self.last_response)) > patience
    }

    fn own_calls(&self) -> u32 {
        u32::try_from(self.calls.len()).unwrap_or(u32::MAX)
    }

    /// Requests believed to run or wait there: what was told, and own ones since.
    pub fn load(&self) -> u32 {
        let since = self.own_calls().saturating_sub(self.own_calls_at_report);
        (self.reported_load + since).max(self.own_calls())
    }

    /// Age of what was told about its load.
    pub fn load_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.load_reported_at)
    }

    /// Tokens of prompts that it has to read: the own ones that have not had their first event, or
    /// what its side process told and what was asked for since, whichever is more.
    pub fn queued_prefill(&self) -> TokenCount {
        let own = self.calls.values().filter(|call| !call.has_started);
        let own: u64 = own.map(|call| call.prompt.0).sum();
        match self.has_side_updates {
            true => TokenCount(own.max(self.reported_prefill.0 + self.prefill_since_report.0)),
            false => TokenCount(own),
        }
    }

    /// Expected time to the first event of `generation`.
    pub fn first_event(&self, generation: &Generation) -> Duration {
        let pace = self.prefill_speeds.get(&generation.target.model).copied().unwrap_or_default();
        pace.first_event(self.queued_prefill(), generation.prompt)
    }

    /// Notes a request that is to go there.
    pub fn assign(&mut self, key: u64, target: Option<ModelTarget>, prompt: TokenCount) {
        let queued_before = self.queued_prefill();
        let call = RunningCall {
            target,
            prompt,
            queued_ahead: queued_before,
            sent: None,
            has_started: false,
        };
        self.calls.insert(key, call);
        self.prefill_since_report.0 += prompt.0;
    }

    /// Notes that a request is sent there.
    pub fn mark_sent(&mut self, key: u64, now: Instant) {
        if let Some(call) = self.calls.get_mut(&key) {
            call.sent = Some(now);
        }
    }

    /// Notes the first event of a request.
    pub fn record_first_byte(&mut self, key: u64, now: Instant) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        if call.has_started {
            return;
        }
        call.has_started = true;
        self.last_response = now;
        let Some(target) = &call.target else { return };
        let Some(sent) = call.sent else { return };
        let took = now.saturating_duration_since(sent);
        // A side process lets one prompt in at a time.
        let before = if self.has_side_updates { TokenCount(0) } else { call.queued_ahead };
        let pace = self.prefill_speeds.entry(target.model.clone()).or_default();
        pace.observe(before, call.prompt, took);
    }

    /// Notes the end of a request.
    pub fn remove_call(&mut self, key: u64) {
        self.calls.remove(&key);
    }
}
