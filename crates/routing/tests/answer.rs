//! Assembly of answers from frames that are foreign, late, repeated or truncated.

use base::{ids::AttemptId, prelude::*};
use bytes::Bytes;
use proptest::{collection::vec, prelude::*, test_runner::TestRunner};
use routing::{AnswerStream, FrameBody, FrameOrigin, StreamAction, StreamChecks};

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
enum ReceivedAnswer {
    Open(Vec<u8>),
    Complete(Vec<u8>),
    Aborted(Vec<u8>),
}

fn receive(stream: &mut AnswerStream, frames: Vec<(FrameOrigin, FrameBody)>) -> ReceivedAnswer {
    let mut received = Vec::new();
    for (origin, body) in frames {
        match stream.apply_frame(origin, body) {
            Some(StreamAction::SendData(data)) => received.extend_from_slice(&data),
            Some(StreamAction::Complete) => return ReceivedAnswer::Complete(received),
            Some(StreamAction::Abort(_)) => return ReceivedAnswer::Aborted(received),
            Some(StreamAction::SendHead) | None => {}
        }
    }
    ReceivedAnswer::Open(received)
}

fn own_frames(bodies: Vec<FrameBody>) -> Vec<(FrameOrigin, FrameBody)> {
    bodies.into_iter().map(|body| (origin(1, 1), body)).collect()
}

#[test]
fn frames_in_order_complete_the_answer() {
    let frames = own_frames(vec![FrameBody::Head, chunk(0, b"ab"), chunk(2, b"c"), end(3)]);

    let received = receive(&mut AnswerStream::new(origin(1, 1)), frames);

    assert_eq!(received, ReceivedAnswer::Complete(b"abc".to_vec()));
}

#[test]
fn foreign_frames_are_dropped() {
    let frames = || {
        vec![
            (origin(1, 1), FrameBody::Head),
            (origin(2, 1), chunk(0, b"XX")),
            (origin(1, 9), chunk(0, b"YY")),
            (origin(1, 1), chunk(0, b"ab")),
            (origin(1, 1), end(2)),
        ]
    };
    let checks = StreamChecks { origin: false, ..StreamChecks::default() };

    let received = receive(&mut AnswerStream::new(origin(1, 1)), frames());
    let mixed = receive(&mut AnswerStream::with_checks(origin(1, 1), checks), frames());

    assert_eq!(received, ReceivedAnswer::Complete(b"ab".to_vec()));
    assert_eq!(mixed, ReceivedAnswer::Complete(b"XX".to_vec()));
}

#[test]
fn repeated_bytes_are_sent_once() {
    let frames = || {
        own_frames(vec![FrameBody::Head, chunk(0, b"ab"), chunk(0, b"ab"), chunk(1, b"bc"), end(3)])
    };
    let checks = StreamChecks { offsets: false, length: false, ..StreamChecks::default() };

    let received = receive(&mut AnswerStream::new(origin(1, 1)), frames());
    let repeated = receive(&mut AnswerStream::with_checks(origin(1, 1), checks), frames());

    assert_eq!(received, ReceivedAnswer::Complete(b"abc".to_vec()));
    assert_eq!(repeated, ReceivedAnswer::Complete(b"ababbc".to_vec()));
}

#[test]
fn truncated_answer_is_aborted() {
    let frames = || own_frames(vec![FrameBody::Head, chunk(0, b"ab"), end(5)]);
    let checks = StreamChecks { length: false, ..StreamChecks::default() };

    let received = receive(&mut AnswerStream::new(origin(1, 1)), frames());
    let unchecked = receive(&mut AnswerStream::with_checks(origin(1, 1), checks), frames());

    assert_eq!(received, ReceivedAnswer::Aborted(b"ab".to_vec()));
    assert_eq!(unchecked, ReceivedAnswer::Complete(b"ab".to_vec()));
}

#[test]
fn frames_after_the_end_are_ignored() {
    let mut stream = AnswerStream::new(origin(1, 1));
    receive(&mut stream, own_frames(vec![FrameBody::Head, FrameBody::Lost]));

    let late = stream.apply_frame(origin(1, 1), end(0));

    assert!(stream.has_ended());
    assert_eq!(late, None);
}

#[test]
fn sends_only_a_prefix_of_the_own_answer() {
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
        let received = receive(&mut AnswerStream::new(origin(1, 1)), frames.collect());
        let (ReceivedAnswer::Open(bytes)
        | ReceivedAnswer::Complete(bytes)
        | ReceivedAnswer::Aborted(bytes)) = received;
        prop_assert!(answer.starts_with(&bytes));
        Ok(())
    };

    TestRunner::deterministic().run(&vec(frame, 0..40), check).unwrap();
}
