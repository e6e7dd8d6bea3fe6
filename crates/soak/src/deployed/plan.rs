//! What a seed does to a deployed fleet.

use std::time::Duration;

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use super::MachineRules;

/// Limits and outputs of a machine, as shell commands before the program. The memory limits are those of
/// cvtl-lending, in KiB of address space.
const MACHINE_LIMITS: [&str; 8] = [
    "",
    "",
    "ulimit -v 266240;",
    "ulimit -n 1024; ulimit -c 0;",
    "ulimit -n 256;",
    "exec >/dev/null 2>&1;",
    "exec >&- 2>&-;",
    "exec >/dev/full 2>&1;",
];

/// Figures that a platform may state otherwise than the pages show.
fn stated_figures() -> [(&'static str, Value); 8] {
    [
        ("/limits/max-fds", json!(1_073_741_816)),
        ("/limits/max-fds", json!(-1)),
        ("/limits/memory-mb", json!(0)),
        ("/limits/memory-mb", json!(u64::MAX)),
        ("/limits/cpu-share", json!("max")),
        ("/bounds/grace-s", json!(8.5)),
        ("/bounds/drain-ms", json!(0)),
        ("/bounds/retry-budget-ratio", Value::Null),
    ]
}

/// What precedes a loss of power.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossPrelude {
    /// Nothing.
    Calm,
    /// All processes are told that their settings have changed.
    HangUp,
    /// The processes are stopped and started again, one each 0.3 s.
    RollingRestart,
    /// Power is lost and returns for this time, in which the processes start.
    ShortReturn(Duration),
}

/// One loss of power of all VMs, engines included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedLoss {
    /// Time of service before.
    pub after: Duration,
    /// What precedes it.
    pub prelude: LossPrelude,
    /// Time without power.
    pub duration: Duration,
    /// Time from the return until the machines have the settings of their processes.
    pub settings_after: Duration,
}

/// All that a seed decides.
#[derive(Debug, Clone)]
pub struct DeploymentPlan {
    /// The seed.
    pub seed: u64,
    /// What the machines do with the processes.
    pub rules: MachineRules,
    /// Losses of power, in order.
    pub losses: Vec<PlannedLoss>,
}

impl DeploymentPlan {
    /// The plan of `seed`.
    pub fn from_seed(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let limits = MACHINE_LIMITS.choose(&mut random).expect("the list is not empty");
        let figures = stated_figures();
        let count = random.random_range(0..=2);
        let fields = figures.sample(&mut random, count);
        let fields = fields.map(|(path, value)| ((*path).to_owned(), value.clone())).collect();
        let losses = (0..random.random_range(1..=2)).map(|_| draw_loss(&mut random)).collect();
        Self { seed, rules: MachineRules { limits: (*limits).to_owned(), fields }, losses }
    }
}

fn draw_loss(random: &mut ChaCha8Rng) -> PlannedLoss {
    let prelude = match random.random_range(0..4) {
        0 => LossPrelude::HangUp,
        1 => LossPrelude::RollingRestart,
        2 => LossPrelude::ShortReturn(Duration::from_millis(random.random_range(0..800))),
        _ => LossPrelude::Calm,
    };
    let is_late = random.random_bool(0.3);
    PlannedLoss {
        after: Duration::from_millis(random.random_range(6_000..10_000)),
        prelude,
        duration: Duration::from_millis(random.random_range(100..2_000)),
        settings_after: Duration::from_millis(if is_late {
            random.random_range(0..2_000)
        } else {
            0
        }),
    }
}
