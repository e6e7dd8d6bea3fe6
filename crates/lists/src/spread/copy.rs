//! The copy of the lists on one node: updates from its parent or the store, and answers to its
//! children.

use std::collections::VecDeque;

use base::{ini::FileFaults, prelude::*};
use log::{info, warn};

use crate::{
    image::{ImageDigest, ListDelta, ListImage, SectionChange},
    set::ListSet,
    spread::message::{
        CopyMessage, EditsMessage, PullMessage, SpreadBody, StepMessage, decode_changes,
        encode_changes,
    },
};

/// Edits kept for children; a child further behind gets a full copy.
const KEPT_STEPS: usize = 128;
/// Edits sent in one message.
const STEPS_PER_MESSAGE: usize = 32;
/// Size of a piece of a full copy above which the next piece begins, in bytes.
const PIECE_BYTES: usize = 128 << 10;
/// Maximum number of pieces of a full copy; a larger copy is ignored.
const MAX_PIECES: u32 = 4_096;

/// Checks on incoming lists; tests switch some off to show that the lists go wrong without them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyChecks {
    /// Refuse versions that are not newer than the one held; otherwise a late message reverts the
    /// node.
    pub newer_only: bool,
    /// Refuse edits that do not follow the version held; otherwise the edits between are lost.
    pub next_only: bool,
    /// Refuse lists whose checksum differs from the one in the message.
    pub digest: bool,
}

impl CopyChecks {
    /// All checks enabled.
    pub const ALL: CopyChecks = CopyChecks { newer_only: true, next_only: true, digest: true };
}

/// One edit, from one version to the next.
#[derive(Debug, Clone)]
pub struct EditStep {
    /// Version after the edit.
    pub version: ListVersion,
    /// Checksum of the image after the edit.
    pub digest: ImageDigest,
    /// Sections that the edit changes.
    pub delta: ListDelta,
}

/// The pieces of a full copy received so far.
#[derive(Debug)]
struct CopyAssembly {
    version: ListVersion,
    digest: ImageDigest,
    count: u32,
    next: u32,
    delta: ListDelta,
}

/// Result of applying lists from another node or from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The copy has a newer version.
    Applied,
    /// Nothing was applied: the lists are not newer, complete lists have faults, or the pieces of a
    /// full copy are incomplete, out of order or too many.
    Unchanged,
    /// The edits do not follow the version held; the ones between are needed.
    Gap,
    /// The edits or pieces are malformed or do not lead to the stated checksum; a full copy is
    /// needed.
    Mismatch,
}

/// The copy of the lists on one node.
#[derive(Debug)]
pub struct ListCopy {
    set: Option<ListSet>,
    version: ListVersion,
    image: ListImage,
    steps: VecDeque<EditStep>,
    assembly: Option<CopyAssembly>,
    checks: CopyChecks,
}

impl Default for ListCopy {
    fn default() -> Self {
        Self::with_checks(CopyChecks::ALL)
    }
}

impl ListCopy {
    /// Creates an empty copy with the given checks; only tests switch any off.
    pub fn with_checks(checks: CopyChecks) -> Self {
        Self {
            set: None,
            version: ListVersion(0),
            image: ListImage::default(),
            steps: VecDeque::new(),
            assembly: None,
            checks,
        }
    }

    /// Version held; zero if none.
    pub fn version(&self) -> ListVersion {
        self.version
    }

    /// Checksum of the lists held.
    pub fn digest(&self) -> ImageDigest {
        self.image.digest()
    }

    /// The lists held; `None` before the first version.
    pub fn set(&self) -> Option<&ListSet> {
        self.set.as_ref()
    }

    /// The request to a parent for newer lists.
    pub fn pull_message(&self) -> PullMessage {
        PullMessage { version: self.version.0, digest: self.digest().0 }
    }

    /// Applies edits that follow the version held; those already applied are skipped.
    pub fn apply_steps(&mut self, steps: Vec<EditStep>) -> ApplyOutcome {
        let mut outcome = ApplyOutcome::Unchanged;
        for step in steps {
            if self.checks.newer_only && step.version <= self.version {
                continue;
            }
            let follows = self.set.is_some() && step.version == self.version.next();
            if self.checks.next_only && !follows {
                return ApplyOutcome::Gap;
            }
            if !self.apply_step(step) {
                return ApplyOutcome::Mismatch;
            }
            outcome = ApplyOutcome::Applied;
        }
        outcome
    }

    /// Decodes and applies edits sent by a parent.
    pub fn apply_edits(&mut self, message: EditsMessage) -> ApplyOutcome {
        let mut steps = Vec::with_capacity(message.steps.len());
        for step in message.steps {
            let Ok(delta) = decode_changes(step.changes) else { return ApplyOutcome::Mismatch };
            let (version, digest) = (ListVersion(step.version), ImageDigest(step.digest));
            steps.push(EditStep { version, digest, delta });
        }
        self.apply_steps(steps)
    }

    /// Adds a piece of a full copy and applies the copy after its last piece.
    ///
    /// The pieces of one copy must arrive in order; a piece out of order discards the assembly.
    pub fn apply_piece(&mut self, piece: CopyMessage) -> ApplyOutcome {
        let version = ListVersion(piece.version);
        if self.checks.newer_only && version <= self.version || piece.count > MAX_PIECES {
            return ApplyOutcome::Unchanged;
        }
        let Ok(delta) = decode_changes(piece.changes) else { return ApplyOutcome::Mismatch };
        if piece.index == 0 {
            let digest = ImageDigest(piece.digest);
            let count = piece.count;
            let delta = ListDelta::default();
            self.assembly = Some(CopyAssembly { version, digest, count, next: 0, delta });
        }
        let Some(assembly) = &mut self.assembly else { return ApplyOutcome::Unchanged };
        if assembly.version != version || assembly.next != piece.index {
            self.assembly = None;
            return ApplyOutcome::Unchanged;
        }
        assembly.delta.changes.extend(delta.changes);
        assembly.next += 1;
        if assembly.next < assembly.count {
            return ApplyOutcome::Unchanged;
        }
        let Some(assembly) = self.assembly.take() else { return ApplyOutcome::Unchanged };
        let mut image = ListImage::default();
        image.apply(&assembly.delta);
        if self.checks.digest && image.digest() != assembly.digest {
            return ApplyOutcome::Mismatch;
        }
        self.apply_image(version, image)
    }

    /// Replaces the copy by complete lists, as read from the store.
    pub fn apply_image(&mut self, version: ListVersion, image: ListImage) -> ApplyOutcome {
        if self.checks.newer_only && version <= self.version {
            return ApplyOutcome::Unchanged;
        }
        match ListSet::from_image(version, &image) {
            Ok(set) => {
                self.image = image;
                self.steps.clear();
                self.install(set);
                ApplyOutcome::Applied
            }
            Err(faults) => {
                log_faults(version, &faults);
                ApplyOutcome::Unchanged
            }
        }
    }

    /// Messages that bring a child to this node's version: the edits since its version if they are
    /// kept and its checksum matches, otherwise a full copy; none if the child is up to date.
    pub fn answer_pull(&self, pull: &PullMessage) -> Vec<SpreadBody> {
        if self.set.is_none() || pull.version >= self.version.0 {
            return Vec::new();
        }
        match self.steps_after(pull) {
            Some(steps) => steps.map(SpreadBody::Edits).collect(),
            None => self.pieces().into_iter().map(SpreadBody::Copy).collect(),
        }
    }

    fn steps_after(&self, pull: &PullMessage) -> Option<impl Iterator<Item = EditsMessage>> {
        let has = ListVersion(pull.version);
        let start = self.steps.iter().position(|step| step.version == has)?;
        if self.steps[start].digest.0 != pull.digest {
            return None;
        }
        let missing: Vec<_> = self.steps.range(start + 1..).map(step_message).collect();
        let chunks = missing.chunks(STEPS_PER_MESSAGE).map(<[_]>::to_vec).collect::<Vec<_>>();
        Some(chunks.into_iter().map(|steps| EditsMessage { steps }))
    }

    fn pieces(&self) -> Vec<CopyMessage> {
        let mut pieces: Vec<Vec<SectionChange>> = vec![Vec::new()];
        let mut bytes = 0;
        for (name, text) in self.image.sections() {
            if bytes > PIECE_BYTES {
                pieces.push(Vec::new());
                bytes = 0;
            }
            bytes += name.name.len() + text.len();
            let change = SectionChange { name: name.clone(), text: Some(text.clone()) };
            pieces.last_mut().expect("there is a first piece").push(change);
        }
        let count = pieces.len() as u32;
        let numbered = pieces.into_iter().zip(0..);
        let message = |(changes, index): (Vec<SectionChange>, u32)| CopyMessage {
            version: self.version.0,
            digest: self.digest().0,
            index,
            count,
            changes: encode_changes(&ListDelta { changes }),
        };
        numbered.map(message).collect()
    }

    fn apply_step(&mut self, step: EditStep) -> bool {
        if self.checks.digest && self.image.digest_after(&step.delta) != step.digest {
            warn!("lists: the checksum of edit {} differs; a full copy is needed", step.version);
            return false;
        }
        let base = self.set.clone().unwrap_or_default();
        match base.updated(step.version, &step.delta) {
            Ok(set) => {
                self.image.apply(&step.delta);
                self.push_step(step);
                self.install(set);
                true
            }
            Err(faults) => {
                log_faults(step.version, &faults);
                false
            }
        }
    }

    fn push_step(&mut self, step: EditStep) {
        self.steps.push_back(step);
        if self.steps.len() > KEPT_STEPS {
            self.steps.pop_front();
        }
    }

    fn install(&mut self, set: ListSet) {
        self.version = set.version();
        self.set = Some(set);
        // After complete lists, an empty step stands for their version, so that children at that
        // version can get later edits.
        if self.steps.is_empty() {
            let digest = self.digest();
            let delta = ListDelta::default();
            self.steps.push_back(EditStep { version: self.version, digest, delta });
        }
        info!("lists: version {} installed", self.version);
    }
}

fn step_message(step: &EditStep) -> StepMessage {
    StepMessage {
        version: step.version.0,
        digest: step.digest.0,
        changes: encode_changes(&step.delta),
    }
}

fn log_faults(version: ListVersion, faults: &FileFaults) {
    warn!("lists: version {version} is not applied, its sections have faults: {faults}");
}
