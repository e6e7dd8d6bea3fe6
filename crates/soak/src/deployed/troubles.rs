//! Carries out the troubles of a day on a deployed fleet.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use base::prelude::*;
use nix::sys::signal::Signal;
use platform_standin::{
    EngineStandin, StoreFault, engine::EngineFault, service::ServiceFault, template,
};
use proof::relay::{RelayMode, TcpRelay};
use serde_json::json;
use tokio::{
    sync::{Mutex, mpsc},
    time,
};

use super::{
    DeployedFleet, LENDING_SIZE,
    day_plan::{ScheduledTrouble, Trouble},
};
use crate::{
    callers::{CallReport, send_requests},
    fleet::{FIRST_EVENT, catalog, model_names},
    plan::{LinkFault, StoreFaultKind},
};

/// Number of requests, orders or streams that a fault of a backend server affects.
const FAULT_COUNT: u32 = 5;
/// Delay of a slow connection, and of a slow store.
const SLOW_DELAY: Duration = Duration::from_millis(250);
/// Pause between two changes of the configuration.
const CHANGE_GAP: Duration = Duration::from_millis(60);
/// Time without the store as it is restored from a copy, and until its other writers notice.
const RESTORE_TIME: Duration = Duration::from_millis(400);
/// Requests of the callers of one gateway in a second, for each part of a burst.
const BURST_RATE: f64 = 9.0;

/// A day in progress; clones share it.
#[derive(Clone)]
pub(super) struct DayState {
    pub fleet: Arc<Mutex<DeployedFleet>>,
    pub reports: mpsc::UnboundedSender<CallReport>,
    pub seed: u64,
}

fn relay_mode(fault: LinkFault) -> RelayMode {
    match fault {
        LinkFault::Cut => RelayMode::Cut,
        LinkFault::Silent => RelayMode::Stalled,
        LinkFault::OneWay => RelayMode::OneWay,
        LinkFault::Slow => RelayMode::Delayed(SLOW_DELAY),
    }
}

impl DayState {
    /// Carries out a trouble, and returns when it has ended.
    pub async fn carry_out(self, scheduled: ScheduledTrouble) {
        let ScheduledTrouble { duration, trouble, .. } = scheduled;
        match trouble {
            Trouble::Kill(vms) => {
                let mut fleet = self.fleet.lock().await;
                vms.into_iter().for_each(|vm| fleet.vms[vm].kill_for(duration));
            }
            Trouble::Freeze(vms) => {
                let mut fleet = self.fleet.lock().await;
                vms.into_iter().for_each(|vm| fleet.vms[vm].freeze(duration));
            }
            Trouble::Slow(vms, factor) => {
                let fleet = self.fleet.lock().await;
                vms.into_iter().for_each(|vm| fleet.vms[vm].slow(factor, duration));
            }
            Trouble::RollingStop(vms, pause) => {
                for vm in vms {
                    self.fleet.lock().await.vms[vm].stop();
                    time::sleep(pause).await;
                }
            }
            Trouble::HangUp(vms) => {
                let fleet = self.fleet.lock().await;
                vms.into_iter().for_each(|vm| fleet.vms[vm].signal(Signal::SIGHUP));
            }
            Trouble::RewriteSettings(vms) => self.rewrite_settings(vms, duration).await,
            Trouble::Store(kind) => self.disturb_store(kind, duration).await,
            Trouble::StoreLink(vms, fault) => {
                self.disturb_links(|fleet| &fleet.store_links, &vms, fault, duration).await;
            }
            Trouble::EngineLink(engines, fault) => {
                self.disturb_links(|fleet| &fleet.engine_links, &engines, fault, duration).await;
            }
            Trouble::EngineCrash(engines) => {
                let fleet = self.fleet.lock().await;
                for index in engines {
                    let engine = &fleet.engines[index];
                    engine.crash(next_incarnation());
                    fleet.publish_engine(index, "ready");
                }
            }
            Trouble::EngineSilent(engines) => {
                let fault = EngineFault { is_unresponsive: true, ..EngineFault::default() };
                self.each_engine(&engines, |engine| engine.set_fault(fault)).await;
                time::sleep(duration).await;
                let none = EngineFault::default();
                self.each_engine(&engines, |engine| engine.set_fault(none)).await;
            }
            Trouble::EngineBusy(engines, delay) => {
                self.each_engine(&engines, |engine| engine.set_first_event(delay)).await;
                time::sleep(duration).await;
                self.each_engine(&engines, |engine| engine.set_first_event(FIRST_EVENT)).await;
            }
            Trouble::BrokenStreams(engines) => {
                let fault = EngineFault {
                    broken_streams: FAULT_COUNT,
                    broken_heads: 1,
                    refusals: FAULT_COUNT,
                    ..EngineFault::default()
                };
                self.each_engine(&engines, |engine| engine.set_fault(fault)).await;
            }
            Trouble::LostOrders(engines) => {
                let fault =
                    EngineFault { dropped_order_answers: FAULT_COUNT, ..EngineFault::default() };
                self.each_engine(&engines, |engine| engine.set_fault(fault)).await;
            }
            Trouble::Release(engines) => self.release(&engines, duration).await,
            Trouble::ServiceSilent(index) => {
                let fault = ServiceFault { is_unresponsive: true, ..ServiceFault::default() };
                self.disturb_service(index, fault, None, duration).await;
            }
            Trouble::ServiceErrors(index) => {
                let fault = ServiceFault {
                    dropped_answers: FAULT_COUNT,
                    mismatched_ids: FAULT_COUNT,
                    failures: FAULT_COUNT,
                    refusals: FAULT_COUNT,
                    ..ServiceFault::default()
                };
                self.disturb_service(index, fault, None, duration).await;
            }
            Trouble::ServiceLimit(index) => {
                let fault = ServiceFault {
                    refusals: FAULT_COUNT,
                    retry_after: Some("1"),
                    ..ServiceFault::default()
                };
                self.disturb_service(index, fault, Some("2.0"), duration).await;
            }
            Trouble::Configurations(changes, routes) => {
                for _ in 0..changes {
                    self.fleet.lock().await.add_routes(routes);
                    time::sleep(CHANGE_GAP).await;
                }
            }
            Trouble::Burst(parts) => self.burst(parts, duration).await,
        }
    }

    async fn each_engine(&self, engines: &[usize], apply: impl Fn(&EngineStandin)) {
        let fleet = self.fleet.lock().await;
        engines.iter().for_each(|index| apply(&fleet.engines[*index]));
    }

    async fn disturb_links(
        &self,
        links: impl Fn(&DeployedFleet) -> &Vec<TcpRelay>,
        indexes: &[usize],
        fault: LinkFault,
        duration: Duration,
    ) {
        let set = async |mode| {
            let fleet = self.fleet.lock().await;
            indexes.iter().for_each(|index| links(&fleet)[*index].set_mode(mode));
        };
        set(relay_mode(fault)).await;
        time::sleep(duration).await;
        set(RelayMode::Open).await;
    }

    async fn disturb_service(
        &self,
        index: usize,
        fault: ServiceFault,
        limit: Option<&'static str>,
        duration: Duration,
    ) {
        let service = self.fleet.lock().await.services[index].clone();
        service.set_fault(fault);
        service.set_limit(limit);
        time::sleep(duration).await;
        service.set_limit(None);
        service.set_fault(ServiceFault::default());
    }

    async fn disturb_store(&self, kind: StoreFaultKind, duration: Duration) {
        let store = self.fleet.lock().await.store.clone();
        let fault = match kind {
            StoreFaultKind::Busy => StoreFault::Busy,
            StoreFaultKind::Silent => StoreFault::Unresponsive,
            StoreFaultKind::Reset => StoreFault::Reset,
            StoreFaultKind::Slow => {
                store.set_delay(SLOW_DELAY);
                StoreFault::None
            }
            StoreFaultKind::LostAnswers => {
                store.drop_answers(FAULT_COUNT);
                StoreFault::None
            }
            StoreFaultKind::Compacted => {
                store.compact();
                StoreFault::None
            }
            StoreFaultKind::Restored => {
                store.back_up();
                StoreFault::None
            }
        };
        store.set_fault(fault);
        time::sleep(duration).await;
        if kind == StoreFaultKind::Restored {
            store.set_fault(StoreFault::Reset);
            store.restore();
            time::sleep(RESTORE_TIME).await;
        }
        store.set_delay(Duration::ZERO);
        store.set_fault(StoreFault::None);
        if kind == StoreFaultKind::Restored {
            time::sleep(RESTORE_TIME).await;
            let mut fleet = self.fleet.lock().await;
            fleet.publish_engines();
            fleet.add_routes(0);
        }
    }

    async fn rewrite_settings(&self, vms: Vec<usize>, pause: Duration) {
        let write = async |is_whole: bool| {
            let fleet = self.fleet.lock().await;
            for vm in vms.iter().map(|index| &fleet.vms[*index]) {
                let text = template::render(&vm.template, &vm.spec.fields());
                let length = if is_whole { text.len() } else { text.len() / 2 };
                if let Err(error) = fs::write(&vm.settings, &text[..length]) {
                    eprintln!("soak: cannot write {}: {error}", vm.settings.display());
                }
            }
        };
        write(false).await;
        time::sleep(pause).await;
        write(true).await;
        let fleet = self.fleet.lock().await;
        vms.iter().for_each(|index| fleet.vms[*index].signal(Signal::SIGHUP));
    }

    async fn release(&self, engines: &[usize], duration: Duration) {
        let fleet = self.fleet.lock().await;
        engines.iter().for_each(|index| fleet.publish_engine(*index, "draining"));
        drop(fleet);
        time::sleep(duration).await;
        let fleet = self.fleet.lock().await;
        for index in engines {
            let engine = &fleet.engines[*index];
            fleet.store.remove("servers", &engine.instance());
            engine.crash(next_incarnation());
            fleet.publish_engine(*index, "ready");
        }
    }

    async fn burst(&self, parts: u32, duration: Duration) {
        let stop = Arc::new(AtomicBool::new(false));
        let mut models = model_names(LENDING_SIZE.models);
        models.rotate_left(LENDING_SIZE.models / 3);
        let addresses = self.fleet.lock().await.caller_addresses();
        for (gateway, address) in addresses.into_iter().enumerate() {
            let (models, stop, reports) = (models.clone(), Arc::clone(&stop), self.reports.clone());
            let seed = self.seed ^ (0xb0 + gateway as u64) << 24;
            let rate = BURST_RATE * f64::from(parts);
            tokio::spawn(async move {
                // Numbers of gateways name requests, which no other load may repeat.
                let gateway = gateway + 100 + (duration.as_millis() as usize) * 100;
                send_requests(gateway, address, rate, &models, seed, stop, reports).await;
            });
        }
        time::sleep(duration).await;
        stop.store(true, Ordering::Relaxed);
    }
}

/// A start of an engine, later than all before it.
pub(super) fn next_incarnation() -> u64 {
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(2);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

impl DeployedFleet {
    /// Writes a configuration with `count` more routes.
    pub(super) fn add_routes(&mut self, count: u32) {
        let first = self.added_routes.len();
        let added = (0..count as usize).map(|number| format!("/added-{}/", first + number));
        self.added_routes.extend(added);
        self.version += 3;
        let models = model_names(LENDING_SIZE.models);
        let mut text = catalog(&models, &self.added_routes).build(self.version);
        for model in text["services"][0]["engine"]["models"].as_array_mut().into_iter().flatten() {
            model["load-s"] = json!(6.0);
        }
        self.store.write("config", "main", &text);
    }
}
