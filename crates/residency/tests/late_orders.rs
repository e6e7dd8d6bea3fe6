//! Orders that an engine leaves unanswered and carries out late, also those of a controller that has
//! ended meanwhile: the engine is never ordered to load more than it holds.

mod common;

use std::collections::BTreeMap;

use base::prelude::*;
use common::{adapter, controller, engine_spec, instance, model, orders, report, resident};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use residency::{
    EngineChange, EngineOrder, EngineReport, OrderAction, OrderAnswer, OrderCount, PendingAdapter,
    change::{ControllerAction, DeclineReason},
    controller::EngineController,
};
use roster::{IncarnationStart, ResidentModel};

const MODELS: [&str; 5] = ["a", "b", "c", "d", "e"];
const ADAPTERS: [&str; 4] = ["a1", "a2", "a3", "a4"];
/// Time between two steps of a random history.
const STEP: Duration = Duration::from_millis(200);
/// Steps of a random history.
const STEPS: u32 = 600;
/// Steps after which an unanswered order is carried out at the latest, 12 s.
const MAX_DELAY: u32 = 60;
/// Steps that a load takes.
const LOAD_STEPS: u32 = 6;
const HISTORIES: u64 = 60;

fn load(orders: u64, name: &str) -> EngineChange {
    EngineChange {
        instance: instance("i-1"),
        started: Some(IncarnationStart(1)),
        orders: OrderCount(orders),
        unload: Vec::new(),
        load: Some(model(name)),
        load_time: Duration::from_millis(1_600),
        is_from_store: false,
    }
}

/// Guards against a load that was checked against one state of the engine and sent again for
/// another: an order of an earlier controller, carried out in between, had taken the memory.
#[tokio::test(start_paused = true)]
async fn load_that_no_longer_fits_is_not_sent_again() {
    let now = Instant::now();
    let held = [resident("a", &[]), resident("b", &[])];
    let mut controller = controller(report(2, false, &held), now);
    controller.request_change(load(2, "d"), now);
    let first = orders(&controller.take_actions());
    controller.apply_answer(OrderAnswer::Unknown, now);

    let later = now + Duration::from_secs(2);
    let grown = [resident("a", &[]), resident("b", &[]), resident("c", &[])];
    controller.apply_report(report(3, false, &grown), later);
    let actions = controller.take_actions();

    assert_eq!(first, ["load d at 2"]);
    assert!(orders(&actions).is_empty(), "three models fill the memory: {actions:?}");
    let declined = ControllerAction::Decline(Some(model("d")), DeclineReason::InsufficientMemory);
    assert!(actions.contains(&declined), "{actions:?}");
    assert!(controller.takes_changes(), "the planner may decide anew");
}

/// The same for a change that first unloads: a late order may fill the memory that it frees.
#[tokio::test(start_paused = true)]
async fn load_after_an_unload_is_checked_again() {
    let now = Instant::now();
    let held = [resident("a", &[]), resident("b", &[]), resident("c", &[])];
    let mut controller = controller(report(4, false, &held), now);
    controller.request_change(EngineChange { unload: vec![model("c")], ..load(4, "d") }, now);
    controller.take_actions();
    controller.apply_answer(OrderAnswer::Accepted, now);

    let refilled = [resident("a", &[]), resident("b", &[]), resident("e", &[])];
    controller.apply_report(report(6, false, &refilled), now);
    let actions = controller.take_actions();

    assert!(orders(&actions).is_empty(), "three models fill the memory: {actions:?}");
}

/// A load whose count changed for another reason is sent again, as it still fits.
#[tokio::test(start_paused = true)]
async fn load_that_still_fits_is_sent_again() {
    let now = Instant::now();
    let mut controller = controller(report(2, false, &[resident("a", &[])]), now);
    controller.request_change(load(2, "d"), now);
    controller.take_actions();
    controller.apply_answer(OrderAnswer::Conflict, now);

    let grown = [resident("a", &[]), resident("c", &[])];
    controller.apply_report(report(3, false, &grown), now);

    assert_eq!(orders(&controller.take_actions()), ["load d at 3"]);
}

/// An engine that carries out some orders late, and records those that exceed its capacity.
struct LateEngine {
    orders: u64,
    /// Models and their adapters; `None` while an adapter is pending.
    held: BTreeMap<ModelId, Vec<AdapterId>>,
    pending: Vec<PendingAdapter>,
    /// The model being loaded and the step at which it is ready.
    loading: Option<(ModelId, u32)>,
    /// Orders that were not answered, and the steps at which they are carried out.
    late: Vec<(u32, EngineOrder)>,
    violations: Vec<String>,
}

impl LateEngine {
    fn new() -> Self {
        let held = ["a", "b"].map(|name| (model(name), Vec::new())).into();
        let (pending, late, violations) = (Vec::new(), Vec::new(), Vec::new());
        Self { orders: 0, held, pending, loading: None, late, violations }
    }

    fn report(&self) -> EngineReport {
        let resident = |(name, adapters): (&ModelId, &Vec<AdapterId>)| ResidentModel {
            model: name.clone(),
            weights_version: 1,
            adapters: adapters.clone(),
        };
        EngineReport {
            pending: self.pending.clone(),
            ..report(
                self.orders,
                self.loading.is_some(),
                &self.held.iter().map(resident).collect::<Vec<_>>(),
            )
        }
    }

    fn used_memory(&self) -> f64 {
        let adapters: usize = self.held.values().map(Vec::len).sum();
        70_000.0 * self.held.len() as f64 + 60.0 * (adapters + self.pending.len()) as f64
    }

    fn carry_out(&mut self, order: &EngineOrder, step: u32) -> OrderAnswer {
        if self.loading.is_some() || order.expected.0 != self.orders {
            return OrderAnswer::Conflict;
        }
        let spec = engine_spec(&MODELS);
        let adapters: usize = self.held.values().map(Vec::len).sum();
        match &order.action {
            OrderAction::LoadModel(name) if self.held.contains_key(name) => {
                return OrderAnswer::Holds;
            }
            OrderAction::LoadModel(name) => {
                if self.used_memory() + 70_000.0 > spec.weights_capacity.0 {
                    self.violations.push(format!("{} at {step}", order.action));
                }
                self.loading = Some((name.clone(), step + LOAD_STEPS));
            }
            OrderAction::UnloadModel(name) => {
                self.pending.retain(|pending| pending.model != *name);
                self.held.remove(name);
            }
            OrderAction::LoadAdapter(name, adapter) => {
                if adapters + self.pending.len() >= spec.adapter_slots
                    || self.used_memory() + 60.0 > spec.weights_capacity.0
                {
                    self.violations.push(format!("{} at {step}", order.action));
                }
                let (model, adapter) = (name.clone(), adapter.clone());
                self.pending.push(PendingAdapter { model, adapter });
            }
            OrderAction::UnloadAdapter(name, adapter) => {
                let held = self.held.get_mut(name);
                held.into_iter().for_each(|held| held.retain(|found| found != adapter));
            }
        }
        self.orders += 1;
        OrderAnswer::Accepted
    }

    fn advance(&mut self, step: u32) {
        if let Some((name, _)) = self.loading.take_if(|(_, ready_at)| *ready_at <= step) {
            self.held.insert(name, Vec::new());
        }
        for pending in std::mem::take(&mut self.pending) {
            if let Some(held) = self.held.get_mut(&pending.model) {
                held.push(pending.adapter);
            }
        }
        let (due, late) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= step);
        self.late = late;
        let due: Vec<(u32, EngineOrder)> = due;
        for (_, order) in due {
            self.carry_out(&order, step);
        }
    }
}

fn start_controller(now: Instant) -> EngineController {
    let mut controller = common::controller_without_spec();
    controller.set_spec(engine_spec(&MODELS).into(), now);
    controller
}

/// Plays a history with random requests, in which four in five orders are carried out late and the
/// controller starts anew at times.
fn play_history(seed: u64, start: Instant) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut engine = LateEngine::new();
    let mut controller = start_controller(start);
    for step in 0..STEPS {
        let now = start + STEP * step;
        engine.advance(step);
        if random.random_bool(0.08) {
            controller = start_controller(now);
        }
        controller.apply_report(engine.report(), now);
        let name = MODELS[random.random_range(0..MODELS.len())];
        if random.random_bool(0.3) {
            let unload = engine.held.keys().next().filter(|_| random.random_bool(0.5)).cloned();
            let unload = unload.into_iter().collect();
            controller.request_change(EngineChange { unload, ..load(engine.orders, name) }, now);
        }
        if random.random_bool(0.1) {
            let adapter = adapter(ADAPTERS[random.random_range(0..ADAPTERS.len())]);
            controller.request_adapter(instance("i-1"), model(name), adapter, now);
        }
        for action in controller.take_actions() {
            let ControllerAction::Order(order) = action else { continue };
            let answer = match random.random_bool(0.2) {
                true => engine.carry_out(&order, step),
                false => {
                    let delay = random.random_range(1..MAX_DELAY);
                    engine.late.push((step + delay, order));
                    OrderAnswer::Unknown
                }
            };
            controller.apply_answer(answer, now);
        }
    }
    engine.violations
}

/// Guards against orders that exceed the capacity in any order of late orders, restarts of the
/// controller, changes and adapters.
#[tokio::test(start_paused = true)]
async fn late_orders_never_exceed_the_capacity() {
    let now = Instant::now();

    for seed in 0..HISTORIES {
        let violations = play_history(seed, now);
        assert!(violations.is_empty(), "seed {seed}: ordered beyond the capacity: {violations:?}");
    }
}
