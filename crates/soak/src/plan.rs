//! What a seed stands for.

use std::{fmt, time::Duration};

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// Time during which faults begin.
const STRIKE_SPAN: Duration = Duration::from_secs(8);
/// First fault after the start.
const FIRST_STRIKE: Duration = Duration::from_millis(800);

/// A process of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// A gateway.
    Gateway(usize),
    /// The agent beside an engine.
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

/// How connections misbehave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// They are reset.
    Cut,
    /// Nothing is moved.
    Silent,
    /// Nothing comes back.
    OneWay,
    /// Everything comes late.
    Slow,
}

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreTrouble {
    /// It refuses all calls.
    Busy,
    /// It answers nothing.
    Silent,
    /// It drops connections.
    Reset,
    /// It is slow.
    Slow,
    /// Answers to writes are lost.
    LostAnswers,
    /// It forgets its history.
    Compacted,
}

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed and started again after the span.
    Kill(Target),
    /// The process stands still for the span.
    Freeze(Target),
    /// The process is told to stop, and started again when it has.
    Restart(Target),
    /// Connections from a process to the store misbehave.
    StoreLink(Target, LinkFault),
    /// Connections to an engine misbehave.
    EngineLink(usize, LinkFault),
    /// Connections to a plain backend server misbehave.
    ServiceLink(usize, LinkFault),
    /// The store misbehaves.
    Store(StoreTrouble),
    /// An engine crashes and is back, empty.
    EngineCrash(usize),
    /// An engine answers nothing.
    EngineSilent(usize),
    /// An engine breaks off its next streams.
    BrokenStreams(usize),
    /// An engine carries out its next orders without answering.
    LostOrders(usize),
    /// A plain backend server answers nothing.
    ServiceSilent(usize),
    /// A plain backend server runs its next calls and drops their answers.
    LostAnswers(usize),
    /// A plain backend server sends the next answers under another name.
    CrossedAnswers(usize),
    /// A plain backend server refuses its next calls.
    Refusals(usize),
    /// A plain backend server leaves, and another one comes.
    Leaving(usize),
    /// The operators add a route.
    NewRoute,
    /// The process is told that its settings changed.
    HangUp(Target),
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Strike {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// What happens.
    pub fault: Fault,
}

/// What a seed stands for.
#[derive(Debug, Clone, PartialEq)]
pub struct SoakPlan {
    /// Seed.
    pub seed: u64,
    /// Gateways.
    pub gateways: usize,
    /// Engines, each with an agent.
    pub engines: usize,
    /// Plain backend servers at the start.
    pub services: usize,
    /// Requests a second at each gateway.
    pub rate: f64,
    /// Faults, by their times.
    pub strikes: Vec<Strike>,
}

impl SoakPlan {
    /// The plan of `seed`.
    pub fn of_seed(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let gateways = random.random_range(2..=4);
        let engines = random.random_range(2..=5);
        let services = random.random_range(2..=3);
        let rate = random.random_range(15.0..45.0);
        let count = random.random_range(5..=14);
        let mut strikes: Vec<Strike> = (0..count)
            .map(|_| Strike {
                at: FIRST_STRIKE + STRIKE_SPAN.mul_f64(random.random_range(0.0..1.0)),
                span: Duration::from_millis(random.random_range(100..3_000)),
                fault: draw(&mut random, gateways, engines, services),
            })
            .collect();
        strikes.extend(hang_ups(seed, gateways, engines));
        strikes.sort_by_key(|strike| strike.at);
        Self { seed, gateways, engines, services, rate, strikes }
    }

    /// A plan of the size that the limits of the machine allow.
    pub fn large(seed: u64) -> Self {
        let small = Self::of_seed(seed);
        Self { gateways: 20, engines: 60, services: 4, rate: 6.0, ..small }
    }

    /// When the last fault has ended.
    pub fn calm_from(&self) -> Duration {
        let ends = self.strikes.iter().map(|strike| strike.at + strike.span);
        ends.max().unwrap_or_default()
    }
}

/// Signals have numbers of their own, so that the other faults of a seed stay as they are.
fn hang_ups(seed: u64, gateways: usize, engines: usize) -> Vec<Strike> {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    let count = random.random_range(0..=3);
    let strike = |_| {
        let target = match random.random_bool(0.5) {
            true => Target::Gateway(random.random_range(0..gateways)),
            false => Target::Agent(random.random_range(0..engines)),
        };
        let at = FIRST_STRIKE + STRIKE_SPAN.mul_f64(random.random_range(0.0..1.0));
        Strike { at, span: Duration::ZERO, fault: Fault::HangUp(target) }
    };
    (0..count).map(strike).collect()
}

fn draw(random: &mut ChaCha8Rng, gateways: usize, engines: usize, services: usize) -> Fault {
    let gateway = Target::Gateway(random.random_range(0..gateways));
    let engine = random.random_range(0..engines);
    let agent = Target::Agent(engine);
    let service = random.random_range(0..services);
    let target = if random.random_bool(0.5) { gateway } else { agent };
    let links = [LinkFault::Cut, LinkFault::Silent, LinkFault::OneWay, LinkFault::Slow];
    let link = *links.choose(random).expect("there are some");
    let stores = [
        StoreTrouble::Busy,
        StoreTrouble::Silent,
        StoreTrouble::Reset,
        StoreTrouble::Slow,
        StoreTrouble::LostAnswers,
        StoreTrouble::Compacted,
    ];
    let store = *stores.choose(random).expect("there are some");
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
    *faults.choose(random).expect("there are some")
}
