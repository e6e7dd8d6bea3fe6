//! Updates of the backend servers, and queries about them.

use std::collections::{BTreeMap, btree_map::Entry};

use base::prelude::*;
use catalog::TokenCount;
use roster::{BackendServer, IncarnationStart, InstanceId};

use super::{CallDispatcher, LoadTarget, ModelUsage};
use crate::{
    call::ServerLoad,
    servers::{EngineUpdate, ServerView},
    waiting::LoadEstimate,
};

impl CallDispatcher {
    /// Adds a backend server or applies its changed registration.
    pub fn upsert_server(&mut self, server: &BackendServer, now: Instant) {
        let view = match self.servers.entry(server.id.clone()) {
            Entry::Occupied(view) => {
                let view = view.into_mut();
                view.apply_listing(server, now);
                view
            }
            Entry::Vacant(view) => view.insert(ServerView::new(server, now)),
        };
        view.announcement = self.announcements.of(&server.id, server.started);
    }

    /// Removes a backend server that is no longer in the roster.
    pub fn remove_server(&mut self, server: &InstanceId) {
        self.servers.remove(server);
    }

    /// Records that an incarnation of `server` says in an answer that it leaves. It gets no new
    /// requests from now on, also if the roster drops it and lists it again. Returns whether that
    /// was not known.
    pub fn record_leaving(
        &mut self,
        server: &InstanceId,
        started: Option<IncarnationStart>,
        now: Instant,
    ) -> bool {
        let is_new = self.announcements.record_leaving(server, started, now);
        if let Some(view) = self.servers.get_mut(server) {
            view.announcement = self.announcements.of(server, view.started);
        }
        is_new
    }

    /// Records that an incarnation of `server` wants no requests for `pause`. What it holds stays in
    /// use. Returns the end of the pause if it is later than the one known.
    pub fn record_pause(
        &mut self,
        server: &InstanceId,
        started: Option<IncarnationStart>,
        pause: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let end = self.announcements.record_pause(server, started, pause, now);
        if let Some(view) = self.servers.get_mut(server) {
            view.announcement = self.announcements.of(server, view.started);
        }
        end
    }

    /// Applies the engine state reported by the side process of `server`.
    pub fn apply_engine_update(
        &mut self,
        server: &InstanceId,
        update: &EngineUpdate,
        now: Instant,
    ) {
        if let Some(view) = self.servers.get_mut(server) {
            view.apply_engine_update(update, now);
        }
    }

    /// Records that the side process of `server` is unreachable.
    pub fn mark_side_unreachable(&mut self, server: &InstanceId) {
        if let Some(view) = self.servers.get_mut(server) {
            view.mark_side_unreachable();
        }
    }

    /// Records that another incarnation of `server` runs than the roster lists. It gets no requests
    /// until the roster or its side process agrees. Returns whether that was not known.
    pub fn mark_restarted(&mut self, server: &InstanceId) -> bool {
        self.servers.get_mut(server).is_some_and(ServerView::mark_restarted)
    }

    /// Records the load reported in an answer of `server`.
    pub fn record_answer_load(&mut self, server: &InstanceId, load: ServerLoad, now: Instant) {
        if let Some(view) = self.servers.get_mut(server) {
            view.record_answer_load(load, now);
        }
    }

    /// Records the load reported by the side process of `server`: running and waiting requests, and
    /// prompt tokens queued for prefill.
    pub fn record_side_load(
        &mut self,
        server: &InstanceId,
        load: u32,
        queued_prefill: TokenCount,
        now: Instant,
    ) {
        if let Some(view) = self.servers.get_mut(server) {
            view.record_load(load, now);
            view.record_queued_prefill(queued_prefill);
        }
    }

    /// Sets the number of idle connections to each server of `service`, by its address.
    pub fn set_idle_connections(
        &mut self,
        service: &ServiceName,
        count: impl Fn(std::net::SocketAddr) -> usize,
    ) {
        for view in self.servers.values_mut().filter(|view| view.service == *service) {
            view.has_idle_connection = Some(count(view.address) > 0);
        }
    }

    /// Average time of a plain request of `service`, in seconds.
    pub(super) fn service_time(&self, service: &ServiceName) -> f64 {
        self.service_times.get(service).copied().unwrap_or_default().seconds()
    }

    /// Learns from the first byte of the answer to `key` how long plain requests take.
    pub(super) fn learn_service_time(&mut self, key: u64, now: Instant) {
        let Some(call) = self.calls.get(&key) else { return };
        let service = &call.request.service;
        let Some(view) = call.assigned_to.as_ref().and_then(|id| self.servers.get_mut(id)) else {
            return;
        };
        let Some(seconds) = view.measured_time(key, now) else { return };
        let average = match self.service_times.get_mut(service) {
            Some(average) => average,
            None => self.service_times.entry(service.clone()).or_default(),
        };
        view.learn_plain_time(seconds, average.seconds(), now);
        average.observe(seconds);
    }

    /// Sets the planner's estimate of a load.
    pub fn set_load_estimate(&mut self, load: LoadTarget, estimate: LoadEstimate) {
        self.load_estimates.insert(load, estimate);
    }

    /// All known backend servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerView> {
        self.servers.values()
    }

    /// The backend server at `address`. Incarnations are compared if both sides state theirs.
    pub fn server_at(
        &self,
        address: std::net::SocketAddr,
        started: Option<IncarnationStart>,
    ) -> Option<&ServerView> {
        self.servers.values().find(|view| {
            let is_same_incarnation =
                view.started.is_none() || started.is_none() || view.started == started;
            view.address == address && is_same_incarnation
        })
    }

    /// Number of requests that are neither answered nor refused.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Whether a request waits for a model that no engine holds.
    pub fn has_call_missing_model(&self) -> bool {
        self.calls.values().any(|call| call.is_model_missing)
    }

    /// The backend server named `id`.
    pub fn server(&self, id: &InstanceId) -> Option<&ServerView> {
        self.servers.get(id)
    }

    /// This entry's use of each model that was requested since its start.
    pub fn model_usage(&self, now: Instant) -> BTreeMap<ModelId, ModelUsage> {
        let mut usages: BTreeMap<ModelId, ModelUsage> = BTreeMap::new();
        for (model, arrivals) in &self.arrivals {
            usages.entry(model.clone()).or_default().arrivals = *arrivals;
        }
        for call in self.calls.values() {
            let Some(generation) = &call.request.generation else { continue };
            let usage = usages.entry(generation.target.model.clone()).or_default();
            match (&call.assigned_to, call.is_model_missing) {
                (Some(server), _) => {
                    *usage.running.entry(server.clone()).or_default() += 1;
                }
                (None, true) => match self.required_software(&call.request) {
                    Some(software) => *usage.streams.entry(software.clone()).or_default() += 1,
                    None => usage.add_waiting(&call.request, now),
                },
                (None, false) => {}
            }
        }
        usages
    }
}
