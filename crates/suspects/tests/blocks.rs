//! Blocks: which requests they refuse, for how long, and how entries compare theirs.

mod common;

use common::{keys, seconds, sighting};
use suspects::{AnsweredKeys, BlockDigest, BlockList, RequestBlock, SuspectBoard};
use tokio::time::Instant;

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

    let (block, now) = block(&mut board, &[7], start);

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

    blocks.iter().for_each(|block| assert!(one.apply(block, &unknown, now)));
    blocks.iter().rev().for_each(|block| assert!(other.apply(block, &unknown, now)));

    assert_eq!(one.digest(now), other.digest(now));
    assert_ne!(one.digest(now), BlockDigest::default());
    assert!(!one.apply(&blocks[0], &unknown, now), "it is known");
    assert_eq!(one.digest(blocks[0].until), BlockDigest::default(), "all have ended");
}

#[test]
fn block_without_keys_is_ignored() {
    let now = Instant::now();
    let mut list = BlockList::default();

    assert!(!list.apply(&RequestBlock::new(keys(&[]), now, now), &AnsweredKeys::default(), now));
    assert_eq!(list.blocked_until(&keys(&[1]), now), None);
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
    assert!(list.blocked_until(&keys(&[999]), now).is_some(), "the newest is kept");
}

#[test]
fn key_of_an_answered_request_is_no_suspect_any_more() {
    let now = Instant::now();
    let (customer, deadly) = (1, 7);
    let mut board = SuspectBoard::default();
    board.apply_block(&RequestBlock::new(keys(&[customer, deadly]), now, now), now);
    assert_eq!(board.blocked_until(&keys(&[customer, 30]), now), None, "it has one key only");

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

    assert_eq!(board.blocked_until(&keys(&[route, 31]), decided), None);
    assert!(board.blocked_until(&keys(&[route, deadly]), decided).is_some());
}
