//! Cells of the fault matrix: every step with every fault, and pairs of faults drawn by a fixed
//! seed.

use std::{fmt, str::FromStr};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    faults::{FaultKind, NameError},
    steps::StepKind,
};

/// Fixed, so that the pairs are the same on each run.
const PAIR_SEED: u64 = 2_026;
const PAIR_COUNT: usize = 20;

/// A step and the faults injected during it; written as `step/fault` or `step/fault+fault`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MatrixCell {
    /// Step that the fleet is in at the first injection.
    pub step: StepKind,
    /// Faults in the order of their injection.
    pub faults: Vec<FaultKind>,
}

impl MatrixCell {
    /// Creates a cell with one fault.
    pub fn new(step: StepKind, fault: FaultKind) -> Self {
        Self { step, faults: vec![fault] }
    }
}

impl fmt::Display for MatrixCell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults = self.faults.iter().map(|fault| fault.name()).collect::<Vec<_>>();
        write!(f, "{}/{}", self.step, faults.join("+"))
    }
}

impl FromStr for MatrixCell {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let (step, faults) = text.split_once('/').ok_or(NameError::new(text))?;
        let faults = faults.split('+').map(str::parse).collect::<Result<_, _>>()?;
        Ok(Self { step: step.parse()?, faults })
    }
}

/// All cells: every step with every fault, then the pairs.
pub fn all_cells() -> Vec<MatrixCell> {
    let singles = StepKind::ALL
        .into_iter()
        .flat_map(|step| FaultKind::ALL.into_iter().map(move |fault| MatrixCell::new(step, fault)));
    singles.chain(fault_pairs()).collect()
}

/// Cells with two different faults, the same on each run.
pub fn fault_pairs() -> Vec<MatrixCell> {
    let mut rng = ChaCha8Rng::seed_from_u64(PAIR_SEED);
    let mut cells = Vec::new();
    while cells.len() < PAIR_COUNT {
        let step = StepKind::ALL[rng.random_range(0..StepKind::ALL.len())];
        let first = FaultKind::ALL[rng.random_range(0..FaultKind::ALL.len())];
        let second = FaultKind::ALL[rng.random_range(0..FaultKind::ALL.len())];
        let cell = MatrixCell { step, faults: vec![first, second] };
        if first != second && !cells.contains(&cell) {
            cells.push(cell);
        }
    }
    cells
}

/// Cells that run in CI: each step with the faults most likely to break it, and two pairs.
pub fn ci_cells() -> Vec<MatrixCell> {
    use FaultKind::{
        AnswerLost, Cut, Freeze, HalfOpen, Kill, LeaseLapsed, ListLate, PlatformDown,
        PoisonRequest, RacingEdits, VmReclaimed, WeightsSlow,
    };
    let table = [
        (StepKind::Ask, Kill),
        (StepKind::Ask, Freeze),
        (StepKind::Grant, HalfOpen),
        (StepKind::Grant, ListLate),
        (StepKind::Claim, PlatformDown),
        (StepKind::Claim, AnswerLost),
        (StepKind::Claim, LeaseLapsed),
        (StepKind::HandOver, Kill),
        (StepKind::HandOver, Cut),
        (StepKind::Answer, Freeze),
        (StepKind::Answer, PoisonRequest),
        (StepKind::Load, Kill),
        (StepKind::Load, WeightsSlow),
        (StepKind::Load, PlatformDown),
        (StepKind::Unload, Freeze),
        (StepKind::SlotMove, AnswerLost),
        (StepKind::SlotMove, VmReclaimed),
        (StepKind::Edit, RacingEdits),
        (StepKind::Edit, AnswerLost),
        (StepKind::Spread, Kill),
        (StepKind::Drain, PlatformDown),
        (StepKind::Drain, Cut),
        (StepKind::ServiceCall, Kill),
        (StepKind::ServiceCall, HalfOpen),
        (StepKind::ServiceCall, VmReclaimed),
        (StepKind::EntryDrain, PlatformDown),
        (StepKind::EntryDrain, Freeze),
    ];
    let singles = table.into_iter().map(|(step, fault)| MatrixCell::new(step, fault));
    singles.chain(fault_pairs().into_iter().take(2)).collect()
}
