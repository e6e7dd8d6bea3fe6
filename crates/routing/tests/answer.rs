//! Assembly of answers from crossed, late, repeated and truncated frames.

use base::{ids::AttemptId, prelude::*};
use bytes::Bytes;
use proptest::{collection::vec, prelude::*, test_runner::TestRunner};
use routing::{AnswerStream, FrameBody, FrameOrigin, StreamAction, StreamGuards};

fn origin(request: u128, incarnation: u64) -> FrameOrigin {
    let id = AttemptId { request: RequestId(request), attempt: 1 };
    FrameOrigin { id, incarnation: ProcessIncarnation(incarnation) }
}

fn chunk(offset: usize, data: &[u8]) -> FrameBody {
    FrameBody::Chunk { offset: offset as u64, data: Bytes::copy_from_slice(data) }
}

fn end(length: usize) -> FrameBody {
    FrameBody::End { length: length as u64, code: ResultCode::Success }
}

#[derive(Debug, PartialEq, Eq)]
enum Shown {
    Open(Vec<u8>),
    Whole(Vec<u8>),
    Cut(Vec<u8>),
}

fn show(stream: &mut AnswerStream, frames: Vec<(FrameOrigin, FrameBody)>) -> Shown {
    let mut shown = Vec::new();
    for (origin, body) in frames {
        match stream.take(origin, body) {
            Some(StreamAction::ShowData(data)) => shown.extend_from_slice(&data),
            Some(StreamAction::Complete) => return Shown::Whole(shown),
            Some(StreamAction::Cut(_)) => return Shown::Cut(shown),
            Some(StreamAction::ShowHead) | None => {}
        }
    }
    Shown::Open(shown)
}

fn own(bodies: Vec<FrameBody>) -> Vec<(FrameOrigin, FrameBody)> {
    bodies.into_iter().map(|body| (origin(1, 1), body)).collect()
}

#[test]
fn an_answer_in_order_is_whole() {
    let frames = own(vec![FrameBody::Head, chunk(0, b"ab"), chunk(2, b"c"), end(3)]);

    let shown = show(&mut AnswerStream::new(origin(1, 1)), frames);

    assert_eq!(shown, Shown::Whole(b"abc".to_vec()));
}

#[test]
fn frames_of_another_request_or_incarnation_are_dropped() {
    let frames = || {
        vec![
            (origin(1, 1), FrameBody::Head),
            (origin(2, 1), chunk(0, b"XX")),
            (origin(1, 9), chunk(0, b"YY")),
            (origin(1, 1), chunk(0, b"ab")),
            (origin(1, 1), end(2)),
        ]
    };
    let guards = StreamGuards { origin: false, ..StreamGuards::default() };

    let shown = show(&mut AnswerStream::new(origin(1, 1)), frames());
    let crossed = show(&mut AnswerStream::with_guards(origin(1, 1), guards), frames());

    assert_eq!(shown, Shown::Whole(b"ab".to_vec()));
    assert_eq!(crossed, Shown::Whole(b"XX".to_vec()));
}

#[test]
fn repeated_bytes_are_shown_once() {
    let frames =
        || own(vec![FrameBody::Head, chunk(0, b"ab"), chunk(0, b"ab"), chunk(1, b"bc"), end(3)]);
    let guards = StreamGuards { offsets: false, length: false, ..StreamGuards::default() };

    let shown = show(&mut AnswerStream::new(origin(1, 1)), frames());
    let doubled = show(&mut AnswerStream::with_guards(origin(1, 1), guards), frames());

    assert_eq!(shown, Shown::Whole(b"abc".to_vec()));
    assert_eq!(doubled, Shown::Whole(b"ababbc".to_vec()));
}

#[test]
fn a_truncated_answer_is_never_whole() {
    let frames = || own(vec![FrameBody::Head, chunk(0, b"ab"), end(5)]);
    let guards = StreamGuards { length: false, ..StreamGuards::default() };

    let shown = show(&mut AnswerStream::new(origin(1, 1)), frames());
    let unchecked = show(&mut AnswerStream::with_guards(origin(1, 1), guards), frames());

    assert_eq!(shown, Shown::Cut(b"ab".to_vec()));
    assert_eq!(unchecked, Shown::Whole(b"ab".to_vec()));
}

#[test]
fn nothing_follows_an_end() {
    let mut stream = AnswerStream::new(origin(1, 1));
    show(&mut stream, own(vec![FrameBody::Head, FrameBody::Lost]));

    let late = stream.take(origin(1, 1), end(0));

    assert!(stream.has_ended());
    assert_eq!(late, None);
}

#[test]
fn whatever_arrives_only_the_own_answer_is_ever_whole() {
    let answer = b"0123456789abcdef";
    let frame = (0..5u8, 0..17usize, 0..6usize, 0..8u8);

    let check = |picks: Vec<(u8, usize, usize, u8)>| {
        let frames = picks.into_iter().map(|(kind, from, length, sender)| {
            let from = from.min(answer.len());
            let to = (from + length).min(answer.len());
            let foreign = sender == 0;
            let body = match kind {
                0 => FrameBody::Head,
                1 => end(from),
                2 if foreign => chunk(from, b"foreign"),
                _ => chunk(from, &answer[from..to]),
            };
            (if foreign { origin(2, 1) } else { origin(1, 1) }, body)
        });
        let shown = show(&mut AnswerStream::new(origin(1, 1)), frames.collect());
        let (Shown::Open(bytes) | Shown::Whole(bytes) | Shown::Cut(bytes)) = shown;
        prop_assert!(answer.starts_with(&bytes));
        Ok(())
    };

    TestRunner::deterministic().run(&vec(frame, 0..40), check).unwrap();
}
