//! Blocks: which requests they refuse, for how long, and how entries compare theirs.

mod common;

use std::time::Duration;

use common::{keys, seconds, sighting};
use suspects::{AnsweredKeys, AppliedBlock, BlockDigest, BlockList, RequestBlock, SuspectBoard};
use tokio::time::Instant;

/// Time from the decision of a block until requests are refused.
const OBJECTION_TIME: Duration = Duration::from_millis(50);

/// Counts crashes under one request until it is blocked; returns the block and its time.
fn block(board: &mut SuspectBoard, numbers: &[u64], start: Instant) -> (RequestBlock, Instant) {
    for number in 0..10 {
        let sent = start + seconds(0.5) * number;
        let crashed = sent + seconds(0.1);
        if let Some(block) = board.record_crash(&sighting(numbers, sent, crashed), crashed) {
            return (block, crashed);
        }
    }
    panic!("the request is not blocked after ten crashes");
}

#[test]
fn blocked_request_is_refused_until_the_end_of_its_block() {
    let start = Instant::now();
    let mut board = SuspectBoard::default();

    let (block, decided) = block(&mut board, &[7], start);
    let now = decided + OBJECTION_TIME;

    assert_eq!(board.blocked_until(&keys(&[7]), now), Some(block.until));
    assert_eq!(board.blocked_until(&keys(&[7, 8]), now), Some(block.until));
    assert_eq!(board.blocked_until(&keys(&[8]), now), None);
    assert_eq!(board.blocked_until(&keys(&[7]), block.until), None);
}

#[test]
fn one_crash_after_its_end_renews_a_block_for_twice_the_time() {
    let mut board = SuspectBoard::default();
    let (first, decided) = block(&mut board, &[7], Instant::now());
    let sent = first.until + seconds(1.0);
    let crashed = sent + seconds(0.1);

    let renewed = board.record_crash(&sighting(&[7], sent, crashed), crashed).expect("a block");

    assert_eq!(renewed.renewals, 1);
    assert_eq!(renewed.until - crashed, (first.until - decided) * 2);
}

#[test]
fn block_of_a_request_that_was_answered_after_its_end_is_not_renewed() {
    let mut board = SuspectBoard::default();
    let (first, _) = block(&mut board, &[7], Instant::now());
    let later = first.until + seconds(1.0);

    board.record_answer(&keys(&[7]), later);
    let crashed = later + seconds(9.1);
    let renewed = board.record_crash(&sighting(&[7], later + seconds(9.0), crashed), crashed);

    assert_eq!(renewed, None);
}

#[test]
fn entry_that_saw_an_answer_after_the_end_objects_to_a_renewal() {
    let mut renewing = SuspectBoard::default();
    let mut other = SuspectBoard::default();
    let (first, decided) = block(&mut renewing, &[7], Instant::now());
    other.apply_block(&first, decided);
    let later = first.until + seconds(1.0);
    other.record_answer(&keys(&[7, 8]), later);

    let crashed = later + seconds(1.0);
    let report = sighting(&[7], later + seconds(0.5), crashed);
    let renewed = renewing.record_crash(&report, crashed).expect("it saw no answer");

    assert!(other.apply_block(&renewed, crashed).has_objection);
}

#[test]
fn blocks_last_an_hour_at_most() {
    let mut board = SuspectBoard::default();
    let (mut last, mut now) = block(&mut board, &[7], Instant::now());

    for _ in 0..40 {
        now = last.until + seconds(1.0);
        last = board.record_crash(&sighting(&[7], now, now), now).expect("a renewed block");
    }

    assert_eq!(last.until - now, seconds(3_600.0));
}

#[test]
fn entries_with_the_same_blocks_have_the_same_digest() {
    let now = Instant::now();
    let blocks = [1, 2, 3].map(|number| RequestBlock::new(keys(&[number]), now, now));
    let unknown = AnsweredKeys::default();
    let (mut one, mut other) = (BlockList::default(), BlockList::default());

    blocks.iter().for_each(|block| assert!(one.apply(block, &unknown, now).is_new));
    blocks.iter().rev().for_each(|block| assert!(other.apply(block, &unknown, now).is_new));

    assert_eq!(one.digest(now), other.digest(now));
    assert_ne!(one.digest(now), BlockDigest::default());
    assert_eq!(one.apply(&blocks[0], &unknown, now), AppliedBlock::default(), "it is known");
    assert_eq!(one.digest(blocks[0].until), BlockDigest::default(), "all have ended");
}

#[test]
fn block_without_keys_is_ignored() {
    let now = Instant::now();
    let mut list = BlockList::default();

    let applied =
        list.apply(&RequestBlock::new(keys(&[]), now, now), &AnsweredKeys::default(), now);
    assert_eq!(applied, AppliedBlock::default());
    assert_eq!(list.blocked_until(&keys(&[1]), now + OBJECTION_TIME), None);
}

#[test]
fn number_of_blocks_is_bounded() {
    let now = Instant::now();
    let mut list = BlockList::default();

    for number in 0..1_000 {
        let block = RequestBlock::new(keys(&[number]), now, now);
        list.apply(&block, &AnsweredKeys::default(), now);
    }

    assert_eq!(list.active(now).count(), 64);
    let later = now + OBJECTION_TIME;
    assert!(list.blocked_until(&keys(&[999]), later).is_some(), "the newest is kept");
}

#[test]
fn key_of_an_answered_request_is_no_suspect_any_more() {
    let now = Instant::now();
    let (customer, deadly) = (1, 7);
    let mut board = SuspectBoard::default();
    board.apply_block(&RequestBlock::new(keys(&[customer, deadly]), now, now), now);
    let effective = now + OBJECTION_TIME;
    assert_eq!(board.blocked_until(&keys(&[customer, 30]), effective), None, "one key of two");

    board.record_answer(&keys(&[customer, 30]), now + seconds(1.0));

    let later = now + seconds(2.0);
    assert!(board.blocked_until(&keys(&[deadly, 31]), later).is_some(), "whoever sends it");
    assert_eq!(board.blocked_until(&keys(&[customer, 31]), later), None);
}

#[test]
fn block_is_void_once_a_request_with_all_of_its_keys_was_answered() {
    let now = Instant::now();
    let mut board = SuspectBoard::default();
    board.apply_block(&RequestBlock::new(keys(&[1, 2]), now, now), now);

    board.record_answer(&keys(&[1, 2, 3]), now + seconds(1.0));

    assert_eq!(board.blocked_until(&keys(&[1, 2]), now + seconds(2.0)), None);
}

#[test]
fn block_decided_elsewhere_spares_what_was_answered_here() {
    let now = Instant::now();
    let (route, deadly) = (1, 7);
    let mut board = SuspectBoard::default();
    board.record_answer(&keys(&[route, 30]), now + seconds(1.0));
    let decided = now + seconds(2.0);

    board.apply_block(&RequestBlock::new(keys(&[route]), now, decided), decided);
    board.apply_block(&RequestBlock::new(keys(&[route, deadly]), now, decided), decided);

    let later = decided + OBJECTION_TIME;
    assert_eq!(board.blocked_until(&keys(&[route, 31]), later), None);
    assert!(board.blocked_until(&keys(&[route, deadly]), later).is_some());
}

#[test]
fn request_with_the_most_suspect_keys_explains_a_crash() {
    let start = Instant::now();
    let (route, customer, deadly) = (1, 2, 7);
    let mut board = SuspectBoard::default();

    for number in 0..4 {
        let sent = start + seconds(0.5) * number;
        let crashed = sent + seconds(0.1);
        let own = u64::from(number);
        let sound = [route, customer, 30 + own];
        let cause = [route, customer, deadly, 40 + own];
        board.record_crash(&sighting(&sound, sent, crashed), crashed);
        board.record_crash(&sighting(&cause, sent, crashed), crashed);
    }

    let now = start + seconds(1.7);
    assert!(board.blocked_until(&keys(&[route, customer, deadly, 41]), now).is_some());
    assert_eq!(board.blocked_until(&keys(&[route, customer, 31]), now), None);
}

#[test]
fn wider_block_counts_if_crashes_go_on_after_the_narrower_one() {
    let start = Instant::now();
    let (deadly, incidental) = (1, 7);
    let mut board = SuspectBoard::default();
    let (_, decided) = block(&mut board, &[deadly, incidental], start);
    let sent = decided + seconds(2.0);

    let wider = board.record_crash(&sighting(&[deadly, 30], sent, sent), sent);

    assert_eq!(wider.map(|block| block.keys), Some(keys(&[deadly])));
    assert!(board.blocked_until(&keys(&[deadly, 31]), sent + OBJECTION_TIME).is_some());
}

#[test]
fn entry_that_decides_learns_what_the_others_have_seen_answered() {
    let start = Instant::now();
    let (customer, deadly) = (1, 7);
    let (mut deciding, mut other) = (SuspectBoard::default(), SuspectBoard::default());
    other.record_answer(&keys(&[customer, 30]), start + seconds(0.2));
    let (block, now) = block(&mut deciding, &[customer, deadly], start);

    assert!(other.apply_block(&block, now).has_objection);
    let objection = other.objection(&block.keys).expect("an objection");
    let narrowed = deciding.apply_block(&objection, now).narrowed.expect("to be passed on");

    assert_eq!(narrowed.suspects(), keys(&[deadly]));
    assert_eq!(other.objection(&block.keys), None, "it is sent once");
    assert_eq!(deciding.digest(now), other.digest(now));
    let later = now + OBJECTION_TIME;
    assert_eq!(deciding.blocked_until(&keys(&[customer, 31]), later), None);
    assert!(deciding.blocked_until(&keys(&[deadly, 31]), later).is_some());
}

#[test]
fn nothing_is_refused_before_others_can_object() {
    let mut board = SuspectBoard::default();

    let (_, decided) = block(&mut board, &[7], Instant::now());

    assert_eq!(board.blocked_until(&keys(&[7]), decided), None);
    assert!(board.blocked_until(&keys(&[7]), decided + OBJECTION_TIME).is_some());
}

/// Guards against a block of another entry or of the store whose count of renewals overflowed.
#[test]
fn block_with_the_greatest_count_of_renewals_is_renewed() {
    let start = Instant::now();
    let mut board = SuspectBoard::default();
    let ended = RequestBlock { renewals: u32::MAX, ..RequestBlock::new(keys(&[7]), start, start) };
    board.restore_block(&ended, start);
    let sent = ended.until + seconds(1.0);
    let crashed = sent + seconds(0.1);

    let renewed = board.record_crash(&sighting(&[7], sent, crashed), crashed).expect("a block");

    assert_eq!(renewed.until - crashed, RequestBlock::MAX_TIME);
}
