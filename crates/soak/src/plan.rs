//! Plan of a run, drawn from its seed: size of the fleet, load and faults.

pub mod power_losses;

use std::{collections::BTreeSet, fmt, time::Duration};

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use self::power_losses::{LossDraw, power_losses};
pub use self::power_losses::{PowerLoss, RestartSeed};

/// Length of the period in which faults start.
const FAULT_WINDOW: Duration = Duration::from_secs(8);
/// Earliest start of a fault, counted from the start of the load.
const FIRST_FAULT_DELAY: Duration = Duration::from_millis(800);
/// Number of models, many-model fleets aside.
const SMALL_MODELS: usize = 6;
/// Time to load a model from the weight store, many-model fleets aside.
const STORE_LOAD: Duration = Duration::from_millis(900);
/// The same in many-model fleets.
const SLOW_STORE_LOAD: Duration = Duration::from_secs(6);
/// Share of the runs with faults of processes in which engines are busy.
const BUSY_SHARE: f64 = 0.75;

/// A process of the system, by index; displayed as the stem of its log file names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The gateway with this index.
    Gateway(usize),
    /// The agent of the engine with the same index.
    Agent(usize),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::Gateway(index) => write!(f, "gateway-{index}"),
            Target::Agent(index) => write!(f, "agent-{index}"),
        }
    }
}

/// Fault of the connections through a relay; the variant name is printed in reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Connections are dropped.
    Cut,
    /// Connections stay open but carry nothing.
    Silent,
    /// Connections carry data to the server only.
    OneWay,
    /// Data is delayed in both directions.
    Slow,
}

/// Fault of the store; the variant name is printed in reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFaultKind {
    /// Refuses all calls.
    Busy,
    /// Does not answer.
    Silent,
    /// Resets the connection of each call.
    Reset,
    /// Answers each call after a delay.
    Slow,
    /// Executes the next writes but drops their answers.
    LostAnswers,
    /// Compacts its history, so that older versions can no longer be watched.
    Compacted,
    /// Comes back from a copy as old as the fault is long; what servers and operators wrote since is
    /// written again shortly after.
    Restored,
}

/// Fault with its target; servers are given by index. Printed in reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed, and restarted after the duration of the fault.
    Kill(Target),
    /// The process is suspended for the duration of the fault.
    Freeze(Target),
    /// The process is stopped with SIGTERM, and restarted after its end.
    Restart(Target),
    /// The connections from a process to the store have a fault.
    StoreLink(Target, LinkFault),
    /// The connections to an engine have a fault.
    EngineLink(usize, LinkFault),
    /// The connections to a plain backend server have a fault.
    ServiceLink(usize, LinkFault),
    /// The store has a fault.
    Store(StoreFaultKind),
    /// An engine crashes and restarts without loaded models.
    EngineCrash(usize),
    /// An engine does not answer.
    EngineSilent(usize),
    /// An engine is busy: streams that begin in the time of the fault have their first event after
    /// this delay.
    EngineBusy(usize, Duration),
    /// An engine breaks off its next streams, the first of them before its first event.
    BrokenStreams(usize),
    /// An engine executes its next load and unload orders but drops their answers.
    LostOrders(usize),
    /// A plain backend server does not answer.
    ServiceSilent(usize),
    /// A plain backend server executes its next calls but drops their answers.
    LostAnswers(usize),
    /// A plain backend server sends its next answers with the wrong call ID.
    CrossedAnswers(usize),
    /// A plain backend server refuses its next calls.
    Refusals(usize),
    /// A plain backend server drains, and a new one is added.
    Leaving(usize),
    /// A plain backend server refuses its next calls and wants none for a second.
    Pause(usize),
    /// A plain backend server names in its answers that it takes two requests a second.
    Limit(usize),
    /// A plain backend server says in its answers that it leaves, which the store lists only at the
    /// end of the fault.
    LeavingAnswers(usize),
    /// A route is added to the configuration.
    NewRoute,
    /// The process receives SIGHUP, on which it reloads its settings.
    HangUp(Target),
    /// All gateways and agents are killed at once, and restarted after the duration of the fault.
    PowerLoss(PowerLoss),
}

impl Fault {
    /// Whether it stops or suspends a process or affects its connections to the store.
    fn affects_process(self) -> bool {
        matches!(self, Fault::Kill(_) | Fault::Freeze(_) | Fault::Restart(_) | Fault::StoreLink(..))
    }
}

/// A fault with its start and duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Start, counted from the start of the load.
    pub at: Duration,
    /// Duration; not used by faults that end by themselves.
    pub duration: Duration,
    /// Fault to inject.
    pub fault: Fault,
}

/// Plan of a run; the same seed gives the same plan.
#[derive(Debug, Clone, PartialEq)]
pub struct SoakPlan {
    /// Seed that the plan was drawn from.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of engines, each with an agent.
    pub engines: usize,
    /// Number of software versions of the engines, which have them in turn.
    pub versions: usize,
    /// Number of plain backend servers at the start.
    pub services: usize,
    /// Number of models that requests are sent to.
    pub models: usize,
    /// Time in which an engine loads a model from the weight store.
    pub store_load: Duration,
    /// Mean rate of request series at each gateway, per second.
    pub rate: f64,
    /// Faults, in the order of their starts.
    pub faults: Vec<ScheduledFault>,
}

impl SoakPlan {
    /// Draws the plan of `seed`.
    pub fn from_seed(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let gateways = random.random_range(2..=4);
        let engines = random.random_range(2..=5);
        let services = random.random_range(2..=3);
        let rate = random.random_range(15.0..45.0);
        let count = random.random_range(5..=14);
        let mut faults: Vec<ScheduledFault> = (0..count)
            .map(|_| ScheduledFault {
                at: FIRST_FAULT_DELAY + FAULT_WINDOW.mul_f64(random.random_range(0.0..1.0)),
                duration: Duration::from_millis(random.random_range(100..3_000)),
                fault: random_fault(&mut random, gateways, engines, services),
            })
            .collect();
        faults.extend(hang_up_faults(seed, gateways, engines));
        faults.extend(announcement_faults(seed, services));
        faults.extend(limit_and_restore_faults(seed, services));
        // Drains and limits are checked in runs without faults of processes; those stay without.
        if faults.iter().any(|scheduled| scheduled.fault.affects_process()) {
            faults.extend(stops_beside_busy_engines(seed, gateways, engines));
        }
        // The same holds for losses of power.
        if faults.iter().any(|scheduled| scheduled.fault.affects_process()) {
            faults.extend(power_losses(seed, LossDraw::Sometimes));
        }
        faults.sort_by_key(|scheduled| scheduled.at);
        let versions = draw_versions(seed);
        Self {
            seed,
            gateways,
            engines,
            versions,
            services,
            models: SMALL_MODELS,
            store_load: STORE_LOAD,
            rate,
            faults,
        }
    }

    /// Draws the plan of `seed` with a loss of power in any case.
    pub fn with_power_loss(seed: u64) -> Self {
        let mut plan = Self::from_seed(seed);
        if !plan.has_power_loss() {
            plan.faults.extend(power_losses(seed, LossDraw::Always));
            plan.faults.sort_by_key(|scheduled| scheduled.at);
        }
        plan
    }

    /// Draws the plan of `seed` with a loss of power and a fleet whose engines hold half of the
    /// models at a time.
    pub fn many_models(seed: u64) -> Self {
        let small = Self::with_power_loss(seed);
        Self {
            gateways: 4,
            engines: 9,
            services: 4,
            models: 51,
            store_load: SLOW_STORE_LOAD,
            rate: 10.0,
            ..small
        }
    }

    /// Draws the plan of `seed` with the largest fleet that one test machine can run.
    pub fn large(seed: u64) -> Self {
        let small = Self::from_seed(seed);
        Self { gateways: 20, engines: 60, services: 4, rate: 6.0, ..small }
    }

    /// Whether all processes are killed at once during the run.
    pub fn has_power_loss(&self) -> bool {
        self.faults.iter().any(|scheduled| matches!(scheduled.fault, Fault::PowerLoss(_)))
    }

    /// End of the last fault, counted from the start of the load.
    pub fn last_fault_end(&self) -> Duration {
        let ends = self.faults.iter().map(|scheduled| scheduled.at + scheduled.duration);
        ends.max().unwrap_or_default()
    }
}

/// Draws the number of software versions from a generator of its own.
fn draw_versions(seed: u64) -> usize {
    ChaCha8Rng::seed_from_u64(seed.rotate_left(40)).random_range(1..=2)
}

/// Draws SIGHUP faults from a generator of their own, so that the other faults of a seed do not
/// change.
fn hang_up_faults(seed: u64, gateways: usize, engines: usize) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    let count = random.random_range(0..=3);
    let scheduled = |_| {
        let target = match random.random_bool(0.5) {
            true => Target::Gateway(random.random_range(0..gateways)),
            false => Target::Agent(random.random_range(0..engines)),
        };
        let at = FIRST_FAULT_DELAY + FAULT_WINDOW.mul_f64(random.random_range(0.0..1.0));
        ScheduledFault { at, duration: Duration::ZERO, fault: Fault::HangUp(target) }
    };
    (0..count).map(scheduled).collect()
}

/// Draws faults of what backend servers announce from a generator of their own.
fn announcement_faults(seed: u64, services: usize) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let count = random.random_range(0..=3);
    let scheduled = |_| {
        let service = random.random_range(0..services);
        let fault = match random.random_bool(0.6) {
            true => Fault::Pause(service),
            false => Fault::LeavingAnswers(service),
        };
        let at = FIRST_FAULT_DELAY + FAULT_WINDOW.mul_f64(random.random_range(0.0..1.0));
        let duration = Duration::from_millis(random.random_range(100..3_000));
        ScheduledFault { at, duration, fault }
    };
    (0..count).map(scheduled).collect()
}

/// Draws limits of backend servers and restores of the store from a generator of their own. One server
/// names no limit, so that the others may be refused to some requests only.
fn limit_and_restore_faults(seed: u64, services: usize) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(16));
    let count = random.random_range(0..=3);
    let scheduled = |_| {
        let fault = match random.random_bool(0.5) {
            true => Fault::Limit(random.random_range(1..services)),
            false => Fault::Store(StoreFaultKind::Restored),
        };
        let at = FIRST_FAULT_DELAY + FAULT_WINDOW.mul_f64(random.random_range(0.0..0.7));
        let duration = Duration::from_millis(random.random_range(300..6_000));
        ScheduledFault { at, duration, fault }
    };
    let mut faults: Vec<ScheduledFault> = (0..count).map(scheduled).collect();
    let mut limited = BTreeSet::new();
    // A server names one limit at a time.
    faults.retain(|scheduled| match scheduled.fault {
        Fault::Limit(service) => limited.insert(service),
        _ => true,
    });
    faults
}

/// Draws engines that are busy, and planned stops of gateways in that time, from a generator of
/// their own.
fn stops_beside_busy_engines(seed: u64, gateways: usize, engines: usize) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(48));
    if !random.random_bool(BUSY_SHARE) {
        return Vec::new();
    }
    let began = FIRST_FAULT_DELAY + Duration::from_millis(random.random_range(0..2_500));
    let spared = random.random_range(0..engines);
    let busy = (0..engines).filter(|engine| *engine != spared || random.random_bool(0.7));
    let busy: Vec<usize> = busy.collect();
    let mut faults = Vec::new();
    for engine in busy {
        let delay = Duration::from_millis(random.random_range(3_000..8_000));
        let at = began + Duration::from_millis(random.random_range(0..500));
        let duration = Duration::from_millis(random.random_range(3_000..6_000));
        faults.push(ScheduledFault { at, duration, fault: Fault::EngineBusy(engine, delay) });
    }
    let stopped_at = began + Duration::from_millis(random.random_range(500..3_000));
    let first = random.random_range(0..gateways);
    for offset in 0..random.random_range(1..=gateways) {
        let gateway = Target::Gateway((first + offset) % gateways);
        let at = stopped_at + Duration::from_millis(random.random_range(0..400));
        let fault = Fault::Restart(gateway);
        faults.push(ScheduledFault { at, duration: Duration::ZERO, fault });
    }
    faults
}

fn random_fault(
    random: &mut ChaCha8Rng,
    gateways: usize,
    engines: usize,
    services: usize,
) -> Fault {
    let gateway = Target::Gateway(random.random_range(0..gateways));
    let engine = random.random_range(0..engines);
    let agent = Target::Agent(engine);
    let service = random.random_range(0..services);
    let target = if random.random_bool(0.5) { gateway } else { agent };
    let links = [LinkFault::Cut, LinkFault::Silent, LinkFault::OneWay, LinkFault::Slow];
    let link = *links.choose(random).expect("the list is not empty");
    let stores = [
        StoreFaultKind::Busy,
        StoreFaultKind::Silent,
        StoreFaultKind::Reset,
        StoreFaultKind::Slow,
        StoreFaultKind::LostAnswers,
        StoreFaultKind::Compacted,
    ];
    let store = *stores.choose(random).expect("the list is not empty");
    let faults = [
        Fault::Kill(target),
        Fault::Freeze(target),
        Fault::Restart(target),
        Fault::Restart(gateway),
        Fault::StoreLink(target, link),
        Fault::EngineLink(engine, link),
        Fault::ServiceLink(service, link),
        Fault::Store(store),
        Fault::EngineCrash(engine),
        Fault::EngineSilent(engine),
        Fault::BrokenStreams(engine),
        Fault::LostOrders(engine),
        Fault::ServiceSilent(service),
        Fault::LostAnswers(service),
        Fault::CrossedAnswers(service),
        Fault::Refusals(service),
        Fault::Leaving(service),
        Fault::NewRoute,
    ];
    *faults.choose(random).expect("the list is not empty")
}
