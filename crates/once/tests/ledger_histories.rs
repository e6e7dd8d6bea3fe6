//! Checks invariants of the run ledger under random histories with duplicate, late and reordered
//! frames, crashes, restarts and drains, and that disabling any check violates one of them.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use bytes::Bytes;
use once::{
    CancelOrder, DrainCause, EngineEnd, LedgerChecks, LedgerLimits, LinkId, RequestFingerprint,
    RunAction, RunEvent, RunId, RunIsolation, RunLedger, RunOrder, SendState,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time;

const HISTORIES: u64 = 300;
const STEPS: usize = 400;
const REQUESTS: u128 = 40;

/// A random history: the true state of all runs, and the frames that may be delivered again.
struct HistoryCheck {
    rng: ChaCha8Rng,
    checks: LedgerChecks,
    ledger: RunLedger,
    sent: Vec<RunEvent>,
    orders: BTreeMap<RunId, RunOrder>,
    isolated: BTreeSet<RunId>,
    at_engine: BTreeSet<RunId>,
    ran: BTreeSet<RunId>,
    not_run: BTreeSet<RunId>,
    ended: BTreeSet<RunId>,
    drained: bool,
}

fn new_ledger(checks: LedgerChecks, incarnation: u64) -> RunLedger {
    let limits = LedgerLimits {
        max_runs: 6,
        epoch_duration: Duration::from_secs(10),
        max_epoch_records: 50,
        kept_epochs: 2,
    };
    RunLedger::with_checks(ProcessIncarnation(incarnation), limits, checks, Instant::now())
}

impl HistoryCheck {
    fn new(seed: u64, checks: LedgerChecks) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            checks,
            ledger: new_ledger(checks, 1),
            sent: Vec::new(),
            orders: BTreeMap::new(),
            isolated: BTreeSet::new(),
            at_engine: BTreeSet::new(),
            ran: BTreeSet::new(),
            not_run: BTreeSet::new(),
            ended: BTreeSet::new(),
            drained: false,
        }
    }

    fn id(&mut self) -> RunId {
        RunId { request: RequestId(self.rng.random_range(0..REQUESTS)), attempt: 1 }
    }

    /// Returns the order of a random request; generates it at its first use.
    fn order(&mut self) -> RunOrder {
        let id = self.id();
        if let Some(order) = self.orders.get(&id) {
            return order.clone();
        }
        let alone = self.rng.random_ratio(1, 10);
        if alone {
            self.isolated.insert(id);
        }
        let order = RunOrder {
            id,
            grant: self.ledger.grant(),
            link: LinkId(self.rng.random_range(0..3)),
            fingerprint: RequestFingerprint([0; 32]),
            deadline: Instant::now() + Duration::from_secs(self.rng.random_range(0..30)),
            isolation: if alone { RunIsolation::Alone } else { RunIsolation::Shared },
        };
        self.orders.insert(id, order.clone());
        order
    }

    /// Generates a cancel, often of an order that has not been sent yet.
    fn cancel(&mut self) -> RunEvent {
        let RunOrder { id, grant, link, .. } = self.order();
        RunEvent::Cancel(CancelOrder { id, grant, link })
    }

    fn engine_event(&mut self) -> RunEvent {
        let id = self.id();
        match self.rng.random_range(0..8) {
            0..4 => RunEvent::Chunk { id, body: Bytes::from("ab") },
            4..6 => RunEvent::End { id, end: EngineEnd::Complete },
            6 => RunEvent::End { id, end: EngineEnd::Failed(ResultCode::AnswerCut) },
            _ => RunEvent::HandOverFailed { id, sent: SendState::PartlySent },
        }
    }

    fn next_event(&mut self) -> Option<RunEvent> {
        let event = match self.rng.random_range(0..100) {
            0..30 => RunEvent::Order(self.order()),
            30..45 => self.cancel(),
            45..60 => self.redeliver()?,
            60..90 => self.engine_event(),
            90..92 => RunEvent::EngineCrashed,
            92..95 => RunEvent::EngineReady,
            95 => RunEvent::LinkLost(LinkId(self.rng.random_range(0..3))),
            96 if self.rng.random_ratio(1, 3) => RunEvent::Drain(DrainCause::Signal),
            _ => RunEvent::Tick,
        };
        Some(event)
    }

    fn redeliver(&mut self) -> Option<RunEvent> {
        if self.sent.is_empty() {
            return None;
        }
        let index = self.rng.next_u64() as usize % self.sent.len();
        let mut event = self.sent[index].clone();
        if let RunEvent::Order(order) = &mut event {
            order.link = LinkId(self.rng.random_range(0..3));
        }
        Some(event)
    }

    fn restart(&mut self, incarnation: u64) {
        self.ledger = new_ledger(self.checks, incarnation);
        self.at_engine.clear();
        self.drained = false;
    }

    async fn run(&mut self) -> Result<(), String> {
        for step in 0..STEPS {
            time::advance(Duration::from_millis(self.rng.random_range(0..1_000))).await;
            if self.rng.random_ratio(1, 150) {
                self.restart(step as u64 + 2);
            }
            let Some(event) = self.next_event() else { continue };
            let current = self.is_for_this_incarnation(&event);
            if matches!(event, RunEvent::Order(_) | RunEvent::Cancel(_)) {
                self.sent.push(event.clone());
            }
            self.track(&event);
            for action in self.ledger.handle(event, Instant::now()) {
                self.check(&action, current)?;
            }
        }
        Ok(())
    }

    fn is_for_this_incarnation(&self, event: &RunEvent) -> bool {
        match event {
            RunEvent::Order(order) => order.grant.incarnation == self.ledger.grant().incarnation,
            _ => true,
        }
    }

    fn track(&mut self, event: &RunEvent) {
        match event {
            RunEvent::End { id, .. } | RunEvent::HandOverFailed { id, .. } => {
                self.at_engine.remove(id);
            }
            RunEvent::EngineCrashed => self.at_engine.clear(),
            RunEvent::Drain(_) => self.drained = true,
            _ => {}
        }
    }

    fn check(&mut self, action: &RunAction, current: bool) -> Result<(), String> {
        match action {
            RunAction::HandOver { id } => self.check_hand_over(*id),
            RunAction::AckCancel { id, state: RunState::NotRun, .. } => self.check_not_run(*id),
            RunAction::Refuse { id, code, .. }
                if code.run_state() == RunState::NotRun && current =>
            {
                self.check_not_run(*id)
            }
            RunAction::Finish { id, .. } if !self.ended.insert(*id) => {
                Err(format!("{id} ended twice"))
            }
            _ => Ok(()),
        }
    }

    fn check_hand_over(&mut self, id: RunId) -> Result<(), String> {
        let isolated =
            self.isolated.contains(&id) || self.at_engine.iter().any(|r| self.isolated.contains(r));
        if isolated && !self.at_engine.is_empty() {
            return Err(format!("{id} shares the engine with a suspect"));
        }
        self.at_engine.insert(id);
        if self.drained {
            return Err(format!("{id} was started during a drain"));
        }
        if self.not_run.contains(&id) {
            return Err(format!("{id} ran after its refusal as not run"));
        }
        if !self.ran.insert(id) {
            return Err(format!("{id} ran twice"));
        }
        Ok(())
    }

    fn check_not_run(&mut self, id: RunId) -> Result<(), String> {
        self.not_run.insert(id);
        match self.ran.contains(&id) {
            true => Err(format!("{id} was refused as not run after it ran")),
            false => Ok(()),
        }
    }
}

async fn first_violation(checks: LedgerChecks) -> Option<String> {
    for seed in 0..HISTORIES {
        if let Err(violation) = HistoryCheck::new(seed, checks).run().await {
            return Some(violation);
        }
    }
    None
}

#[tokio::test(start_paused = true)]
async fn random_histories_violate_no_invariant() {
    let violation = first_violation(LedgerChecks::default()).await;

    assert_eq!(violation, None);
}

fn all() -> LedgerChecks {
    LedgerChecks::default()
}

#[rstest]
#[case::incarnation(LedgerChecks { incarnation: false, ..all() }, "ran")]
#[case::duplicates(LedgerChecks { duplicates: false, ..all() }, "ran")]
#[case::tombstones(LedgerChecks { tombstones: false, ..all() }, "ran after its refusal")]
#[case::epochs(LedgerChecks { epochs: false, ..all() }, "ran")]
#[case::drain(LedgerChecks { drain: false, ..all() }, "was started during a drain")]
#[case::isolation(LedgerChecks { isolation: false, ..all() }, "shares the engine")]
#[tokio::test(start_paused = true)]
async fn each_check_is_needed(#[case] checks: LedgerChecks, #[case] fault: &str) {
    let violation = first_violation(checks).await.expect("a history shows the fault");

    assert!(violation.contains(fault), "{violation}");
}
