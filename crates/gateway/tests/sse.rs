//! Splitting streams into events.

use gateway::sse::EventSplitter;
use rstest::rstest;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[rstest]
#[case(1)]
#[case(7)]
#[case(16)]
#[case(1_000)]
fn whole_events_are_passed_on_whatever_the_pieces(#[case] piece: usize) {
    let mut splitter = EventSplitter::default();
    let mut passed = Vec::new();

    for bytes in STREAM.as_bytes().chunks(piece) {
        let whole = splitter.push(bytes);
        assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
        passed.extend(whole);
    }

    assert_eq!(passed, STREAM.as_bytes());
    assert_eq!(splitter.events(), 3);
    assert_eq!(splitter.last_id().map(|id| id.as_bytes()), Some(&b"3"[..]));
}

#[test]
fn an_event_that_is_not_whole_is_held_back_and_can_be_forgotten() {
    let mut splitter = EventSplitter::default();

    let first = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    splitter.cut();
    let rest = splitter.rest();

    assert_eq!(&first[..], b"id: 1\ndata: a\n\n");
    assert!(rest.is_empty());
    assert_eq!(splitter.last_id().map(|id| id.as_bytes()), Some(&b"1"[..]));
}

#[test]
fn carriage_returns_end_lines_too() {
    let mut splitter = EventSplitter::default();

    let whole = splitter.push(b"id: 9\r\ndata: a\r\n\r\n");

    assert!(!whole.is_empty());
    assert_eq!(splitter.last_id().map(|id| id.as_bytes()), Some(&b"9"[..]));
}
