//! Splitting of streams into events.

use gateway::sse::{EventSplitter, StreamTail};
use rstest::rstest;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[rstest]
#[case(1)]
#[case(7)]
#[case(16)]
#[case(1_000)]
fn events_are_passed_on_at_any_chunk_size(#[case] chunk_size: usize) {
    let mut splitter = EventSplitter::default();
    let mut output = Vec::new();

    for bytes in STREAM.as_bytes().chunks(chunk_size) {
        let complete = splitter.push(bytes);
        assert!(complete.is_empty() || complete.ends_with(b"\n\n"));
        output.extend(complete);
    }

    assert_eq!(output, STREAM.as_bytes());
    assert_eq!(splitter.events(), 3);
    assert_eq!(splitter.last_id().map(|id| id.as_bytes()), Some(&b"3"[..]));
}

#[test]
fn incomplete_event_is_buffered_and_can_be_discarded() {
    let mut splitter = EventSplitter::default();

    let first = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    splitter.discard_partial();
    let partial = splitter.take_partial();

    assert_eq!(&first[..], b"id: 1\ndata: a\n\n");
    assert!(partial.is_empty());
    assert_eq!(splitter.last_id().map(|id| id.as_bytes()), Some(&b"1"[..]));
}

#[test]
fn event_that_follows_a_discarded_one_is_split() {
    let mut splitter = EventSplitter::default();

    splitter.push(b"id: 1\ndata: a long event that breaks off");
    splitter.discard_partial();
    let complete = splitter.push(b"id: 1\ndata: a\n\n");

    assert_eq!(&complete[..], b"id: 1\ndata: a\n\n");
}

#[test]
fn crlf_ends_lines() {
    let mut splitter = EventSplitter::default();

    let complete = splitter.push(b"id: 9\r\ndata: a\r\n\r\n");

    assert!(!complete.is_empty());
    assert_eq!(splitter.last_id().map(|id| id.as_bytes()), Some(&b"9"[..]));
}

#[rstest]
#[case::line_feeds(&["id: 1\ndata: a\n\n"], true)]
#[case::carriage_returns(&["id: 1\rdata: a\r\r"], true)]
#[case::both(&["id: 1\r\ndata: a\r\n\r\n"], true)]
#[case::in_pieces(&["id: 1\r\ndata: a\r", "\n", "\r", "\n"], true)]
#[case::without_blank_line(&["id: 1\r\ndata: a\r\n"], false)]
#[case::inside_an_event(&["id: 1\n\n", "id: 2"], false)]
#[case::empty(&[], false)]
fn stream_ends_between_events_after_a_blank_line(#[case] pieces: &[&str], #[case] expected: bool) {
    let mut tail = StreamTail::default();

    pieces.iter().for_each(|piece| tail.push(piece.as_bytes()));

    assert_eq!(tail.ends_event(), expected);
}
