//! Demand reports, and the planning of loads if this entry is the planner.

use std::{collections::HashMap, net::SocketAddr};

use base::prelude::*;
use dispatch::{LoadEstimate, LoadTarget};
use events::EngineEvent;
use peers::{
    ChangeRequest, DatagramBody, DemandReport, LoadEstimates, ModelDemand, ModelEstimate,
    PastRates, RunningRequests, WaitingStreams,
};
use residency::{DemandRates, DemandRow, PlannedChange};
use roster::InstanceId;
use tokio::time;

use super::{Fleet, FleetState, saturating_millis};

/// Time between two demand reports; without demand they are skipped.
const DEMAND_INTERVAL: Duration = Duration::from_millis(200);
/// Delay between a request that starts to wait and the demand report, so that a burst of requests
/// is reported together.
const DEMAND_DELAY: Duration = Duration::from_millis(10);
/// Longest time between two planning passes.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest time between two planning passes, so that a burst of updates is handled in one pass.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(30);

impl Fleet {
    pub(super) fn apply_load_estimates(&self, estimates: LoadEstimates) {
        let now = Instant::now();
        let estimates = estimates.models.into_iter().filter_map(|estimate| {
            let ready_at = estimate.ready_in_ms.map(|ms| now + Duration::from_millis(ms.into()));
            let software = Some(estimate.software).filter(|software| !software.is_empty());
            let load = LoadTarget {
                model: estimate.model.parse().ok()?,
                software: software.and_then(|software| software.parse().ok()),
            };
            Some((load, LoadEstimate { ready_at, estimated_at: now }))
        });
        let estimates: Vec<(LoadTarget, LoadEstimate)> = estimates.collect();
        self.set_load_estimates(estimates);
    }

    fn set_load_estimates(&self, estimates: Vec<(LoadTarget, LoadEstimate)>) {
        if estimates.is_empty() {
            return;
        }
        self.backends.with_dispatcher(|dispatcher, now| {
            for (load, estimate) in estimates {
                dispatcher.set_load_estimate(load, estimate);
            }
            dispatcher.review_waiting(now);
        });
    }

    pub(super) async fn report_demand(self) {
        loop {
            tokio::select! {
                () = time::sleep(DEMAND_INTERVAL) => {}
                () = self.demand_changed.notified() => time::sleep(DEMAND_DELAY).await,
            }
            self.send_demand_report();
        }
    }

    fn send_demand_report(&self) {
        let usage = self.backends.with_dispatcher(|dispatcher, now| dispatcher.model_usage(now));
        let mut state = self.lock();
        let (planner, now) = (state.peers.planner(), Instant::now());
        let Some(rows) = state.demand_reporter.rows(usage, planner, now) else { return };
        match planner {
            Some(planner) => {
                let models = rows.into_iter().map(encode_row).collect();
                let demand = DemandReport { models };
                self.socket.send(planner.address, DatagramBody::DemandReport(demand));
            }
            None => {
                let vm = self.vm.clone();
                state.demand.apply_report(vm, rows, now);
                drop(state);
                self.plan_inputs_changed.notify_one();
            }
        }
    }

    pub(super) async fn run_planner(self) {
        loop {
            tokio::select! {
                () = time::sleep(MAX_PLAN_INTERVAL) => {}
                () = self.plan_inputs_changed.notified() => {}
            }
            self.run_planning_pass();
            time::sleep(MIN_PLAN_INTERVAL).await;
        }
    }

    /// Runs a planning pass if this entry is the planner.
    fn run_planning_pass(&self) {
        let Some(catalog) = self.catalog.borrow().clone() else { return };
        let now = Instant::now();
        let engine_counts = self.listed_engines();
        let limits = self.engine_limits();
        let mut estimates = Vec::new();
        let mut changes = Vec::new();
        let live_addresses: Vec<SocketAddr> = {
            let mut state = self.lock();
            if state.peers.planner().is_some() {
                return;
            }
            let FleetState { planners, demand, .. } = &mut *state;
            for (service, planner) in planners.iter_mut() {
                let spec = catalog.service(service).and_then(|found| found.engine.clone());
                let Some(spec) = spec else { continue };
                planner.set_spec(spec);
                planner.set_listed(engine_counts.get(service).copied().unwrap_or(0));
                planner.set_limits(limits.clone());
                let outcome = planner.plan(demand, now);
                estimates.extend(
                    outcome
                        .load_estimates
                        .into_iter()
                        .map(|(model, ready_at)| (LoadTarget { model, software: None }, ready_at)),
                );
                let streams = outcome.stream_estimates.into_iter();
                estimates.extend(streams.map(|(model, software, ready_at)| {
                    (LoadTarget { model, software: Some(software) }, ready_at)
                }));
                changes.extend(outcome.changes);
            }
            state.peers.live().map(|(_, address)| address).collect()
        };
        for planned in &changes {
            self.request_change(planned);
        }
        self.send_load_estimates(&live_addresses, estimates, now);
    }

    /// Number of backend servers that are not draining, by service.
    fn listed_engines(&self) -> HashMap<ServiceName, usize> {
        self.backends.with_dispatcher(|dispatcher, _| {
            let mut counts = HashMap::new();
            for view in dispatcher.servers().filter(|view| !view.is_draining()) {
                *counts.entry(view.service.clone()).or_insert(0) += 1;
            }
            counts
        })
    }

    /// The requests a second that each backend server takes which names a limit.
    fn engine_limits(&self) -> HashMap<InstanceId, EventRate> {
        self.backends.with_dispatcher(|dispatcher, _| {
            let limits = dispatcher.servers().filter_map(|view| {
                let limit = dispatcher.limits().limit(&view.id, view.started)?;
                Some((view.id.clone(), limit))
            });
            limits.collect()
        })
    }

    fn request_change(&self, planned: &PlannedChange) {
        let change = &planned.change;
        let address = self.backends.with_dispatcher(|dispatcher, _| {
            dispatcher.server(&change.instance).map(|view| view.address)
        });
        let Some(address) = address else { return };
        let load = change.load.as_ref().map(ToString::to_string).unwrap_or_default();
        let unload: Vec<String> = change.unload.iter().map(ToString::to_string).collect();
        self.log.record(
            &EngineEvent::ChangePlanned {
                server: &change.instance,
                load: &load,
                unload: &unload.join(" "),
                reason: planned.reason.text(),
                weights: planned.source.text(),
                waiting: planned.waiting,
                orders: change.orders,
            }
            .into(),
        );
        let request = ChangeRequest {
            instance: change.instance.to_string(),
            started: change.started.map_or(0, |started| started.0),
            orders: change.orders.0,
            unload,
            load,
            load_ms: saturating_millis(change.load_time),
            is_from_store: change.is_from_store,
        };
        let side = SocketAddr::new(address.ip(), self.side_port);
        self.socket.send(side, DatagramBody::ChangeRequest(request));
    }

    fn send_load_estimates(
        &self,
        addresses: &[SocketAddr],
        estimates: Vec<(LoadTarget, Option<Instant>)>,
        now: Instant,
    ) {
        if estimates.is_empty() {
            return;
        }
        let models = estimates
            .iter()
            .map(|(load, ready_at)| ModelEstimate {
                model: load.model.to_string(),
                software: load.software.as_ref().map(ToString::to_string).unwrap_or_default(),
                ready_in_ms: ready_at
                    .map(|at| saturating_millis(at.saturating_duration_since(now))),
            })
            .collect();
        self.socket.send_all(addresses, DatagramBody::LoadEstimates(LoadEstimates { models }));
        let own_estimates = estimates
            .into_iter()
            .map(|(load, ready_at)| (load, LoadEstimate { ready_at, estimated_at: now }))
            .collect();
        self.set_load_estimates(own_estimates);
    }
}

fn encode_row(row: DemandRow) -> ModelDemand {
    let running = row.running.into_iter();
    ModelDemand {
        model: row.model.map(String::from).unwrap_or_default(),
        arrivals: row.arrivals,
        waiting: row.waiting,
        slack_ms: saturating_millis(row.slack),
        running: running
            .map(|(engine, requests)| RunningRequests {
                instance: engine.to_string(),
                count: requests,
            })
            .collect(),
        priority: row.priority,
        streams: row
            .streams
            .into_iter()
            .map(|(software, count)| WaitingStreams { software: software.to_string(), count })
            .collect(),
        past_rates: row
            .past_rates
            .map(|past| PastRates { recent: past.recent.0, long_term: past.long_term.0 }),
    }
}

pub(super) fn decode_row(row: &ModelDemand) -> Option<DemandRow> {
    let running =
        row.running.iter().filter_map(|engine| Some((engine.instance.parse().ok()?, engine.count)));
    Some(DemandRow {
        model: Some(row.model.parse().ok()?),
        arrivals: row.arrivals,
        waiting: row.waiting,
        slack: Duration::from_millis(row.slack_ms.into()),
        priority: row.priority,
        streams: row
            .streams
            .iter()
            .filter_map(|streams| Some((streams.software.parse().ok()?, streams.count)))
            .collect(),
        running: running.collect(),
        past_rates: row.past_rates.map(|past| DemandRates {
            recent: EventRate(past.recent),
            long_term: EventRate(past.long_term),
        }),
    })
}
