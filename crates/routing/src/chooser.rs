//! Choice of the replica that runs a request.

use std::collections::{BTreeMap, HashMap};

use base::{ids::AttemptId, prelude::*};
use lists::WorkClass;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    latency::{ClassMedians, SlownessMean},
    probation::{SLOW_FACTOR, SlowProbation},
    replica::{CreditEnd, OpenCredit, ReplicaInfo, ReplicaState},
};

/// A replica of another zone is chosen when its load score is more than this many times lower.
const ZONE_LOAD_FACTOR: f64 = 2.0;
/// First interval between trials of a slow replica, in median service times of short work.
const TRIAL_MEDIANS: u32 = 4;
/// Shortest first interval between trials.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_millis(100);
/// At most one in this many replicas is on probation at the same time.
const PROBATION_DIVISOR: usize = 2;
/// A hedge is sent after this many median service times of the class.
const HEDGE_MEDIANS: f64 = 2.5;

/// Checks of a [`ReplicaChooser`]; tests turn single ones off to show what each prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChooserChecks {
    /// Slow replicas are put on probation.
    pub probation: bool,
    /// Draining replicas get no new work.
    pub draining: bool,
    /// Credits of an incarnation end when the replica has a new one.
    pub incarnations: bool,
    /// Replicas in the zone of the entry are preferred.
    pub prefer_own_zone: bool,
}

impl Default for ChooserChecks {
    fn default() -> Self {
        Self { probation: true, draining: true, incarnations: true, prefer_own_zone: true }
    }
}

/// A request that needs a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRequest {
    /// Attempt that the credit is for.
    pub id: AttemptId,
    /// Work class of the request.
    pub class: WorkClass,
    /// Availability zone of the entry that holds the request.
    pub zone: ZoneName,
    /// VMs that earlier attempts were granted on; avoided if another has a free slot.
    pub tried: Vec<VmId>,
    /// Whether VMs in `tried` are never chosen, as for hedges.
    pub exclude_tried: bool,
    /// Whether the request may be executed more than once; only such requests are used as trials.
    pub may_retry: bool,
}

/// Replica on which a credit was opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaChoice {
    /// VM of the backend server.
    pub vm: VmId,
    /// Incarnation of its side process that the credit is good for.
    pub incarnation: ProcessIncarnation,
}

/// Replicas of one model or service, and the credits granted on them.
#[derive(Debug)]
pub struct ReplicaChooser {
    checks: ChooserChecks,
    long_limit: u32,
    replicas: BTreeMap<VmId, ReplicaState>,
    vm_by_attempt: HashMap<AttemptId, VmId>,
    medians: ClassMedians,
    rng: StdRng,
}

impl ReplicaChooser {
    /// Creates a chooser without replicas; `seed` determines its random choices.
    pub fn new(seed: u64) -> Self {
        Self::with_checks(seed, ChooserChecks::default())
    }

    /// Creates a chooser with the given checks; other than the default only in tests.
    pub fn with_checks(seed: u64, checks: ChooserChecks) -> Self {
        Self {
            checks,
            long_limit: 0,
            replicas: BTreeMap::new(),
            vm_by_attempt: HashMap::new(),
            medians: ClassMedians::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Sets the number of slots that long work may hold, over all replicas.
    pub fn set_long_limit(&mut self, limit: u32) {
        if self.long_limit != limit {
            self.long_limit = limit;
            self.distribute_long_slots();
        }
    }

    /// Adds or updates a replica and returns the credits that ended with its former incarnation.
    pub fn upsert(&mut self, info: ReplicaInfo, now: Instant) -> Vec<AttemptId> {
        let incarnation = self.replicas.get(&info.vm).map(|replica| replica.info.incarnation);
        let is_new_incarnation = incarnation.is_some_and(|former| former != info.incarnation);
        let lost = match is_new_incarnation && self.checks.incarnations {
            true => self.remove(&info.vm),
            false => Vec::new(),
        };
        let vm = info.vm.clone();
        self.replicas
            .entry(vm)
            .and_modify(|replica| replica.update_info(&info))
            .or_insert_with(|| ReplicaState::new(info, now));
        self.distribute_long_slots();
        lost
    }

    /// Removes a replica and returns the credits that ended with it.
    pub fn remove(&mut self, vm: &VmId) -> Vec<AttemptId> {
        let Some(replica) = self.replicas.remove(vm) else { return Vec::new() };
        let lost: Vec<AttemptId> = replica.credits.into_keys().collect();
        for id in &lost {
            self.vm_by_attempt.remove(id);
        }
        self.distribute_long_slots();
        lost
    }

    /// Marks a replica as draining: it gets no new work, and its open credits stay valid.
    pub fn drain(&mut self, vm: &VmId) {
        if let Some(replica) = self.replicas.get_mut(vm) {
            replica.is_draining = self.checks.draining;
        }
        self.distribute_long_slots();
    }

    /// Records a delayed load report: the requests that ran at the backend server.
    pub fn record_load(&mut self, vm: &VmId, running: u32, now: Instant) {
        if let Some(replica) = self.replicas.get_mut(vm) {
            replica.record_load(running, now);
        }
    }

    /// Chooses a replica and opens a credit on it; `None` if no replica can take the request.
    pub fn choose(&mut self, request: &ReplicaRequest, now: Instant) -> Option<ReplicaChoice> {
        let trial = self.due_trial(request, now);
        let is_trial = trial.is_some();
        let vm = trial.or_else(|| self.pick_replica(request, now))?;
        let replica = self.replicas.get_mut(&vm)?;
        if is_trial {
            replica.probation.start_trial();
        }
        replica
            .open_credit(request.id, OpenCredit { class: request.class, granted: now, is_trial });
        let incarnation = replica.info.incarnation;
        self.vm_by_attempt.insert(request.id, vm.clone());
        Some(ReplicaChoice { vm, incarnation })
    }

    /// Closes a credit and records its service time; unknown credits are ignored.
    pub fn close_credit(&mut self, id: AttemptId, end: CreditEnd, now: Instant) {
        let Some(vm) = self.vm_by_attempt.remove(&id) else { return };
        let Some(replica) = self.replicas.get_mut(&vm) else { return };
        let Some(credit) = replica.close_credit(id) else { return };
        let median = self.medians.class(credit.class);
        let factor = match end {
            CreditEnd::Served(time) | CreditEnd::Withdrawn(time) => median.log_factor(time),
            CreditEnd::Unused | CreditEnd::Failed => None,
        };
        match (end, factor) {
            (CreditEnd::Served(_), Some(factor)) => replica.slowness.observe(factor, now),
            (CreditEnd::Withdrawn(_), Some(factor)) => {
                replica.slowness.observe_at_least(factor, now)
            }
            _ => {}
        }
        if credit.is_trial {
            let served = matches!(end, CreditEnd::Served(_));
            let factor = factor.filter(|_| served).map(f64::exp);
            if replica.probation.end_trial(factor, now) {
                replica.slowness = SlownessMean::new(now);
                self.distribute_long_slots();
            }
        } else if let CreditEnd::Served(time) = end {
            self.medians.observe(credit.class, time);
        }
    }

    /// Replica that the open credit of an attempt is on.
    pub fn granted_replica(&self, id: AttemptId) -> Option<ReplicaChoice> {
        let vm = self.vm_by_attempt.get(&id)?;
        let incarnation = self.replicas.get(vm)?.info.incarnation;
        Some(ReplicaChoice { vm: vm.clone(), incarnation })
    }

    /// Slots that requests may hold: all slots of replicas that accept work, and the open credits
    /// on the others.
    pub fn slot_total(&self) -> u32 {
        let include_slow = self.grants_on_slow();
        let slots =
            self.replicas.values().map(|replica| match replica.accepts_work(include_slow) {
                true => replica.info.slots,
                false => replica.credits.len() as u32,
            });
        slots.sum()
    }

    /// VMs on probation.
    pub fn slow(&self) -> Vec<&VmId> {
        let slow = self.replicas.iter().filter(|(_, replica)| replica.probation.is_slow());
        slow.map(|(vm, _)| vm).collect()
    }

    /// Number of open credits of a replica.
    pub fn outstanding(&self, vm: &VmId) -> usize {
        self.replicas.get(vm).map_or(0, |replica| replica.credits.len())
    }

    /// Time after which a request of `class` may be hedged; `None` before one has been served.
    pub fn hedge_after(&self, class: WorkClass) -> Option<Duration> {
        self.medians.class(class).median().map(|median| median.mul_f64(HEDGE_MEDIANS))
    }

    /// Puts replicas that have become slow on probation.
    pub fn update_probation(&mut self, now: Instant) {
        if !self.checks.probation {
            return;
        }
        let limit = self.replicas.len() / PROBATION_DIVISOR;
        let mut slow = self.replicas.values().filter(|r| r.probation.is_slow()).count();
        let median = self.medians.class(WorkClass::Short).median().unwrap_or_default();
        let interval = (median * TRIAL_MEDIANS).max(MIN_TRIAL_INTERVAL);
        let mut has_changed = false;
        for replica in self.replicas.values_mut() {
            if slow >= limit || replica.probation.is_slow() {
                continue;
            }
            if replica.current_slowness(&self.medians, now).factor(now) >= SLOW_FACTOR {
                replica.probation = SlowProbation::start(now, interval);
                slow += 1;
                has_changed = true;
            }
        }
        if has_changed {
            self.distribute_long_slots();
        }
    }

    /// Whether work is granted on slow replicas, because no other accepts work.
    fn grants_on_slow(&self) -> bool {
        !self.replicas.values().any(|replica| replica.accepts_work(false))
    }

    fn due_trial(&self, request: &ReplicaRequest, now: Instant) -> Option<VmId> {
        let is_eligible = request.may_retry && !request.exclude_tried && request.tried.is_empty();
        if !is_eligible || request.class == WorkClass::Long {
            return None;
        }
        let due = |replica: &&ReplicaState| {
            let is_due = replica.probation.is_trial_due(now);
            is_due && !replica.is_draining && replica.has_free_slot()
        };
        self.replicas.values().find(due).map(|replica| replica.info.vm.clone())
    }

    fn pick_replica(&mut self, request: &ReplicaRequest, now: Instant) -> Option<VmId> {
        let candidates = self.candidates(request);
        let own_zone: Vec<&VmId> =
            candidates.iter().filter(|vm| self.replicas[*vm].info.zone == request.zone).collect();
        let own = draw_two(&mut self.rng, &own_zone);
        let any = draw_two(&mut self.rng, &candidates.iter().collect::<Vec<_>>());
        let own = self.least_loaded(&own, now);
        let any = self.least_loaded(&any, now);
        let choice = match (own, any) {
            (Some(own), Some(any)) if self.checks.prefer_own_zone => {
                if own.load_score > any.load_score * ZONE_LOAD_FACTOR { any } else { own }
            }
            (own, any) => any.or(own)?,
        };
        Some(choice.vm)
    }

    /// Replicas that accept work and have a free slot.
    ///
    /// Returns those that were not tried and have a slot for the class of the request. If there are
    /// none, returns those that were not tried; if there are none either, returns all, or nothing
    /// if tried replicas are excluded.
    fn candidates(&self, request: &ReplicaRequest) -> Vec<VmId> {
        let include_slow = self.grants_on_slow();
        let is_usable =
            |replica: &&ReplicaState| replica.accepts_work(include_slow) && replica.has_free_slot();
        let usable: Vec<&ReplicaState> = self.replicas.values().filter(is_usable).collect();
        let is_untried = |replica: &&&ReplicaState| !request.tried.contains(&replica.info.vm);
        let has_slot = |replica: &&&ReplicaState| replica.has_slot_for(request.class);
        let best: Vec<VmId> = vm_ids(usable.iter().filter(is_untried).filter(has_slot));
        if !best.is_empty() {
            return best;
        }
        let untried = vm_ids(usable.iter().filter(is_untried));
        if !untried.is_empty() || request.exclude_tried {
            return untried;
        }
        vm_ids(usable.iter())
    }

    fn least_loaded(&self, choices: &[VmId], now: Instant) -> Option<ScoredReplica> {
        let score = |vm: &VmId| {
            let load_score = self.replicas[vm].load_score(&self.medians, now);
            ScoredReplica { vm: vm.clone(), load_score }
        };
        choices.iter().map(score).min_by(|a, b| a.load_score.total_cmp(&b.load_score))
    }

    /// Distributes the slots that long work may hold over the replicas that accept work, in
    /// proportion to their slots.
    fn distribute_long_slots(&mut self) {
        let include_slow = self.grants_on_slow();
        let working = self.replicas.values().filter(|replica| replica.accepts_work(include_slow));
        let total = working.map(|replica| u64::from(replica.info.slots)).sum::<u64>().max(1);
        let (mut slots, mut assigned) = (0, 0);
        for replica in self.replicas.values_mut() {
            if !replica.accepts_work(include_slow) {
                replica.long_limit = 0;
                continue;
            }
            slots += u64::from(replica.info.slots);
            let cumulative = (slots * u64::from(self.long_limit) / total) as u32;
            replica.long_limit = cumulative - assigned;
            assigned = cumulative;
        }
    }
}

struct ScoredReplica {
    vm: VmId,
    load_score: f64,
}

fn vm_ids<'a>(replicas: impl Iterator<Item = &'a &'a ReplicaState>) -> Vec<VmId> {
    replicas.map(|replica| replica.info.vm.clone()).collect()
}

/// Draws two different members at random; all of them if there are at most two.
fn draw_two(rng: &mut StdRng, members: &[&VmId]) -> Vec<VmId> {
    if members.len() <= 2 {
        return members.iter().map(|vm| (*vm).clone()).collect();
    }
    let first = rng.random_range(0..members.len());
    let second = (first + rng.random_range(1..members.len())) % members.len();
    vec![members[first].clone(), members[second].clone()]
}
