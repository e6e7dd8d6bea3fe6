//! Carries out faults.

use std::{sync::Arc, time::Duration};

use base::prelude::Instant;
use platform_standin::{EngineFault, ServiceFault, StoreFault};
use proof::relay::{RelayMode, TcpRelay};
use tokio::{sync::Mutex, time};

use crate::{
    plan::{Fault, LinkFault, StoreTrouble, Strike, Target},
    world::{GRACE, World, catalog},
};

/// Delay of slow connections.
const LINK_DELAY: Duration = Duration::from_millis(120);
/// Delay of a slow store.
const STORE_DELAY: Duration = Duration::from_millis(250);
/// Streams, orders and answers that one fault spoils.
const SPOILED: u32 = 3;

/// What was done to the fleet, for the checks.
#[derive(Debug, Clone, Default)]
pub struct Chronicle {
    /// Processes that were killed, frozen, or lost their way, with the span.
    pub struck: Vec<(Target, Instant, Instant)>,
    /// Planned stops: when told, and whether the process ended in time.
    pub stops: Vec<(Target, Instant, bool)>,
    /// Plain backend servers that left, and when the store said so.
    pub left: Vec<(usize, Instant)>,
    /// Routes that were added, and when.
    pub routes: Vec<(String, Instant)>,
    /// Spans in which the store misbehaved for everybody.
    pub store_troubles: Vec<(Instant, Instant)>,
    /// Spans in which backend servers or the ways to them misbehaved.
    pub backend_troubles: Vec<(Instant, Instant)>,
    /// Processes that ended by themselves.
    pub ended: Vec<String>,
}

/// The fleet and its chronicle.
pub struct Scene {
    /// Fleet.
    pub world: Mutex<World>,
    /// What was done to it.
    pub chronicle: Mutex<Chronicle>,
}

fn mode(fault: LinkFault) -> RelayMode {
    match fault {
        LinkFault::Cut => RelayMode::Cut,
        LinkFault::Silent => RelayMode::Stalled,
        LinkFault::OneWay => RelayMode::OneWay,
        LinkFault::Slow => RelayMode::Delayed(LINK_DELAY),
    }
}

/// Carries out one fault from its beginning to its end.
pub async fn carry_out(scene: Arc<Scene>, strike: Strike) {
    let began = Instant::now();
    let span = strike.span;
    match strike.fault {
        Fault::Kill(target) => kill(&scene, target, span).await,
        Fault::Freeze(target) => freeze(&scene, target, span).await,
        Fault::Restart(target) => restart(&scene, target).await,
        Fault::StoreLink(target, fault) => {
            spoil(&scene, |world| &world.member_mut(target).store_link, fault, span).await;
            scene.chronicle.lock().await.struck.push((target, began, Instant::now()));
        }
        Fault::EngineLink(index, fault) => {
            spoil(&scene, |world| &world.engines[index].link, fault, span).await;
        }
        Fault::ServiceLink(index, fault) => {
            spoil(&scene, |world| &world.services[index].link, fault, span).await;
        }
        Fault::Store(trouble) => {
            disturb_store(&scene, trouble, span).await;
            let ended = Instant::now();
            scene.chronicle.lock().await.store_troubles.push((began, ended));
        }
        Fault::EngineCrash(index) => {
            let born = 2 + u64::try_from(began.elapsed().as_nanos()).unwrap_or(0);
            let world = scene.world.lock().await;
            world.engines[index].engine.crash(born + world.engines[index].engine.orders());
            world.list_engine(index);
        }
        Fault::EngineSilent(index) => {
            let fault = EngineFault { is_unresponsive: true, ..EngineFault::default() };
            spoil_engine(&scene, index, fault).await;
            time::sleep(span).await;
            spoil_engine(&scene, index, EngineFault::default()).await;
        }
        Fault::BrokenStreams(index) => {
            let fault =
                EngineFault { broken_streams: SPOILED, broken_heads: 1, ..EngineFault::default() };
            spoil_engine(&scene, index, fault).await;
        }
        Fault::LostOrders(index) => {
            let fault = EngineFault { dropped_order_answers: SPOILED, ..EngineFault::default() };
            spoil_engine(&scene, index, fault).await;
        }
        Fault::ServiceSilent(index) => {
            let fault = ServiceFault { is_unresponsive: true, ..ServiceFault::default() };
            spoil_service(&scene, index, fault).await;
            time::sleep(span).await;
            spoil_service(&scene, index, ServiceFault::default()).await;
        }
        Fault::LostAnswers(index) => {
            let fault = ServiceFault { dropped_answers: SPOILED, ..ServiceFault::default() };
            spoil_service(&scene, index, fault).await;
        }
        Fault::CrossedAnswers(index) => {
            let fault = ServiceFault { mismatched_ids: SPOILED, ..ServiceFault::default() };
            spoil_service(&scene, index, fault).await;
        }
        Fault::Refusals(index) => {
            let fault = ServiceFault { refusals: SPOILED, ..ServiceFault::default() };
            spoil_service(&scene, index, fault).await;
        }
        Fault::Leaving(index) => leave(&scene, index).await,
        Fault::NewRoute => add_route(&scene).await,
        Fault::HangUp(target) => {
            if let Some(process) = &scene.world.lock().await.member_mut(target).process {
                // Another fault may have ended it; a process that ends by itself is found later.
                let _ = process.hang_up();
            }
        }
    }
    if touches_backends(strike.fault) {
        let ended = Instant::now() + Duration::from_secs(1);
        scene.chronicle.lock().await.backend_troubles.push((began, ended));
    }
}

fn touches_backends(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::EngineLink(..)
            | Fault::ServiceLink(..)
            | Fault::EngineCrash(_)
            | Fault::EngineSilent(_)
            | Fault::BrokenStreams(_)
            | Fault::ServiceSilent(_)
            | Fault::LostAnswers(_)
            | Fault::CrossedAnswers(_)
    )
}

async fn spoil(
    scene: &Scene,
    link: impl Fn(&mut World) -> &TcpRelay,
    fault: LinkFault,
    span: Duration,
) {
    link(&mut *scene.world.lock().await).set_mode(mode(fault));
    time::sleep(span).await;
    link(&mut *scene.world.lock().await).set_mode(RelayMode::Open);
}

async fn kill(scene: &Scene, target: Target, span: Duration) {
    let began = Instant::now();
    let process = scene.world.lock().await.member_mut(target).process.take();
    let Some(mut process) = process else { return };
    process.kill().await;
    time::sleep(span).await;
    start_again(scene, target).await;
    scene.chronicle.lock().await.struck.push((target, began, Instant::now()));
}

async fn freeze(scene: &Scene, target: Target, span: Duration) {
    let began = Instant::now();
    let froze = match &mut scene.world.lock().await.member_mut(target).process {
        Some(process) => process.freeze().is_ok(),
        None => false,
    };
    if !froze {
        return;
    }
    time::sleep(span).await;
    if let Some(process) = &mut scene.world.lock().await.member_mut(target).process {
        // Another fault may have killed it in the meantime.
        let _ = process.resume();
    }
    scene.chronicle.lock().await.struck.push((target, began, Instant::now()));
}

async fn restart(scene: &Scene, target: Target) {
    let told = Instant::now();
    let process = scene.world.lock().await.member_mut(target).process.take();
    let Some(mut process) = process else { return };
    let ended_well = match process.is_frozen() {
        // A process that stands still cannot follow; it is killed as the platform would.
        true => None,
        false if process.terminate().is_ok() => process.wait_for_exit(GRACE).await,
        false => None,
    };
    if ended_well.is_none() {
        process.kill().await;
    }
    start_again(scene, target).await;
    let mut chronicle = scene.chronicle.lock().await;
    chronicle.stops.push((target, told, ended_well == Some(true)));
    chronicle.struck.push((target, told + GRACE, Instant::now()));
}

async fn start_again(scene: &Scene, target: Target) {
    if let Err(error) = scene.world.lock().await.start_again(target).await {
        scene.chronicle.lock().await.ended.push(format!("{target} does not start: {error}"));
    }
}

async fn disturb_store(scene: &Scene, trouble: StoreTrouble, span: Duration) {
    let store = scene.world.lock().await.store.clone();
    match trouble {
        StoreTrouble::Busy => store.set_fault(StoreFault::Busy),
        StoreTrouble::Silent => store.set_fault(StoreFault::Unresponsive),
        StoreTrouble::Reset => store.set_fault(StoreFault::Reset),
        StoreTrouble::Slow => store.set_delay(STORE_DELAY),
        StoreTrouble::LostAnswers => store.drop_answers(SPOILED),
        StoreTrouble::Compacted => store.compact(),
    }
    time::sleep(span).await;
    match trouble {
        StoreTrouble::Busy | StoreTrouble::Silent | StoreTrouble::Reset => {
            store.set_fault(StoreFault::None);
        }
        StoreTrouble::Slow => store.set_delay(Duration::ZERO),
        StoreTrouble::LostAnswers | StoreTrouble::Compacted => {}
    }
}

async fn spoil_engine(scene: &Scene, index: usize, fault: EngineFault) {
    scene.world.lock().await.engines[index].engine.set_fault(fault);
}

async fn spoil_service(scene: &Scene, index: usize, fault: ServiceFault) {
    scene.world.lock().await.services[index].service.set_fault(fault);
}

async fn leave(scene: &Scene, index: usize) {
    let mut world = scene.world.lock().await;
    let mut chronicle = scene.chronicle.lock().await;
    if chronicle.left.iter().any(|(left, _)| *left == index) {
        return;
    }
    if let Err(error) = world.add_service().await {
        chronicle.ended.push(format!("a backend server does not start: {error}"));
    }
    world.list_service(index, "draining");
    chronicle.left.push((index, Instant::now()));
}

async fn add_route(scene: &Scene) {
    let mut world = scene.world.lock().await;
    let prefix = format!("/added-{}/", world.added.len());
    world.added.push(prefix.clone());
    world.version += 3;
    let text = catalog(&world.added).build(world.version);
    world.store.write("config", "main", &text);
    scene.chronicle.lock().await.routes.push((prefix, Instant::now()));
}
