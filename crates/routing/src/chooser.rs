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

/// Another zone is chosen when its burden is this many times smaller.
const ZONE_FACTOR: f64 = 2.0;
/// First time between trials of a slow replica, in medians of short work.
const TRIAL_MEDIANS: u32 = 4;
/// Shortest time between trials.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Largest part of the replicas on probation at the same time, as a divisor.
const PROBATION_DIVISOR: usize = 2;
/// A hedge is sent after this many medians.
const HEDGE_MEDIANS: f64 = 2.5;

/// The safeguards of a chooser; all are on except in tests that show what each prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChooserGuards {
    /// Slow replicas are put on probation.
    pub probation: bool,
    /// Leaving replicas get no new work.
    pub leaving: bool,
    /// Credits of an old incarnation die with it.
    pub incarnations: bool,
    /// The own zone is preferred.
    pub zone_first: bool,
}

impl Default for ChooserGuards {
    fn default() -> Self {
        Self { probation: true, leaving: true, incarnations: true, zone_first: true }
    }
}

/// A request that needs a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRequest {
    /// The attempt.
    pub id: AttemptId,
    /// Class of the work.
    pub class: WorkClass,
    /// Zone of the entry that holds the caller.
    pub zone: ZoneName,
    /// VMs that earlier attempts were granted on; avoided if there is another.
    pub tried: Vec<VmId>,
    /// Whether VMs already tried are refused rather than avoided.
    pub must_differ: bool,
    /// Whether the request may be used as a trial of a slow replica.
    pub may_repeat: bool,
}

/// The replica chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaChoice {
    /// VM of the backend server.
    pub vm: VmId,
    /// Life of its side process that the credit is good for.
    pub incarnation: ProcessIncarnation,
}

/// Replicas of one model or service, and the credits granted on them.
#[derive(Debug)]
pub struct ReplicaChooser {
    guards: ChooserGuards,
    long_limit: u32,
    replicas: BTreeMap<VmId, ReplicaState>,
    holders: HashMap<AttemptId, VmId>,
    medians: ClassMedians,
    rng: StdRng,
}

impl ReplicaChooser {
    /// A chooser without replicas; `seed` decides its random choices.
    pub fn new(seed: u64) -> Self {
        Self::with_guards(seed, ChooserGuards::default())
    }

    /// A chooser with some safeguards off, to show what they prevent.
    pub fn with_guards(seed: u64, guards: ChooserGuards) -> Self {
        Self {
            guards,
            long_limit: 0,
            replicas: BTreeMap::new(),
            holders: HashMap::new(),
            medians: ClassMedians::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Lets long work hold `limit` of the slots.
    pub fn limit_long(&mut self, limit: u32) {
        if self.long_limit != limit {
            self.long_limit = limit;
            self.share_long_slots();
        }
    }

    /// Adds or updates a replica and returns the credits that died with its former incarnation.
    pub fn upsert(&mut self, info: ReplicaInfo, now: Instant) -> Vec<AttemptId> {
        let incarnation = self.replicas.get(&info.vm).map(|replica| replica.info.incarnation);
        let is_new_life = incarnation.is_some_and(|former| former != info.incarnation);
        let dead = match is_new_life && self.guards.incarnations {
            true => self.remove(&info.vm),
            false => Vec::new(),
        };
        let vm = info.vm.clone();
        self.replicas
            .entry(vm)
            .and_modify(|replica| replica.renew(&info))
            .or_insert_with(|| ReplicaState::new(info, now));
        self.share_long_slots();
        dead
    }

    /// Removes a replica and returns the credits that died with it.
    pub fn remove(&mut self, vm: &VmId) -> Vec<AttemptId> {
        let Some(replica) = self.replicas.remove(vm) else { return Vec::new() };
        let dead: Vec<AttemptId> = replica.credits.into_keys().collect();
        for id in &dead {
            self.holders.remove(id);
        }
        self.share_long_slots();
        dead
    }

    /// Marks a replica as leaving; it gets no new work, and its credits stay good.
    pub fn leave(&mut self, vm: &VmId) {
        if let Some(replica) = self.replicas.get_mut(vm) {
            replica.is_leaving = self.guards.leaving;
        }
        self.share_long_slots();
    }

    /// Takes over a late load report: requests that ran at the backend server.
    pub fn report(&mut self, vm: &VmId, running: u32, now: Instant) {
        if let Some(replica) = self.replicas.get_mut(vm) {
            replica.report(running, now);
        }
    }

    /// Chooses a replica and opens a credit on it; `None` if none can take the request.
    pub fn choose(&mut self, request: &ReplicaRequest, now: Instant) -> Option<ReplicaChoice> {
        let trial = self.due_trial(request, now);
        let is_trial = trial.is_some();
        let vm = trial.or_else(|| self.pick(request, now))?;
        let replica = self.replicas.get_mut(&vm)?;
        if is_trial {
            replica.probation.start_trial();
        }
        replica.open(request.id, OpenCredit { class: request.class, granted: now, is_trial });
        let incarnation = replica.info.incarnation;
        self.holders.insert(request.id, vm.clone());
        Some(ReplicaChoice { vm, incarnation })
    }

    /// Closes a credit; unknown ones are ignored.
    pub fn close(&mut self, id: AttemptId, end: CreditEnd, now: Instant) {
        let Some(vm) = self.holders.remove(&id) else { return };
        let Some(replica) = self.replicas.get_mut(&vm) else { return };
        let Some(credit) = replica.close(id) else { return };
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
                self.share_long_slots();
            }
        } else if let CreditEnd::Served(time) = end {
            self.medians.observe(credit.class, time);
        }
    }

    /// The choice that an open credit stands for.
    pub fn held(&self, id: AttemptId) -> Option<ReplicaChoice> {
        let vm = self.holders.get(&id)?;
        let incarnation = self.replicas.get(vm)?.info.incarnation;
        Some(ReplicaChoice { vm: vm.clone(), incarnation })
    }

    /// Slots that requests may be granted on: those of usable replicas, and the credits that are
    /// still open on the others.
    pub fn slot_total(&self) -> u32 {
        let slow_too = self.grants_on_slow();
        let slots = self.replicas.values().map(|replica| match replica.takes_work(slow_too) {
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

    /// Open credits of a replica.
    pub fn outstanding(&self, vm: &VmId) -> usize {
        self.replicas.get(vm).map_or(0, |replica| replica.credits.len())
    }

    /// Time after which a request of `class` is worth a hedge.
    pub fn hedge_after(&self, class: WorkClass) -> Option<Duration> {
        self.medians.class(class).median().map(|median| median.mul_f64(HEDGE_MEDIANS))
    }

    /// Puts replicas on probation that have become slow.
    pub fn update_probation(&mut self, now: Instant) {
        if !self.guards.probation {
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
            if replica.slowness_now(&self.medians, now).factor(now) >= SLOW_FACTOR {
                replica.probation = SlowProbation::start(now, interval);
                slow += 1;
                has_changed = true;
            }
        }
        if has_changed {
            self.share_long_slots();
        }
    }

    /// Whether work is granted on slow replicas, because no other is left.
    fn grants_on_slow(&self) -> bool {
        !self.replicas.values().any(|replica| replica.takes_work(false))
    }

    fn due_trial(&self, request: &ReplicaRequest, now: Instant) -> Option<VmId> {
        let is_fit = request.may_repeat && !request.must_differ && request.tried.is_empty();
        if !is_fit || request.class == WorkClass::Long {
            return None;
        }
        let due = |replica: &&ReplicaState| {
            let is_due = replica.probation.is_trial_due(now);
            is_due && !replica.is_leaving && replica.has_free_slot()
        };
        self.replicas.values().find(due).map(|replica| replica.info.vm.clone())
    }

    fn pick(&mut self, request: &ReplicaRequest, now: Instant) -> Option<VmId> {
        let candidates = self.candidates(request);
        let own_zone: Vec<&VmId> =
            candidates.iter().filter(|vm| self.replicas[*vm].info.zone == request.zone).collect();
        let own = two_of(&mut self.rng, &own_zone);
        let any = two_of(&mut self.rng, &candidates.iter().collect::<Vec<_>>());
        let own = self.lighter(&own, now);
        let any = self.lighter(&any, now);
        let choice = match (own, any) {
            (Some(own), Some(any)) if self.guards.zone_first => {
                if own.burden > any.burden * ZONE_FACTOR { any } else { own }
            }
            (own, any) => any.or(own)?,
        };
        Some(choice.vm)
    }

    /// Replicas that fit the request; the best kind of fit that any replica offers.
    fn candidates(&self, request: &ReplicaRequest) -> Vec<VmId> {
        let slow_too = self.grants_on_slow();
        let is_usable =
            |replica: &&ReplicaState| replica.takes_work(slow_too) && replica.has_free_slot();
        let usable: Vec<&ReplicaState> = self.replicas.values().filter(is_usable).collect();
        let is_fresh = |replica: &&&ReplicaState| !request.tried.contains(&replica.info.vm);
        let fits = |replica: &&&ReplicaState| replica.fits(request.class);
        let best: Vec<VmId> = names(usable.iter().filter(is_fresh).filter(fits));
        if !best.is_empty() {
            return best;
        }
        let fresh = names(usable.iter().filter(is_fresh));
        if !fresh.is_empty() || request.must_differ {
            return fresh;
        }
        names(usable.iter())
    }

    fn lighter(&self, choices: &[VmId], now: Instant) -> Option<WeighedReplica> {
        let weigh = |vm: &VmId| {
            let burden = self.replicas[vm].burden(&self.medians, now);
            WeighedReplica { vm: vm.clone(), burden }
        };
        choices.iter().map(weigh).min_by(|a, b| a.burden.total_cmp(&b.burden))
    }

    /// Deals the slots that long work may hold out to the usable replicas.
    fn share_long_slots(&mut self) {
        let slow_too = self.grants_on_slow();
        let working = self.replicas.values().filter(|replica| replica.takes_work(slow_too));
        let total = working.map(|replica| u64::from(replica.info.slots)).sum::<u64>().max(1);
        let (mut slots, mut dealt) = (0, 0);
        for replica in self.replicas.values_mut() {
            if !replica.takes_work(slow_too) {
                replica.long_limit = 0;
                continue;
            }
            slots += u64::from(replica.info.slots);
            let due = (slots * u64::from(self.long_limit) / total) as u32;
            replica.long_limit = due - dealt;
            dealt = due;
        }
    }
}

struct WeighedReplica {
    vm: VmId,
    burden: f64,
}

fn names<'a>(replicas: impl Iterator<Item = &'a &'a ReplicaState>) -> Vec<VmId> {
    replicas.map(|replica| replica.info.vm.clone()).collect()
}

/// Two different members drawn at random, or as many as there are.
fn two_of(rng: &mut StdRng, members: &[&VmId]) -> Vec<VmId> {
    if members.len() <= 2 {
        return members.iter().map(|vm| (*vm).clone()).collect();
    }
    let first = rng.random_range(0..members.len());
    let second = (first + rng.random_range(1..members.len())) % members.len();
    vec![members[first].clone(), members[second].clone()]
}
