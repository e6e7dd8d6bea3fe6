//! Checks invariants of claim shards under random histories, and that disabling any check violates
//! one of them. Several owners run at once, pause, resume and restart; the store loses answers,
//! refuses calls and applies writes late.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use bytes::Bytes;
use object_api::{ObjectVersion, WriteCondition};
use once::{
    CallTicket, ClaimCall, ClaimKey, ClaimReply, ClaimSegment, ClaimShard, CreationTime, KeyDigest,
    ReadOutcome, RecordKind, RequestFingerprint, SegmentNumber, ShardAction, ShardBase,
    ShardChecks, ShardEvent, ShardLimits, ShardSnapshot, ShardTime, StoredBase, StoredSegment,
    WriteOutcome,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time;

const HISTORIES: u64 = 150;
const STEPS: usize = 1_500;
const OWNERS: usize = 3;
const KEY_LIFETIME: Duration = Duration::from_secs(40);

fn limits() -> ShardLimits {
    ShardLimits {
        claim_lifetime: KEY_LIFETIME,
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
enum RequestState {
    Claiming,
    Running,
    Releasing,
    Released,
    NotRun,
}

struct RequestTrack {
    key: ClaimKey,
    state: RequestState,
}

struct OwnerTrack {
    shard: ClaimShard,
    actions: Vec<ShardAction>,
    results: Vec<ShardEvent>,
}

struct HistoryCheck {
    rng: ChaCha8Rng,
    checks: ShardChecks,
    started: Instant,
    objects: ShardObjects,
    delayed_writes: Vec<(SegmentNumber, Bytes)>,
    owners: Vec<OwnerTrack>,
    incarnations: u64,
    requests: Vec<RequestTrack>,
    keys: Vec<ClaimKey>,
    ran: BTreeSet<KeyDigest>,
    faults_disabled: bool,
}

impl HistoryCheck {
    fn new(seed: u64, checks: ShardChecks) -> Self {
        let mut check = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            checks,
            started: Instant::now(),
            objects: ShardObjects::default(),
            delayed_writes: Vec::new(),
            owners: Vec::new(),
            incarnations: 0,
            requests: Vec::new(),
            keys: Vec::new(),
            ran: BTreeSet::new(),
            faults_disabled: false,
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
        let shard = ClaimShard::with_checks(writer, limits(), self.checks, Instant::now());
        OwnerTrack { shard, actions: Vec::new(), results: Vec::new() }
    }

    fn time(&self) -> ShardTime {
        let now = Instant::now();
        ShardTime { now, unix_time: Duration::from_secs(1_000) + now.duration_since(self.started) }
    }

    fn handle_event(&mut self, owner: usize, event: ShardEvent) -> Result<(), String> {
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

    fn send_call(&mut self, owner: usize, request: usize, kind: RecordKind) -> Result<(), String> {
        let millis = if self.faults_disabled { 60_000 } else { self.rng.random_range(100..5_000) };
        let caller_timeout = Duration::from_millis(millis);
        let call = ClaimCall {
            ticket: CallTicket(request as u64),
            kind,
            key: self.requests[request].key,
            request: RequestId(request as u128),
            fingerprint: RequestFingerprint([0; 32]),
            deadline: Instant::now() + caller_timeout,
        };
        self.handle_event(owner, ShardEvent::Call(call))
    }

    fn new_request(&mut self, owner: usize) -> Result<(), String> {
        let key = self.key();
        self.requests.push(RequestTrack { key, state: RequestState::Claiming });
        self.send_call(owner, self.requests.len() - 1, RecordKind::Claim)
    }

    /// Retries the call of a recent request, possibly late or at another owner.
    fn retry_call(&mut self, owner: usize) -> Result<(), String> {
        if self.requests.is_empty() {
            return Ok(());
        }
        let recent = self.requests.len().saturating_sub(20);
        let request = self.rng.random_range(recent..self.requests.len());
        let released = matches!(
            self.requests[request].state,
            RequestState::Releasing | RequestState::Released
        );
        let kind =
            if released && self.rng.random() { RecordKind::Release } else { RecordKind::Claim };
        self.send_call(owner, request, kind)
    }

    fn reply(&mut self, ticket: CallTicket, reply: &ClaimReply) -> Result<(), String> {
        let request = ticket.0 as usize;
        let RequestTrack { key, state } = self.requests[request];
        let state = match (state, reply) {
            (RequestState::Claiming, ClaimReply::Granted) if self.rng.random_ratio(2, 3) => {
                if !self.ran.insert(key.digest) {
                    return Err(format!("{key:?} ran twice"));
                }
                RequestState::Running
            }
            (RequestState::Claiming, ClaimReply::Granted | ClaimReply::Refused(_)) => {
                RequestState::NotRun
            }
            (RequestState::Releasing, ClaimReply::Released) => RequestState::Released,
            _ => state,
        };
        self.requests[request].state = state;
        Ok(())
    }

    /// Releases the key of the last request that did not run, as an entry does before it refuses
    /// the request.
    fn release(&mut self, owner: usize) -> Result<(), String> {
        let not_run = self.requests.iter().rposition(|track| track.state == RequestState::NotRun);
        let Some(request) = not_run else { return Ok(()) };
        self.requests[request].state = RequestState::Releasing;
        self.send_call(owner, request, RecordKind::Release)
    }

    /// Performs the next store action of an owner, possibly with a fault.
    fn perform(&mut self, owner: usize) {
        if self.owners[owner].actions.is_empty() {
            return;
        }
        let action = self.owners[owner].actions.remove(0);
        let fault = if self.faults_disabled { 100 } else { self.rng.random_range(0..100) };
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
                self.delayed_writes.push((number, body));
                WriteOutcome::Uncertain
            }
            _ => self.objects.create(number, body),
        }
    }

    fn deliver_result(&mut self, owner: usize) -> Result<(), String> {
        if self.owners[owner].results.is_empty() {
            return Ok(());
        }
        let mut result = self.owners[owner].results.remove(0);
        if let ShardEvent::Recovered(Some(snapshot)) = &mut result {
            snapshot.base = self.objects.base;
        }
        self.handle_event(owner, result)
    }

    /// Runs the history; one owner is active for a random time while the others are mostly paused.
    async fn run(&mut self) -> Result<(), String> {
        let mut active_owner = 0;
        for _ in 0..STEPS {
            if self.rng.random_ratio(1, 40) {
                active_owner = self.rng.random_range(0..OWNERS);
            }
            let random_owner = self.rng.random_range(0..OWNERS);
            let owner = if self.rng.random_ratio(1, 20) { random_owner } else { active_owner };
            time::advance(Duration::from_millis(self.rng.random_range(0..200))).await;
            match self.rng.random_range(0..100) {
                0..20 => self.new_request(owner)?,
                20..25 => self.retry_call(owner)?,
                25..32 => self.release(owner)?,
                32..60 => self.perform(owner),
                60..85 => self.deliver_result(owner)?,
                85..97 => self.handle_event(owner, ShardEvent::Tick)?,
                97..99 => self.apply_delayed_write(),
                _ if self.rng.random_ratio(1, 8) => self.owners[owner] = self.owner(),
                _ => {}
            }
        }
        self.check_released_keys().await
    }

    fn apply_delayed_write(&mut self) {
        if !self.delayed_writes.is_empty() {
            let (number, body) = self.delayed_writes.remove(0);
            self.objects.create(number, body);
        }
    }

    async fn run_without_faults(&mut self) -> Result<(), String> {
        for _ in 0..60 {
            time::advance(Duration::from_millis(60)).await;
            for owner in 0..OWNERS {
                self.handle_event(owner, ShardEvent::Tick)?;
                self.perform(owner);
                self.deliver_result(owner)?;
            }
        }
        Ok(())
    }

    /// Checks that without faults, a key whose users all released it can be claimed.
    async fn check_released_keys(&mut self) -> Result<(), String> {
        self.faults_disabled = true;
        self.run_without_faults().await?;
        let free = self.keys.clone().into_iter().filter(|key| {
            let mut users = self.requests.iter().filter(|track| track.key.digest == key.digest);
            users.all(|track| track.state == RequestState::Released)
        });
        for key in free.collect::<Vec<_>>() {
            if key.created < CreationTime::before(self.time().unix_time, KEY_LIFETIME / 2) {
                continue;
            }
            self.requests.push(RequestTrack { key, state: RequestState::Claiming });
            let request = self.requests.len() - 1;
            self.send_call(0, request, RecordKind::Claim)?;
            self.run_without_faults().await?;
            if self.requests[request].state == RequestState::Claiming {
                return Err(format!("{key:?} got no reply"));
            }
            if !self.ran.contains(&key.digest)
                && self.requests[request].state != RequestState::NotRun
            {
                return Err(format!("{key:?} was not granted"));
            }
            let held =
                matches!(self.stored_holder(key), Some(holder) if holder.0 == request as u128);
            if !held {
                return Err(format!("{key:?} was refused as not run but stays held"));
            }
        }
        Ok(())
    }

    fn stored_holder(&self, key: ClaimKey) -> Option<RequestId> {
        let snapshot = self.objects.snapshot();
        let mut records = snapshot.segments.iter().flat_map(|stored| &stored.segment.records);
        let last = records.rfind(|record| record.digest == key.digest)?;
        (last.kind == RecordKind::Claim).then_some(last.request)
    }
}

/// Returns the first violation whose message contains `fault`.
async fn first_violation(checks: ShardChecks, fault: &str) -> Option<String> {
    for seed in 0..HISTORIES {
        match HistoryCheck::new(seed, checks).run().await {
            Err(violation) if violation.contains(fault) => {
                return Some(format!("seed {seed}: {violation}"));
            }
            _ => {}
        }
    }
    None
}

#[tokio::test(start_paused = true)]
async fn keys_run_once_and_released_keys_stay_usable() {
    let violation = first_violation(ShardChecks::default(), "").await;

    assert_eq!(violation, None);
}

fn all() -> ShardChecks {
    ShardChecks::default()
}

#[rstest]
#[case::fence(ShardChecks { fence: false, ..all() }, "ran twice")]
#[case::base(ShardChecks { base: false, ..all() }, "ran twice")]
#[case::read_back(ShardChecks { read_back: false, ..all() }, "ran twice")]
#[case::replay(ShardChecks { replay: false, ..all() }, "ran twice")]
#[case::expiry(ShardChecks { expiry: false, ..all() }, "ran twice")]
#[case::durable_release(ShardChecks { durable_release: false, ..all() }, "stays held")]
#[tokio::test(start_paused = true)]
async fn each_check_is_needed(#[case] checks: ShardChecks, #[case] fault: &str) {
    let violation = first_violation(checks, fault).await;

    assert!(violation.is_some(), "no history shows the fault");
}
