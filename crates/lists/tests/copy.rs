//! Tests of a node's copy of the lists, and of each check on incoming lists.

use base::prelude::*;
use lists::{
    ListDelta, ListImage, SectionKind, SectionName,
    image::SectionChange,
    spread::{
        CopyChecks, ListCopy, SpreadBody,
        copy::{ApplyOutcome, EditStep},
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

/// Creates a copy at version `to` that was built edit by edit from version 1.
fn copy_at(to: u64, checks: CopyChecks) -> ListCopy {
    let mut copy = ListCopy::with_checks(checks);
    let mut image = ListImage::default();
    step(&mut image, 1, 1);
    copy.apply_image(ListVersion(1), image.clone());
    let steps = (2..=to).map(|version| step(&mut image, version, version)).collect();
    copy.apply_steps(steps);
    assert_eq!(copy.version(), ListVersion(to));
    copy
}

fn pieces(copy: &ListCopy) -> Vec<CopyMessage> {
    let bodies = copy.answer_pull(&PullMessage { version: 0, digest: 0 });
    let piece = |body| match body {
        SpreadBody::Copy(piece) => piece,
        other => panic!("{other:?}"),
    };
    bodies.into_iter().map(piece).collect()
}

fn edits(parent: &ListCopy, child: &ListCopy) -> Vec<EditsMessage> {
    let edits = |body| match body {
        SpreadBody::Edits(edits) => edits,
        other => panic!("{other:?}"),
    };
    parent.answer_pull(&child.pull_message()).into_iter().map(edits).collect()
}

#[test]
fn edits_bring_child_up_to_date() {
    let parent = copy_at(40, CopyChecks::ALL);
    let mut child = copy_at(3, CopyChecks::ALL);

    for message in edits(&parent, &child) {
        assert_eq!(child.apply_edits(message), ApplyOutcome::Applied);
    }

    assert_eq!((child.version(), child.digest()), (parent.version(), parent.digest()));
}

#[test]
fn far_behind_child_gets_full_copy() {
    let parent = copy_at(400, CopyChecks::ALL);
    let mut child = copy_at(3, CopyChecks::ALL);

    let bodies = parent.answer_pull(&child.pull_message());
    for body in bodies {
        let SpreadBody::Copy(piece) = body else { panic!("{body:?}") };
        child.apply_piece(piece);
    }

    assert_eq!((child.version(), child.digest()), (parent.version(), parent.digest()));
}

#[test]
fn full_copy_arrives_in_pieces() {
    let mut image = ListImage::default();
    step(&mut image, 1, 1);
    for index in 0..9_400 {
        let name = SectionName::new(SectionKind::Adapter, format!("a-{index}"));
        let text = Some(String::from("base = m\nmemory = 100MiB\n"));
        image.apply(&ListDelta { changes: vec![SectionChange { name, text }] });
    }
    let mut parent = ListCopy::default();
    parent.apply_image(ListVersion(7), image);
    let mut child = ListCopy::default();

    let pieces = pieces(&parent);
    let count = pieces.len();
    let outcomes: Vec<_> = pieces.into_iter().map(|piece| child.apply_piece(piece)).collect();

    assert!(count > 1);
    assert_eq!(outcomes.last(), Some(&ApplyOutcome::Applied));
    assert_eq!(child.digest(), parent.digest());
}

#[test]
fn outdated_copy_is_refused() {
    let old = pieces(&copy_at(4, CopyChecks::ALL));
    let mut child = copy_at(6, CopyChecks::ALL);

    let outcomes: Vec<_> = old.into_iter().map(|piece| child.apply_piece(piece)).collect();

    assert_eq!(outcomes, [ApplyOutcome::Unchanged]);
    assert_eq!(child.version(), ListVersion(6));
}

#[test]
fn outdated_copy_reverts_node_without_check() {
    let checks = CopyChecks { newer_only: false, ..CopyChecks::ALL };
    let old = pieces(&copy_at(4, CopyChecks::ALL));
    let mut child = copy_at(6, checks);

    for piece in old {
        child.apply_piece(piece);
    }

    assert_eq!(child.version(), ListVersion(4));
}

#[test]
fn edits_after_gap_are_refused() {
    let mut child = copy_at(3, CopyChecks::ALL);
    let later = edits(&copy_at(8, CopyChecks::ALL), &copy_at(6, CopyChecks::ALL));

    let outcome = child.apply_edits(later[0].clone());

    assert_eq!(outcome, ApplyOutcome::Gap);
    assert_eq!(child.version(), ListVersion(3));
}

#[test]
fn edits_after_gap_corrupt_lists_without_checks() {
    let checks = CopyChecks { next_only: false, digest: false, ..CopyChecks::ALL };
    let mut image = ListImage::default();
    step(&mut image, 1, 1);
    let mut parent = ListCopy::default();
    parent.apply_image(ListVersion(1), image.clone());
    let other = SectionName::new(SectionKind::Model, "n");
    let text = Some(String::from("service = s\nreplicas = 1\nmemory = 1GiB\n"));
    let delta = ListDelta { changes: vec![SectionChange { name: other, text }] };
    image.apply(&delta);
    let second = EditStep { version: ListVersion(2), digest: image.digest(), delta };
    let third = step(&mut image, 3, 9);
    parent.apply_steps(vec![second, third.clone()]);
    let mut child = copy_at(1, checks);

    child.apply_steps(vec![third]);

    assert_eq!(child.version(), parent.version());
    assert_ne!(child.digest(), parent.digest());
}

#[test]
fn edit_with_wrong_checksum_is_refused() {
    let mut image = ListImage::default();
    step(&mut image, 1, 77);
    let mut parent = ListCopy::default();
    parent.apply_image(ListVersion(1), image.clone());
    let edit = EditStep { digest: wrong_digest(), ..step(&mut image, 2, 5) };
    let mut child = copy_at(1, CopyChecks::ALL);

    let outcome = child.apply_steps(vec![edit]);

    assert_eq!(outcome, ApplyOutcome::Mismatch);
    assert_eq!(child.version(), ListVersion(1));
}

fn wrong_digest() -> lists::ImageDigest {
    lists::ImageDigest(1)
}
