//! State and load of the engines, as their side processes report them.

use std::{collections::BTreeMap, net::SocketAddr};

use base::prelude::*;
use catalog::TokenCount;
use dispatch::{EngineUpdate, LoadInProgress};
use peers::{DatagramBody, EngineLoad, EngineState, SideHeartbeat};
use residency::{CurrentLoad, DemandRates, EngineSnapshot, OrderCount};
use roster::{IncarnationStart, InstanceId, ResidentModel, SoftwareVersion};

use super::{Fleet, FleetState, SIDE_HEARTBEAT_INTERVAL, SIDE_PROBE_TIMEOUT, SideStatus};

/// An engine in the roster.
pub(super) struct ListedEngine {
    pub service: ServiceName,
    pub instance: InstanceId,
    pub address: SocketAddr,
    pub is_draining: bool,
}

impl Fleet {
    pub(super) fn send_side_heartbeat(
        &self,
        state: &mut FleetState,
        engine: &ListedEngine,
        known_state: u64,
    ) {
        let side = SocketAddr::new(engine.address.ip(), self.side_port);
        self.socket.send(side, DatagramBody::SideHeartbeat(SideHeartbeat { known_state }));
        // A planner that no engine has reported to waits for the first report.
        let planner = state.planners.get_mut(&engine.service);
        if let Some(planner) = planner.filter(|_| !engine.is_draining) {
            planner.record_heartbeat(&engine.instance, Instant::now());
        }
    }

    pub(super) fn send_side_heartbeats(&self) {
        let now = Instant::now();
        let engines = self.engines_to_contact();
        let mut state = self.lock();
        let is_due = state
            .last_side_heartbeat
            .is_none_or(|sent| now.saturating_duration_since(sent) >= SIDE_HEARTBEAT_INTERVAL);
        for engine in engines {
            let side = state.sides.get(&engine.address);
            let known_state = side.map_or(0, |side| side.state_number);
            let needs_probe = side.is_none_or(|side| {
                now.saturating_duration_since(side.last_received) > SIDE_PROBE_TIMEOUT
            });
            if is_due || known_state == 0 || needs_probe {
                self.send_side_heartbeat(&mut state, &engine, known_state);
            }
        }
        if is_due {
            state.last_side_heartbeat = Some(now);
        }
    }

    pub(super) fn engines_to_contact(&self) -> Vec<ListedEngine> {
        let Some(catalog) = self.catalog.borrow().clone() else { return Vec::new() };
        let has_engine = |service: &ServiceName| {
            catalog.service(service).is_some_and(|service| service.engine.is_some())
        };
        self.backends.with_dispatcher(|dispatcher, _| {
            let engines = dispatcher.servers().filter(|view| has_engine(&view.service));
            engines
                .map(|view| ListedEngine {
                    service: view.service.clone(),
                    instance: view.id.clone(),
                    address: view.address,
                    is_draining: view.is_draining(),
                })
                .collect()
        })
    }

    pub(super) fn apply_engine_state(&self, state: &EngineState) {
        let Ok(address) = state.engine.parse::<SocketAddr>() else { return };
        let now = Instant::now();
        let started = (state.started != 0).then_some(IncarnationStart(state.started));
        let state_number = state.load.map_or(0, |load| load.state_number);
        let update = engine_update(state, now);
        let listed = self.backends.with_dispatcher(|dispatcher, now| {
            let view = dispatcher.server_at(address, started)?;
            let (instance, service) = (view.id.clone(), view.service.clone());
            let (software, is_draining) = (view.software.clone(), view.is_draining());
            dispatcher.apply_engine_update(&instance, &update, now);
            dispatcher.review_waiting(now);
            Some((instance, service, software, is_draining))
        });
        // If the engine is not listed yet, number 0 makes the next heartbeat request the state
        // again.
        let state_number = if listed.is_some() { state_number } else { 0 };
        if listed.is_none() {
            self.mark_restarted(address);
        }
        let mut fleet = self.lock();
        fleet.sides.insert(
            address,
            SideStatus { last_received: now, state_number, is_unreachable: false },
        );
        let Some((instance, service, software, is_draining)) = listed else { return };
        let FleetState { planners, demand, .. } = &mut *fleet;
        let planner = planners.entry(service).or_default();
        if is_draining || !state.is_reachable {
            planner.remove(&instance);
        } else {
            demand.apply_served_rates(instance.clone(), served_rates(state), now);
            let identity = EngineIdentity { instance, started, software };
            planner.update_engine(engine_snapshot(identity, state, &update, now), now);
        }
        drop(fleet);
        self.plan_inputs_changed.notify_one();
    }

    /// Takes an engine out of use that is another incarnation than the roster lists. It may have
    /// another software version, and it holds other models.
    fn mark_restarted(&self, address: SocketAddr) {
        let found = self.backends.with_dispatcher(|dispatcher, _| {
            let instance = dispatcher.server_at(address, None).map(|view| view.id.clone())?;
            Some((dispatcher.mark_restarted(&instance), instance))
        });
        let Some((was_in_use, instance)) = found else { return };
        for planner in self.lock().planners.values_mut() {
            planner.mark_restarted(&instance);
        }
        if was_in_use {
            self.record_server_status(&instance, "restarted");
        }
    }

    pub(super) fn apply_engine_load(&self, source: SocketAddr, load: EngineLoad) {
        let now = Instant::now();
        let mut state = self.lock();
        let found = state.sides.iter_mut().find(|(engine, _)| engine.ip() == source.ip());
        let Some((engine, side)) = found else { return };
        let engine = *engine;
        side.last_received = now;
        side.is_unreachable = false;
        if side.state_number != load.state_number {
            side.state_number = 0;
            let heartbeat = SideHeartbeat { known_state: 0 };
            self.socket.send(source, DatagramBody::SideHeartbeat(heartbeat));
        }
        drop(state);
        self.backends.with_dispatcher(|dispatcher, now| {
            if let Some(instance) = dispatcher.server_at(engine, None).map(|view| view.id.clone()) {
                let queued_prefill = TokenCount(load.queued_prefill);
                dispatcher.record_side_load(
                    &instance,
                    load.running.saturating_add(load.waiting),
                    queued_prefill,
                    now,
                );
            }
        });
    }
}

/// Arrival rates of the resident models at the engine.
fn served_rates(state: &EngineState) -> BTreeMap<ModelId, DemandRates> {
    let rates = state.residents.iter().filter_map(|resident| {
        let past = resident.past_rates?;
        let rates =
            DemandRates { recent: EventRate(past.recent), long_term: EventRate(past.long_term) };
        Some((resident.model.parse().ok()?, rates))
    });
    rates.collect()
}

fn parse_models(names: &[String]) -> impl Iterator<Item = ModelId> {
    names.iter().filter_map(|name| name.parse().ok())
}

fn engine_update(state: &EngineState, now: Instant) -> EngineUpdate {
    let residents = state.residents.iter().filter_map(|resident| {
        Some(ResidentModel {
            model: resident.model.parse().ok()?,
            weights_version: resident.weights_version,
            adapters: resident.adapters.iter().filter_map(|name| name.parse().ok()).collect(),
        })
    });
    let loading = state.loading.as_ref().and_then(|load| {
        let ready_at = now + Duration::from_millis(load.ready_in_ms.into());
        Some(LoadInProgress { model: load.model.parse().ok()?, ready_at })
    });
    let load = state.load.unwrap_or_default();
    EngineUpdate {
        residents: residents.collect(),
        unloading: state.unloading.parse().ok(),
        loading,
        running: load.running,
        waiting: load.waiting,
        queued_prefill: TokenCount(load.queued_prefill),
        is_reachable: state.is_reachable,
    }
}

/// What the roster says of an engine.
struct EngineIdentity {
    instance: InstanceId,
    started: Option<IncarnationStart>,
    software: SoftwareVersion,
}

fn engine_snapshot(
    identity: EngineIdentity,
    state: &EngineState,
    update: &EngineUpdate,
    now: Instant,
) -> EngineSnapshot {
    let loading = state.loading.as_ref().and_then(|load| {
        Some(CurrentLoad {
            model: load.model.parse().ok()?,
            ready_at: now + Duration::from_millis(load.ready_in_ms.into()),
            is_from_store: load.is_from_store,
        })
    });
    let residents = update
        .residents
        .iter()
        .map(|resident| (resident.model.clone(), resident.adapters.len()))
        .collect();
    EngineSnapshot {
        instance: identity.instance,
        started: identity.started,
        software: identity.software,
        orders: OrderCount(state.orders),
        residents,
        loading,
        unloading: update.unloading.clone(),
        copies_in_memory: parse_models(&state.copies_in_memory).collect(),
        copies_on_disk: parse_models(&state.copies_on_disk).collect(),
        takes_changes: state.takes_changes,
    }
}
