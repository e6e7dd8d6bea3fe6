//! What one node takes from others, and each check that keeps it from taking too much.

use base::prelude::*;
use lists::{
    ListDelta, ListImage, SectionKind, SectionName,
    image::SectionChange,
    spread::{
        CopyGuards, ListCopy, SpreadBody,
        copy::{EditStep, TakeOutcome},
        message::{CopyMessage, EditsMessage, PullMessage},
    },
};

fn step(image: &mut ListImage, version: u64, replicas: u64) -> EditStep {
    let name = SectionName::new(SectionKind::Model, "m");
    let text = format!("service = s\nreplicas = {replicas}\nmemory = 1GiB\n");
    let delta = ListDelta { changes: vec![SectionChange { name, text: Some(text) }] };
    image.apply(&delta);
    EditStep { version: ListVersion(version), digest: image.digest(), delta }
}

/// A copy at version `to` that can answer every version from one on.
fn copy_at(to: u64, guards: CopyGuards) -> ListCopy {
    let mut copy = ListCopy::with_guards(guards);
    let mut image = ListImage::default();
    step(&mut image, 1, 1);
    copy.take_image(ListVersion(1), image.clone());
    let steps = (2..=to).map(|version| step(&mut image, version, version)).collect();
    copy.take_steps(steps);
    assert_eq!(copy.version(), ListVersion(to));
    copy
}

fn pieces(copy: &ListCopy) -> Vec<CopyMessage> {
    let bodies = copy.answer(&PullMessage { version: 0, digest: 0 });
    let piece = |body| match body {
        SpreadBody::Copy(piece) => piece,
        other => panic!("{other:?}"),
    };
    bodies.into_iter().map(piece).collect()
}

fn edits(upper: &ListCopy, lower: &ListCopy) -> Vec<EditsMessage> {
    let edits = |body| match body {
        SpreadBody::Edits(edits) => edits,
        other => panic!("{other:?}"),
    };
    upper.answer(&lower.pull()).into_iter().map(edits).collect()
}

#[test]
fn edits_bring_a_lower_node_up() {
    let upper = copy_at(40, CopyGuards::ALL);
    let mut lower = copy_at(3, CopyGuards::ALL);

    for message in edits(&upper, &lower) {
        assert_eq!(lower.take_edits(message), TakeOutcome::Taken);
    }

    assert_eq!((lower.version(), lower.digest()), (upper.version(), upper.digest()));
}

#[test]
fn a_lower_node_too_far_behind_gets_a_full_copy() {
    let upper = copy_at(400, CopyGuards::ALL);
    let mut lower = copy_at(3, CopyGuards::ALL);

    let bodies = upper.answer(&lower.pull());
    for body in bodies {
        let SpreadBody::Copy(piece) = body else { panic!("{body:?}") };
        lower.take_piece(piece);
    }

    assert_eq!((lower.version(), lower.digest()), (upper.version(), upper.digest()));
}

#[test]
fn a_full_copy_arrives_in_pieces() {
    let mut image = ListImage::default();
    step(&mut image, 1, 1);
    for index in 0..9_400 {
        let name = SectionName::new(SectionKind::Adapter, format!("a-{index}"));
        let text = Some(String::from("base = m\nmemory = 100MiB\n"));
        image.apply(&ListDelta { changes: vec![SectionChange { name, text }] });
    }
    let mut upper = ListCopy::default();
    upper.take_image(ListVersion(7), image);
    let mut lower = ListCopy::default();

    let pieces = pieces(&upper);
    let count = pieces.len();
    let outcomes: Vec<_> = pieces.into_iter().map(|piece| lower.take_piece(piece)).collect();

    assert!(count > 1);
    assert_eq!(outcomes.last(), Some(&TakeOutcome::Taken));
    assert_eq!(lower.digest(), upper.digest());
}

#[test]
fn a_copy_that_was_overtaken_is_refused() {
    let old = pieces(&copy_at(4, CopyGuards::ALL));
    let mut lower = copy_at(6, CopyGuards::ALL);

    let outcomes: Vec<_> = old.into_iter().map(|piece| lower.take_piece(piece)).collect();

    assert_eq!(outcomes, [TakeOutcome::Waiting]);
    assert_eq!(lower.version(), ListVersion(6));
}

#[test]
fn without_its_check_an_overtaken_copy_takes_a_node_back() {
    let guards = CopyGuards { newer_only: false, ..CopyGuards::ALL };
    let old = pieces(&copy_at(4, CopyGuards::ALL));
    let mut lower = copy_at(6, guards);

    for piece in old {
        lower.take_piece(piece);
    }

    assert_eq!(lower.version(), ListVersion(4));
}

#[test]
fn edits_that_do_not_follow_are_refused() {
    let mut lower = copy_at(3, CopyGuards::ALL);
    let later = edits(&copy_at(8, CopyGuards::ALL), &copy_at(6, CopyGuards::ALL));

    let outcome = lower.take_edits(later[0].clone());

    assert_eq!(outcome, TakeOutcome::Gap);
    assert_eq!(lower.version(), ListVersion(3));
}

#[test]
fn without_their_checks_edits_that_do_not_follow_give_wrong_lists() {
    let guards = CopyGuards { next_only: false, digest: false, ..CopyGuards::ALL };
    let mut image = ListImage::default();
    step(&mut image, 1, 1);
    let mut upper = ListCopy::default();
    upper.take_image(ListVersion(1), image.clone());
    let other = SectionName::new(SectionKind::Model, "n");
    let text = Some(String::from("service = s\nreplicas = 1\nmemory = 1GiB\n"));
    let delta = ListDelta { changes: vec![SectionChange { name: other, text }] };
    image.apply(&delta);
    let second = EditStep { version: ListVersion(2), digest: image.digest(), delta };
    let third = step(&mut image, 3, 9);
    upper.take_steps(vec![second, third.clone()]);
    let mut lower = copy_at(1, guards);

    lower.take_steps(vec![third]);

    assert_eq!(lower.version(), upper.version());
    assert_ne!(lower.digest(), upper.digest());
}

#[test]
fn edits_of_another_history_are_refused() {
    let mut image = ListImage::default();
    step(&mut image, 1, 77);
    let mut upper = ListCopy::default();
    upper.take_image(ListVersion(1), image.clone());
    let foreign = EditStep { digest: base_digest(), ..step(&mut image, 2, 5) };
    let mut lower = copy_at(1, CopyGuards::ALL);

    let outcome = lower.take_steps(vec![foreign]);

    assert_eq!(outcome, TakeOutcome::Misfit);
    assert_eq!(lower.version(), ListVersion(1));
}

fn base_digest() -> lists::ImageDigest {
    lists::ImageDigest(1)
}
