//! Shards of claims under random histories: several owners at once that freeze, wake and die, a
//! store that loses answers, refuses calls or lets a write land late; each guard is shown needed.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use bytes::Bytes;
use object_api::{ObjectVersion, WriteCondition};
use once::{
    CallTicket, ClaimCall, ClaimKey, ClaimReply, ClaimSegment, ClaimShard, CreationTime, KeyDigest,
    ReadOutcome, RecordKind, RequestFingerprint, SegmentNumber, ShardAction, ShardBase, ShardEvent,
    ShardGuards, ShardLimits, ShardSnapshot, ShardTime, StoredBase, StoredSegment, WriteOutcome,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time;

const HISTORIES: u64 = 150;
const STEPS: usize = 1_500;
const OWNERS: usize = 3;
const KEY_LIFE: Duration = Duration::from_secs(40);

fn limits() -> ShardLimits {
    ShardLimits {
        claim_lifetime: KEY_LIFE,
        min_write_interval: Duration::from_millis(10),
        retry_delay: Duration::from_millis(50),
        expiry_interval: Duration::from_secs(2),
        ..ShardLimits::default()
    }
}

/// The objects of one shard.
#[derive(Default)]
struct ShardObjects {
    version: u64,
    segments: BTreeMap<SegmentNumber, (ObjectVersion, Bytes)>,
    base: StoredBase,
}

impl ShardObjects {
    fn next_version(&mut self) -> ObjectVersion {
        self.version += 1;
        ObjectVersion(self.version)
    }

    fn create(&mut self, number: SegmentNumber, body: Bytes) -> WriteOutcome {
        if self.segments.contains_key(&number) {
            return WriteOutcome::ConditionFailed;
        }
        let version = self.next_version();
        self.segments.insert(number, (version, body));
        WriteOutcome::Written(version)
    }

    fn write_base(&mut self, base: ShardBase, condition: WriteCondition) -> WriteOutcome {
        if condition != self.base.write_condition() {
            return WriteOutcome::ConditionFailed;
        }
        let version = self.next_version();
        self.base = StoredBase { version: Some(version), base };
        WriteOutcome::Written(version)
    }

    fn stored(&self, number: SegmentNumber) -> Option<StoredSegment> {
        let (version, body) = self.segments.get(&number)?;
        let segment = ClaimSegment::decode(body.clone()).unwrap();
        Some(StoredSegment { number, version: *version, segment })
    }

    fn snapshot(&self) -> ShardSnapshot {
        let numbers = self.segments.keys();
        let segments = numbers.filter_map(|number| self.stored(*number)).collect();
        ShardSnapshot { segments, base: self.base }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AskState {
    Asking,
    Running,
    Releasing,
    Released,
    Dead,
}

struct RequestTrack {
    key: ClaimKey,
    state: AskState,
}

struct OwnerTrack {
    shard: ClaimShard,
    actions: Vec<ShardAction>,
    results: Vec<ShardEvent>,
}

struct HistoryCheck {
    rng: ChaCha8Rng,
    guards: ShardGuards,
    started: Instant,
    objects: ShardObjects,
    limbo: Vec<(SegmentNumber, Bytes)>,
    owners: Vec<OwnerTrack>,
    incarnations: u64,
    requests: Vec<RequestTrack>,
    keys: Vec<ClaimKey>,
    ran: BTreeSet<KeyDigest>,
    healthy: bool,
}

impl HistoryCheck {
    fn new(seed: u64, guards: ShardGuards) -> Self {
        let mut check = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            guards,
            started: Instant::now(),
            objects: ShardObjects::default(),
            limbo: Vec::new(),
            owners: Vec::new(),
            incarnations: 0,
            requests: Vec::new(),
            keys: Vec::new(),
            ran: BTreeSet::new(),
            healthy: false,
        };
        for _ in 0..OWNERS {
            let owner = check.owner();
            check.owners.push(owner);
        }
        check
    }

    fn owner(&mut self) -> OwnerTrack {
        self.incarnations += 1;
        let writer = ProcessIncarnation(self.incarnations);
        let shard = ClaimShard::with_guards(writer, limits(), self.guards, Instant::now());
        OwnerTrack { shard, actions: Vec::new(), results: Vec::new() }
    }

    fn time(&self) -> ShardTime {
        let now = Instant::now();
        ShardTime { now, unix_time: Duration::from_secs(1_000) + now.duration_since(self.started) }
    }

    fn event(&mut self, owner: usize, event: ShardEvent) -> Result<(), String> {
        let time = self.time();
        for action in self.owners[owner].shard.handle(event, time) {
            match action {
                ShardAction::Reply { ticket, reply } => self.reply(ticket, &reply)?,
                action => self.owners[owner].actions.push(action),
            }
        }
        Ok(())
    }

    fn key(&mut self) -> ClaimKey {
        if self.keys.is_empty() || self.rng.random_ratio(1, 3) {
            let digest = KeyDigest((self.keys.len() as u128).to_be_bytes());
            self.keys.push(ClaimKey {
                digest,
                created: CreationTime::before(self.time().unix_time, Duration::ZERO),
            });
        }
        let recent = self.keys.len().saturating_sub(12);
        let first = if self.rng.random_ratio(1, 8) { 0 } else { recent };
        self.keys[self.rng.random_range(first..self.keys.len())]
    }

    fn ask(&mut self, owner: usize, request: usize, kind: RecordKind) -> Result<(), String> {
        let millis = if self.healthy { 60_000 } else { self.rng.random_range(100..5_000) };
        let patience = Duration::from_millis(millis);
        let call = ClaimCall {
            ticket: CallTicket(request as u64),
            kind,
            key: self.requests[request].key,
            request: RequestId(request as u128),
            fingerprint: RequestFingerprint([0; 32]),
            deadline: Instant::now() + patience,
        };
        self.event(owner, ShardEvent::Call(call))
    }

    fn new_request(&mut self, owner: usize) -> Result<(), String> {
        let key = self.key();
        self.requests.push(RequestTrack { key, state: AskState::Asking });
        self.ask(owner, self.requests.len() - 1, RecordKind::Claim)
    }

    /// A frame that comes twice, late, or to another owner.
    fn repeat(&mut self, owner: usize) -> Result<(), String> {
        if self.requests.is_empty() {
            return Ok(());
        }
        let recent = self.requests.len().saturating_sub(20);
        let request = self.rng.random_range(recent..self.requests.len());
        let released =
            matches!(self.requests[request].state, AskState::Releasing | AskState::Released);
        let kind =
            if released && self.rng.random() { RecordKind::Release } else { RecordKind::Claim };
        self.ask(owner, request, kind)
    }

    fn reply(&mut self, ticket: CallTicket, reply: &ClaimReply) -> Result<(), String> {
        let request = ticket.0 as usize;
        let RequestTrack { key, state } = self.requests[request];
        let state = match (state, reply) {
            (AskState::Asking, ClaimReply::Granted) if self.rng.random_ratio(2, 3) => {
                if !self.ran.insert(key.digest) {
                    return Err(format!("{key:?} ran twice"));
                }
                AskState::Running
            }
            (AskState::Asking, ClaimReply::Granted | ClaimReply::Refused(_)) => AskState::Dead,
            (AskState::Releasing, ClaimReply::Released) => AskState::Released,
            _ => state,
        };
        self.requests[request].state = state;
        Ok(())
    }

    /// A dead request releases its key before it is refused as not run.
    fn release(&mut self, owner: usize) -> Result<(), String> {
        let dead = self.requests.iter().rposition(|track| track.state == AskState::Dead);
        let Some(request) = dead else { return Ok(()) };
        self.requests[request].state = AskState::Releasing;
        self.ask(owner, request, RecordKind::Release)
    }

    /// Lets the store take one action of an owner.
    fn perform(&mut self, owner: usize) {
        if self.owners[owner].actions.is_empty() {
            return;
        }
        let action = self.owners[owner].actions.remove(0);
        let fault = if self.healthy { 100 } else { self.rng.random_range(0..100) };
        let result = match action {
            ShardAction::Recover if fault < 10 => Some(ShardEvent::Recovered(None)),
            ShardAction::Recover => Some(ShardEvent::Recovered(Some(self.objects.snapshot()))),
            ShardAction::WriteSegment { number, body } => {
                Some(ShardEvent::SegmentWritten(self.write(number, body, fault)))
            }
            ShardAction::ReadSegment { .. } if fault < 10 => {
                Some(ShardEvent::SegmentRead(ReadOutcome::Failed))
            }
            ShardAction::ReadSegment { number } => {
                let found = self.objects.stored(number).map(ReadOutcome::Found);
                Some(ShardEvent::SegmentRead(found.unwrap_or(ReadOutcome::Absent)))
            }
            ShardAction::ReadBase if fault < 10 => Some(ShardEvent::BaseRead(None)),
            ShardAction::ReadBase => Some(ShardEvent::BaseRead(Some(self.objects.base))),
            ShardAction::WriteBase { .. } if fault < 10 => {
                Some(ShardEvent::BaseWritten(WriteOutcome::NotWritten))
            }
            ShardAction::WriteBase { base, condition } => {
                let written = self.objects.write_base(base, condition);
                let outcome = if fault < 20 { WriteOutcome::Uncertain } else { written };
                Some(ShardEvent::BaseWritten(outcome))
            }
            ShardAction::DeleteSegment { number, version } => {
                if fault >= 10 && self.objects.stored(number).is_some_and(|s| s.version == version)
                {
                    self.objects.segments.remove(&number);
                }
                None
            }
            ShardAction::Reply { .. } => None,
        };
        self.owners[owner].results.extend(result);
    }

    fn write(&mut self, number: SegmentNumber, body: Bytes, fault: u32) -> WriteOutcome {
        match fault {
            0..6 => WriteOutcome::NotWritten,
            6..8 => WriteOutcome::Deferred,
            8..16 => {
                self.objects.create(number, body);
                WriteOutcome::Uncertain
            }
            16..24 => {
                self.limbo.push((number, body));
                WriteOutcome::Uncertain
            }
            _ => self.objects.create(number, body),
        }
    }

    fn deliver(&mut self, owner: usize) -> Result<(), String> {
        if self.owners[owner].results.is_empty() {
            return Ok(());
        }
        let mut result = self.owners[owner].results.remove(0);
        if let ShardEvent::Recovered(Some(snapshot)) = &mut result {
            snapshot.base = self.objects.base;
        }
        self.event(owner, result)
    }

    /// The owners take turns of random length; those not in turn are frozen.
    async fn run(&mut self) -> Result<(), String> {
        let mut turn = 0;
        for _ in 0..STEPS {
            if self.rng.random_ratio(1, 40) {
                turn = self.rng.random_range(0..OWNERS);
            }
            let anyone = self.rng.random_range(0..OWNERS);
            let owner = if self.rng.random_ratio(1, 20) { anyone } else { turn };
            time::advance(Duration::from_millis(self.rng.random_range(0..200))).await;
            match self.rng.random_range(0..100) {
                0..20 => self.new_request(owner)?,
                20..25 => self.repeat(owner)?,
                25..32 => self.release(owner)?,
                32..60 => self.perform(owner),
                60..85 => self.deliver(owner)?,
                85..97 => self.event(owner, ShardEvent::Tick)?,
                97..99 => self.land_late(),
                _ if self.rng.random_ratio(1, 8) => self.owners[owner] = self.owner(),
                _ => {}
            }
        }
        self.settle().await
    }

    fn land_late(&mut self) {
        if !self.limbo.is_empty() {
            let (number, body) = self.limbo.remove(0);
            self.objects.create(number, body);
        }
    }

    async fn drive(&mut self) -> Result<(), String> {
        for _ in 0..60 {
            time::advance(Duration::from_millis(60)).await;
            for owner in 0..OWNERS {
                self.event(owner, ShardEvent::Tick)?;
                self.perform(owner);
                self.deliver(owner)?;
            }
        }
        Ok(())
    }

    /// With all faults gone, each key whose only users were refused as not run can be claimed.
    async fn settle(&mut self) -> Result<(), String> {
        self.healthy = true;
        self.drive().await?;
        let free = self.keys.clone().into_iter().filter(|key| {
            let mut users = self.requests.iter().filter(|track| track.key.digest == key.digest);
            users.all(|track| track.state == AskState::Released)
        });
        for key in free.collect::<Vec<_>>() {
            if key.created < CreationTime::before(self.time().unix_time, KEY_LIFE / 2) {
                continue;
            }
            self.requests.push(RequestTrack { key, state: AskState::Asking });
            let request = self.requests.len() - 1;
            self.ask(0, request, RecordKind::Claim)?;
            self.drive().await?;
            if self.requests[request].state == AskState::Asking {
                return Err(format!("{key:?} got no reply"));
            }
            if !self.ran.contains(&key.digest) && self.requests[request].state != AskState::Dead {
                return Err(format!("{key:?} was not granted"));
            }
            let held =
                matches!(self.objects_holder(key), Some(holder) if holder.0 == request as u128);
            if !held {
                return Err(format!("{key:?} was refused as not run but stays held"));
            }
        }
        Ok(())
    }

    fn objects_holder(&self, key: ClaimKey) -> Option<RequestId> {
        let snapshot = self.objects.snapshot();
        let mut records = snapshot.segments.iter().flat_map(|stored| &stored.segment.records);
        let last = records.rfind(|record| record.digest == key.digest)?;
        (last.kind == RecordKind::Claim).then_some(last.request)
    }
}

/// The first violation that speaks of `fault`.
async fn first_violation(guards: ShardGuards, fault: &str) -> Option<String> {
    for seed in 0..HISTORIES {
        match HistoryCheck::new(seed, guards).run().await {
            Err(violation) if violation.contains(fault) => {
                return Some(format!("seed {seed}: {violation}"));
            }
            _ => {}
        }
    }
    None
}

#[tokio::test(start_paused = true)]
async fn no_key_runs_twice_and_refused_keys_stay_usable() {
    let violation = first_violation(ShardGuards::default(), "").await;

    assert_eq!(violation, None);
}

fn all() -> ShardGuards {
    ShardGuards::default()
}

#[rstest]
#[case::fence(ShardGuards { fence: false, ..all() }, "ran twice")]
#[case::base(ShardGuards { base: false, ..all() }, "ran twice")]
#[case::read_back(ShardGuards { read_back: false, ..all() }, "ran twice")]
#[case::replay(ShardGuards { replay: false, ..all() }, "ran twice")]
#[case::expiry(ShardGuards { expiry: false, ..all() }, "ran twice")]
#[case::durable_release(ShardGuards { durable_release: false, ..all() }, "stays held")]
#[tokio::test(start_paused = true)]
async fn each_guard_is_needed(#[case] guards: ShardGuards, #[case] fault: &str) {
    let violation = first_violation(guards, fault).await;

    assert!(violation.is_some(), "no history shows the fault");
}
