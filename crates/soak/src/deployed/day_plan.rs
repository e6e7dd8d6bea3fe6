//! What a seed does to a deployed fleet over a day's length.

use std::time::Duration;

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::{DeploymentSize, LENDING_SIZE};
use crate::plan::{LinkFault, StoreFaultKind};

/// Time of load before the final loss.
const DAY_LENGTH: Duration = Duration::from_secs(34);
/// Longest duration of a trouble, in milliseconds.
const MAX_DURATION_MS: u64 = 8_000;

/// Trouble of a day, with its target; VMs, engines and plain backend servers are given by index.
#[derive(Debug, Clone, PartialEq)]
pub enum Trouble {
    /// The processes are killed; they start again after the duration.
    Kill(Vec<usize>),
    /// The VMs stand still for the duration.
    Freeze(Vec<usize>),
    /// The VMs get this part of their processor share for the duration.
    Slow(Vec<usize>, f64),
    /// The processes get SIGTERM one after the other, with this pause, and start again.
    RollingStop(Vec<usize>, Duration),
    /// The processes get SIGHUP.
    HangUp(Vec<usize>),
    /// The settings are written again in two parts, with a pause of the duration, then SIGHUP follows.
    RewriteSettings(Vec<usize>),
    /// The store has a fault for the duration.
    Store(StoreFaultKind),
    /// The connections of the VMs to the store have a fault for the duration.
    StoreLink(Vec<usize>, LinkFault),
    /// The connections to the engines have a fault for the duration.
    EngineLink(Vec<usize>, LinkFault),
    /// The engines crash and are back without models.
    EngineCrash(Vec<usize>),
    /// The engines accept requests and do not answer for the duration.
    EngineSilent(Vec<usize>),
    /// The engines are busy for the duration: streams begin after this time.
    EngineBusy(Vec<usize>, Duration),
    /// The engines break off their next streams, and refuse some.
    BrokenStreams(Vec<usize>),
    /// The engines carry out their next orders without an answer.
    LostOrders(Vec<usize>),
    /// The engines drain for the duration, leave, and are replaced at the same address.
    Release(Vec<usize>),
    /// A plain backend server does not answer for the duration.
    ServiceSilent(usize),
    /// A plain backend server loses answers, answers for another request, fails and refuses.
    ServiceErrors(usize),
    /// A plain backend server asks for a pause in its refusals, and names a limit for the duration.
    ServiceLimit(usize),
    /// Routes are added by this number of changes in quick succession, each of so many.
    Configurations(u32, u32),
    /// So many times the load for the duration, on models that were not asked for before.
    Burst(u32),
}

/// A trouble with its start and duration.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduledTrouble {
    /// Start, counted from the start of the load.
    pub at: Duration,
    /// Duration of those that do not end by themselves.
    pub duration: Duration,
    /// What happens.
    pub trouble: Trouble,
}

/// The final loss of all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalLoss {
    /// Time until the processes start again.
    pub duration: Duration,
    /// Whether the engines lose power too.
    pub has_engines: bool,
}

/// All that a seed decides.
#[derive(Debug, Clone)]
pub struct DayPlan {
    /// The seed.
    pub seed: u64,
    /// Time of load before the final loss.
    pub length: Duration,
    /// Troubles in the order of their starts.
    pub troubles: Vec<ScheduledTrouble>,
    /// The final loss.
    pub loss: FinalLoss,
}

impl DayPlan {
    /// The plan of `seed`, for a fleet of the size of cvtl-lending.
    pub fn from_seed(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(6..=16);
        let mut troubles: Vec<ScheduledTrouble> = (0..count)
            .map(|_| ScheduledTrouble {
                at: DAY_LENGTH.mul_f64(random.random_range(0.0..1.0)),
                duration: Duration::from_millis(random.random_range(100..MAX_DURATION_MS)),
                trouble: draw_trouble(&mut random, LENDING_SIZE),
            })
            .collect();
        troubles.sort_by_key(|scheduled| scheduled.at);
        let loss = FinalLoss {
            duration: Duration::from_millis(random.random_range(100..2_500)),
            has_engines: random.random_bool(0.5),
        };
        Self { seed, length: DAY_LENGTH, troubles, loss }
    }
}

/// A share of `count` things, one at least.
fn draw_some(random: &mut ChaCha8Rng, count: usize) -> Vec<usize> {
    let share = *[0.1, 0.35, 0.6, 1.0].choose(random).expect("the list is not empty");
    let some: Vec<usize> = (0..count).filter(|_| random.random_bool(share)).collect();
    if some.is_empty() { vec![random.random_range(0..count)] } else { some }
}

fn draw_trouble(random: &mut ChaCha8Rng, size: DeploymentSize) -> Trouble {
    let vms = draw_some(random, size.entries + size.engines);
    let engines = draw_some(random, size.engines);
    let service = random.random_range(0..size.services);
    let link = *[LinkFault::Cut, LinkFault::Silent, LinkFault::OneWay, LinkFault::Slow]
        .choose(random)
        .expect("the list is not empty");
    let store = *[
        StoreFaultKind::Busy,
        StoreFaultKind::Silent,
        StoreFaultKind::Reset,
        StoreFaultKind::Slow,
        StoreFaultKind::LostAnswers,
        StoreFaultKind::Compacted,
        StoreFaultKind::Restored,
    ]
    .choose(random)
    .expect("the list is not empty");
    let span = |random: &mut ChaCha8Rng, from, to| {
        Duration::from_millis(random.random_range::<u64, _>(from..to))
    };
    match random.random_range(0..20) {
        0 => Trouble::Kill(vms),
        1 => Trouble::Freeze(vms),
        2 => Trouble::Slow(vms, 0.2),
        3 => Trouble::RollingStop(vms, span(random, 20, 2_000)),
        4 => Trouble::HangUp(vms),
        5 => Trouble::RewriteSettings(vms),
        6 => Trouble::Store(store),
        7 => Trouble::StoreLink(vms, link),
        8 => Trouble::EngineLink(engines, link),
        9 => Trouble::EngineCrash(engines),
        10 => Trouble::EngineSilent(engines),
        11 => Trouble::EngineBusy(engines, span(random, 500, 8_000)),
        12 => Trouble::BrokenStreams(engines),
        13 => Trouble::LostOrders(engines),
        14 => Trouble::Release(engines),
        15 => Trouble::ServiceSilent(service),
        16 => Trouble::ServiceErrors(service),
        17 => Trouble::ServiceLimit(service),
        18 => Trouble::Configurations(random.random_range(1..30), random.random_range(1..40)),
        _ => Trouble::Burst(random.random_range(1..=3)),
    }
}
