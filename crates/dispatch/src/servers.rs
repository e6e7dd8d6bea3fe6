//! Last known state of the backend servers, as one entry sees them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use base::prelude::*;
use catalog::TokenCount;
use roster::{
    BackendServer, IncarnationStart, InstanceId, ResidentModel, ServerState, SoftwareVersion,
};

use crate::{
    announcements::ServerAnnouncement,
    call::{Generation, ModelTarget, ServerLoad},
    health::ServerHealth,
    prefill_speed::PrefillSpeed,
    service_time::{ReportedSlowdown, ServerTime},
};

/// A backend server counts as unresponsive if a plain request has no answer for this time and
/// nothing else was received from the server since. Slow plain requests take 200 ms.
const PLAIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(350);
/// The same timeout for the first event of a stream. Prefill of a long prompt takes 150 ms, and
/// 400 ms while the VM of the engine is slowed.
const STREAM_RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long cancelled requests without an answer count as unanswered. After that the server is tried
/// again.
const CANCELLED_MEMORY: Duration = Duration::from_secs(2);
/// Cancelled requests from which on they count: a single one may just have been slow.
const MIN_CANCELLED: u32 = 2;

/// A request that this entry has assigned to a backend server.
#[derive(Debug, Clone)]
pub struct RunningCall {
    /// Model and adapter; none for plain services.
    pub target: Option<ModelTarget>,
    /// Length of the prompt in tokens; zero for plain services.
    pub prompt: TokenCount,
    /// Prompt tokens that were queued for prefill there when it was assigned.
    pub queued_ahead: TokenCount,
    /// When it was sent; none while it waits for a permit of the side process.
    pub sent: Option<Instant>,
    /// Whether its first byte or event was received.
    pub has_started: bool,
    /// Requests there for each slot when it was assigned, at least one.
    rounds: f64,
    /// Slowdown of the server when it was assigned.
    slowdown: f64,
}

/// A load of a model that is in progress in an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadInProgress {
    /// Model that is being loaded.
    pub model: ModelId,
    /// When the load is expected to complete.
    pub ready_at: Instant,
}

/// State of an engine, as reported by its side process.
#[derive(Debug, Clone, Default)]
pub struct EngineUpdate {
    /// Models that are loaded in the engine.
    pub residents: Vec<ResidentModel>,
    /// A model that is about to be unloaded.
    pub unloading: Option<ModelId>,
    /// The load in progress, if any.
    pub loading: Option<LoadInProgress>,
    /// Number of requests that run in the engine, of all entries.
    pub running: u32,
    /// Number of requests that are queued in the engine, of all entries.
    pub waiting: u32,
    /// Prompt tokens queued for prefill.
    pub queued_prefill: TokenCount,
    /// Whether the engine responds to its side process.
    pub is_reachable: bool,
}

/// Requests that were cancelled without an answer, with nothing received since.
#[derive(Debug, Clone, Copy)]
struct CancelledCalls {
    first_sent: Instant,
    number: u32,
}

/// Last known state of one backend server, and this entry's requests there.
#[derive(Debug)]
pub struct ServerView {
    /// Name, as registered.
    pub id: InstanceId,
    /// Service for which it is registered.
    pub service: ServiceName,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone of its VM.
    pub zone: ZoneName,
    /// Number of requests that it runs concurrently, by its registration or its last answer.
    pub slots: u32,
    /// Start of its incarnation; none if it is not registered with one.
    pub started: Option<IncarnationStart>,
    /// What it announced in its answers.
    pub announcement: Option<ServerAnnouncement>,
    is_listed_draining: bool,
    /// Health by the results of this entry's requests.
    pub health: ServerHealth,
    /// Whether this entry has an idle connection to it; none if that is not known.
    pub has_idle_connection: Option<bool>,
    /// Requests of this entry that are assigned to it, by key.
    pub calls: HashMap<u64, RunningCall>,
    listed_residents: Vec<ResidentModel>,
    is_down: bool,
    is_restarted: bool,
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
    last_response_at: Instant,
    cancelled: Option<CancelledCalls>,
    plain_time: ServerTime,
    slowdown: Option<ReportedSlowdown>,
}

impl ServerView {
    /// Creates the view of a backend server that has just been listed.
    pub fn new(server: &BackendServer, now: Instant) -> Self {
        let mut view = Self {
            id: server.id.clone(),
            service: server.service.clone(),
            software: server.software.clone(),
            address: server.address,
            zone: server.zone.clone(),
            slots: server.slots,
            started: server.started,
            announcement: None,
            is_listed_draining: false,
            health: ServerHealth::new(now),
            has_idle_connection: None,
            calls: HashMap::new(),
            listed_residents: Vec::new(),
            is_down: false,
            is_restarted: false,
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
            last_response_at: now,
            cancelled: None,
            plain_time: ServerTime::default(),
            slowdown: None,
        };
        view.apply_listing(server, now);
        view
    }

    /// Applies a changed registration. State of a previous incarnation is discarded.
    pub fn apply_listing(&mut self, server: &BackendServer, now: Instant) {
        if self.started != server.started {
            self.reset(now);
        }
        self.service = server.service.clone();
        self.software = server.software.clone();
        self.address = server.address;
        self.zone = server.zone.clone();
        self.slots = server.slots;
        self.started = server.started;
        self.is_listed_draining = matches!(server.state, ServerState::Draining { .. });
        self.listed_residents.clone_from(&server.residents);
        if !self.has_side_updates {
            self.set_residents(&server.residents);
        }
    }

    /// Whether it may go on with a stream that a server of version `software` began.
    pub(crate) fn fits(&self, software: Option<&SoftwareVersion>) -> bool {
        software.is_none_or(|software| self.software == *software)
    }

    /// Whether it accepts no new requests, by the roster or its own answers.
    pub fn is_draining(&self) -> bool {
        self.is_listed_draining || self.announcement.is_some_and(|announced| announced.is_leaving)
    }

    /// Until when it wants no requests of this entry; none if it wants some now.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.announcement?.paused_until.filter(|until| now < *until)
    }

    /// Discards the state of the previous incarnation; a new one starts without models.
    fn reset(&mut self, now: Instant) {
        self.announcement = None;
        self.record_response(now);
        self.plain_time = ServerTime::default();
        self.slowdown = None;
        self.health = ServerHealth::new(now);
        self.residents.clear();
        self.unloading = None;
        self.loading = None;
        self.has_side_updates = false;
        self.is_down = false;
        self.is_restarted = false;
    }

    /// Applies the state reported by the side process, which from then on takes precedence over the
    /// registration.
    pub fn apply_engine_update(&mut self, update: &EngineUpdate, now: Instant) {
        self.has_side_updates = true;
        self.is_down = !update.is_reachable;
        self.is_restarted = false;
        self.set_residents(&update.residents);
        self.unloading = update.unloading.clone();
        self.loading = update.loading.clone();
        self.record_load(update.running.saturating_add(update.waiting), now);
        self.record_queued_prefill(update.queued_prefill);
    }

    /// Takes it out of use until the roster lists its present incarnation or its side process reports
    /// the listed one. Returns whether it was in use.
    pub fn mark_restarted(&mut self) -> bool {
        !std::mem::replace(&mut self.is_restarted, true)
    }

    /// Records the prompt tokens queued for prefill, as reported by the side process.
    pub fn record_queued_prefill(&mut self, queued: TokenCount) {
        self.reported_prefill = queued;
        self.prefill_since_report = TokenCount(0);
    }

    /// Whether a reachable side process issues the permits for requests.
    pub fn has_side_process(&self) -> bool {
        self.has_side_updates
    }

    /// Records that the side process is unreachable; the registration applies again, unless another
    /// incarnation runs than it names.
    pub fn mark_side_unreachable(&mut self) {
        self.has_side_updates = false;
        self.is_down = false;
        self.unloading = None;
        self.loading = None;
        let listed_residents = std::mem::take(&mut self.listed_residents);
        self.set_residents(&listed_residents);
        self.listed_residents = listed_residents;
    }

    /// Whether its side process reports that the engine does not respond, or has reported another
    /// incarnation than the listed one.
    pub fn is_down(&self) -> bool {
        self.is_down || self.is_restarted
    }

    /// Records the load reported in an answer.
    pub fn record_answer_load(&mut self, load: ServerLoad, now: Instant) {
        self.slots = load.slots.max(1);
        self.slowdown = load.slowdown.map(|factor| ReportedSlowdown::new(factor, now));
        self.record_load(load.running.saturating_add(load.waiting), now);
    }

    /// Records the reported number of running and waiting requests.
    pub fn record_load(&mut self, load: u32, now: Instant) {
        self.record_response(now);
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

    /// Records that the engine refused a request because it does not hold `target`. If the model is
    /// missing and the engine is known only by its registration, the engine has restarted without
    /// models or another one has its address, so all its models are removed.
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

    /// Records that the engine does not hold `model` or is about to unload it.
    pub fn remove_model(&mut self, model: &ModelId) {
        self.residents.remove(model);
    }

    /// Whether `model` is loaded and not about to be unloaded.
    pub fn holds_model(&self, model: &ModelId) -> bool {
        self.residents.contains_key(model) && self.unloading.as_ref() != Some(model)
    }

    /// Whether the model and, if one is requested, the adapter are loaded.
    pub fn holds(&self, target: &ModelTarget) -> bool {
        let has_adapter = match &target.adapter {
            Some(adapter) => {
                self.residents.get(&target.model).is_some_and(|held| held.contains(adapter))
            }
            None => true,
        };
        self.holds_model(&target.model) && has_adapter
    }

    /// The load in progress, as reported by the side process.
    pub fn loading(&self) -> Option<&LoadInProgress> {
        self.loading.as_ref()
    }

    /// Whether a request has been unanswered for too long and nothing else was received since.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let unanswered = self.calls.values().filter(|call| !call.has_started);
        let sent = unanswered.filter_map(|call| Some((call.sent?, call.target.is_some())));
        let cancelled = self.cancelled.filter(|calls| calls.number >= MIN_CANCELLED);
        let cancelled = cancelled.filter(|calls| now < calls.first_sent + CANCELLED_MEMORY);
        let oldest = sent.chain(cancelled.map(|calls| (calls.first_sent, false))).min();
        let Some((oldest, is_stream)) = oldest else { return false };
        let timeout = if is_stream { STREAM_RESPONSE_TIMEOUT } else { PLAIN_RESPONSE_TIMEOUT };
        now.saturating_duration_since(oldest.max(self.last_response_at)) > timeout
    }

    /// Records that anything was received from it.
    pub(crate) fn record_response(&mut self, now: Instant) {
        self.last_response_at = now;
        self.cancelled = None;
    }

    fn own_calls(&self) -> u32 {
        u32::try_from(self.calls.len()).unwrap_or(u32::MAX)
    }

    /// Estimated number of running and waiting requests: the last reported load, and this entry's
    /// requests since.
    pub fn load(&self) -> u32 {
        let since = self.own_calls().saturating_sub(self.own_calls_at_report);
        self.reported_load.saturating_add(since).max(self.own_calls())
    }

    /// Estimated number of running and waiting requests as a share of the slots: this entry's
    /// requests, and what the last report showed besides them. Unlike [`Self::load`], it falls with
    /// the answers to this entry's requests.
    pub(crate) fn relative_load(&self, additional: u32) -> f64 {
        let others = self.reported_load.saturating_sub(self.own_calls_at_report);
        let load = self.own_calls().saturating_add(others).saturating_add(additional);
        f64::from(load) / f64::from(self.slots.max(1))
    }

    /// Age of the last reported load.
    pub fn load_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.load_reported_at)
    }

    /// Estimated prompt tokens queued for prefill: those of this entry's requests without a first
    /// event, or, if greater, those reported by the side process and assigned since.
    pub fn queued_prefill(&self) -> TokenCount {
        let own = self.calls.values().filter(|call| !call.has_started);
        let own: TokenCount = own.map(|call| call.prompt).sum();
        match self.has_side_updates {
            true => own.max(self.reported_prefill.plus(self.prefill_since_report)),
            false => own,
        }
    }

    /// Expected time to the first event of `generation`.
    pub fn first_event(&self, generation: &Generation) -> Duration {
        let speed = self.prefill_speeds.get(&generation.target.model).copied().unwrap_or_default();
        speed.first_event(self.queued_prefill(), generation.prompt)
    }

    /// Records that the request `key` is assigned to this server.
    pub fn assign(
        &mut self,
        key: u64,
        target: Option<ModelTarget>,
        prompt: TokenCount,
        now: Instant,
    ) {
        let queued_ahead = self.queued_prefill();
        let call = RunningCall {
            target,
            prompt,
            queued_ahead,
            sent: None,
            has_started: false,
            rounds: (f64::from(self.load().saturating_add(1)) / f64::from(self.slots.max(1)))
                .max(1.0),
            slowdown: self.slowdown(now),
        };
        self.calls.insert(key, call);
        self.prefill_since_report = self.prefill_since_report.plus(prompt);
    }

    /// Expected slowdown at `now` by its last report; 1 is usual.
    pub fn slowdown(&self, now: Instant) -> f64 {
        self.slowdown.map_or(1.0, |slowdown| slowdown.factor(now))
    }

    /// Expected time of a plain request without a queue, in seconds, where `service` is the average
    /// of its service.
    pub(crate) fn plain_time(&self, service: f64, now: Instant) -> f64 {
        self.plain_time.seconds(service, now) * self.slowdown(now)
    }

    /// Time that the plain request `key` has taken until `now`, in seconds, as it would be without
    /// the queue and the slowdown that are known of.
    pub(crate) fn measured_time(&self, key: u64, now: Instant) -> Option<f64> {
        let call = self.calls.get(&key).filter(|call| call.target.is_none())?;
        let took = now.saturating_duration_since(call.sent?).as_secs_f64();
        let slowdown = (call.slowdown + self.slowdown(now)) / 2.0;
        Some(took / call.rounds / slowdown)
    }

    /// Learns from the time that a plain request took, in seconds, as [`Self::measured_time`] gives
    /// it; `service` is the average of its service.
    pub(crate) fn learn_plain_time(&mut self, seconds: f64, service: f64, now: Instant) {
        self.plain_time.observe(seconds, service, now);
    }

    /// Learns from the request `key`, which is cancelled, that it takes longer than until `now`, if
    /// that is longer than expected. Returns whether it is.
    pub(crate) fn learn_least_time(&mut self, key: u64, service: f64, now: Instant) -> bool {
        let Some(seconds) = self.measured_time(key, now) else { return false };
        let is_late = seconds > self.plain_time.seconds(service, now);
        if is_late {
            self.learn_plain_time(seconds, service, now);
        }
        is_late
    }

    /// Records that the request `key` is sent.
    pub fn mark_sent(&mut self, key: u64, now: Instant) {
        if let Some(call) = self.calls.get_mut(&key) {
            call.sent = Some(now);
        }
    }

    /// Records the first byte or event of the answer to `key`, and updates the prefill speed.
    pub fn record_first_byte(&mut self, key: u64, now: Instant) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        if call.has_started {
            return;
        }
        call.has_started = true;
        self.last_response_at = now;
        self.cancelled = None;
        let Some(target) = &call.target else { return };
        let Some(sent) = call.sent else { return };
        let took = now.saturating_duration_since(sent);
        // A side process permits prompts only up to its prefill limit, so none counts as queued
        // ahead.
        let queued_ahead = if self.has_side_updates { TokenCount(0) } else { call.queued_ahead };
        let speed = self.prefill_speeds.entry(target.model.clone()).or_default();
        speed.observe(queued_ahead, call.prompt, took);
    }

    /// Removes a request that is cancelled before its answer is complete. If the server has not
    /// responded since it was sent, the request still counts as unanswered for a while: a server
    /// that hangs would otherwise get new requests as long as the others answer for it.
    pub fn cancel_call(&mut self, key: u64, now: Instant) {
        let Some(call) = self.calls.remove(&key) else { return };
        let Some(sent) = call.sent.filter(|sent| *sent >= self.last_response_at) else { return };
        let known = self.cancelled.filter(|calls| now < calls.first_sent + CANCELLED_MEMORY);
        self.cancelled =
            Some(known.map_or(CancelledCalls { first_sent: sent, number: 1 }, |calls| {
                CancelledCalls { first_sent: calls.first_sent.min(sent), number: calls.number + 1 }
            }));
    }

    /// Removes a request that has ended or was not sent.
    pub fn remove_call(&mut self, key: u64) {
        self.calls.remove(&key);
    }
}
