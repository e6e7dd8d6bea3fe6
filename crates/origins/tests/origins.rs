//! Origins of streams: what is kept, by whom, and what follows if nobody keeps them.

use std::{collections::BTreeMap, net::SocketAddr};

use base::prelude::*;
use origins::{
    MAX_STREAM_AGE, OriginLedger, StreamKey, StreamOrigin, UnknownOrigin, VersionHistory,
    rank_holders,
};
use roster::SoftwareVersion;

fn service() -> ServiceName {
    "reports".parse().expect("a valid name")
}

fn version(text: &str) -> SoftwareVersion {
    text.parse().expect("any text")
}

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin { service: service(), software: version(software) }
}

/// The version that began a stream of unknown origin, for a process that reads the store
/// for it.
fn only_version(
    history: &mut VersionHistory,
    now: Instant,
) -> Result<SoftwareVersion, UnknownOrigin> {
    history.record_read([], [], now, now);
    history.only_version(&service(), now, now)
}

fn processes(count: u8) -> Vec<SocketAddr> {
    (1..=count).map(|host| SocketAddr::from(([10, 0, 0, host], 7_380))).collect()
}

#[test]
fn origin_that_was_recorded_first_stays() {
    let (key, now) = (StreamKey::of_call("c-1"), Instant::now());
    let mut ledger = OriginLedger::default();

    ledger.record(key, origin("v1"), now);
    ledger.record(key, origin("v2"), now + Duration::from_secs(1));

    assert_eq!(ledger.get(key, now + Duration::from_secs(2)), Some(&origin("v1")));
}

#[test]
fn origin_is_kept_for_the_longest_life_of_a_stream_after_it_went_on_last() {
    let (key, start) = (StreamKey::of_call("c-1"), Instant::now());
    let resumed = start + Duration::from_secs(50);
    let mut ledger = OriginLedger::default();
    ledger.record(key, origin("v1"), start);

    ledger.record(key, origin("v1"), resumed);
    let kept = ledger.get(key, start + MAX_STREAM_AGE).cloned();
    let expired = ledger.get(key, resumed + MAX_STREAM_AGE).cloned();

    assert_eq!((kept, expired), (Some(origin("v1")), None));
}

#[test]
fn ledger_is_bounded_and_drops_the_oldest() {
    let start = Instant::now();
    let mut ledger = OriginLedger::default();

    for number in 0..40_000 {
        let at = start + Duration::from_micros(number);
        ledger.record(StreamKey(number), origin("v1"), at);
    }

    let now = start + Duration::from_secs(1);
    assert_eq!(ledger.len(), 16_384);
    assert!(ledger.get(StreamKey(39_999), now).is_some());
    assert!(ledger.get(StreamKey(0), now).is_none());
}

/// Half of the processes are replaced, as in a release: of three that keep an origin, one of the
/// six that are asked later is nearly always among the rest.
#[test]
fn holder_is_found_after_half_of_the_processes_were_replaced() {
    let before = processes(9);
    let after: Vec<SocketAddr> =
        before[4..].iter().copied().chain(processes(20).split_off(16)).collect();
    let keys = (0..1_000).map(|number| StreamKey::of_call(&format!("c-{number}")));

    let found = keys.filter(|key| {
        let kept = rank_holders(*key, before.clone(), 3);
        rank_holders(*key, after.clone(), 6).iter().any(|asked| kept.contains(asked))
    });

    let found = found.count();
    assert!(found > 900, "{found} of 1000");
}

#[test]
fn origins_are_spread_evenly_over_the_processes() {
    let mut kept: BTreeMap<SocketAddr, u32> = BTreeMap::new();

    for number in 0..3_000 {
        let key = StreamKey::of_call(&format!("c-{number}"));
        for holder in rank_holders(key, processes(30), 3) {
            *kept.entry(holder).or_default() += 1;
        }
    }

    assert_eq!(kept.len(), 30);
    assert!(kept.values().all(|count| (200..400).contains(count)), "{kept:?}");
}

#[test]
fn only_version_of_a_running_process_decides() {
    let start = Instant::now();
    let mut history = VersionHistory::new(start);
    history.restore([], start, start);
    history.record_listed(&service(), &version("v1"), start);

    assert_eq!(only_version(&mut history, start), Ok(version("v1")));
}

#[test]
fn version_that_left_counts_until_its_streams_have_ended() {
    let start = Instant::now();
    let left = start + Duration::from_secs(100);
    let mut history = VersionHistory::new(start);
    history.restore([], start, start);
    history.record_listed(&service(), &version("v1"), left);
    history.record_listed(&service(), &version("v2"), left);
    let later = left + MAX_STREAM_AGE;
    history.record_listed(&service(), &version("v2"), later);

    let before = only_version(&mut history, left + Duration::from_secs(59));
    let after = only_version(&mut history, later);
    let expired = history.expire(later);

    assert_eq!(before, Err(UnknownOrigin::SeveralVersions));
    assert_eq!(after, Ok(version("v2")));
    assert_eq!(expired, [(service(), version("v1"))]);
}

#[test]
fn versions_recorded_before_a_restart_count_for_the_longest_life_of_a_stream() {
    let start = Instant::now();
    let mut history = VersionHistory::new(start);
    history.record_listed(&service(), &version("v2"), start);

    let unread = only_version(&mut history, start);
    history.restore([(service(), version("v1")), (service(), version("v2"))], start, start);
    let read = only_version(&mut history, start);

    assert_eq!(unread, Err(UnknownOrigin::NotBefore(start + MAX_STREAM_AGE)));
    assert_eq!(read, Err(UnknownOrigin::SeveralVersions));
}

#[test]
fn process_that_has_run_long_enough_needs_no_record() {
    let start = Instant::now();
    let later = start + MAX_STREAM_AGE;
    let mut history = VersionHistory::new(start);
    history.record_listed(&service(), &version("v2"), later);

    assert_eq!(only_version(&mut history, later), Ok(version("v2")));
}

/// A store that came back from a copy may list neither the newest version nor its servers.
#[test]
fn record_that_may_be_old_counts_once_it_was_written_again() {
    let start = Instant::now();
    let rewritten = start + Duration::from_secs(3);
    let mut history = VersionHistory::new(start);
    history.restore([(service(), version("v1"))], rewritten, start);

    let before = only_version(&mut history, start + Duration::from_secs(2));
    history.record_listed(&service(), &version("v2"), rewritten);
    let after = only_version(&mut history, rewritten);

    assert_eq!(before, Err(UnknownOrigin::NotBefore(rewritten)));
    assert_eq!(after, Err(UnknownOrigin::SeveralVersions));
}

/// Guards against an entry that takes the only version which it knows for the only one, though it was
/// out of step for a moment as another joined.
#[test]
fn read_before_the_question_does_not_show_the_only_version() {
    let start = Instant::now();
    let mut history = VersionHistory::new(start);
    history.restore([], start, start);
    history.record_read([(service(), version("v1"))], [], start, start);
    let asked = start + Duration::from_millis(1);

    let unread = history.only_version(&service(), asked, asked);
    history.record_read([(service(), version("v1"))], [], asked, asked);
    let read = history.only_version(&service(), asked, asked);

    assert_eq!(unread, Err(UnknownOrigin::NoHistory));
    assert_eq!(read, Ok(version("v1")));
}

/// Guards against a version that joined and left while this process was out of step.
#[test]
fn version_that_others_have_recorded_counts() {
    let start = Instant::now();
    let mut history = VersionHistory::new(start);
    history.restore([], start, start);

    history.record_read([(service(), version("v1"))], [(service(), version("v2"))], start, start);

    let found = history.only_version(&service(), start, start);
    assert_eq!(found, Err(UnknownOrigin::SeveralVersions));
}

/// Guards against a version that never ends because each read finds it recorded.
#[test]
fn version_that_is_still_recorded_expires() {
    let start = Instant::now();
    let mut history = VersionHistory::new(start);
    history.restore([], start, start);
    history.record_listed(&service(), &version("v1"), start);
    let later = start + MAX_STREAM_AGE;

    history.record_read([(service(), version("v2"))], [(service(), version("v1"))], later, later);

    assert_eq!(history.only_version(&service(), later, later), Ok(version("v2")));
}

#[test]
fn another_origin_of_a_stream_is_returned() {
    let (key, now) = (StreamKey::of_call("c-1"), Instant::now());
    let mut ledger = OriginLedger::default();

    let first = ledger.record(key, origin("v1"), now);
    let same = ledger.record(key, origin("v1"), now);
    let other = ledger.record(key, origin("v2"), now);

    assert_eq!((first, same, other), (None, None, Some(origin("v1"))));
}
