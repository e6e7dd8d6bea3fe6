//! Accepting an edit of the lists.

use base::{clock, prelude::*};
use bytes::Bytes;
use log::{info, warn};
use platform::{ObjectKey, ObjectStore, StoreError, WriteCondition};
use rand::Rng;
use snafu::ResultExt;

use crate::{
    check::check_lists,
    image::{ImageDigest, ListDelta, ListImage, SectionChange},
    store::{
        FaultyListsSnafu, ListError, Result, StoreCallSnafu,
        history::edits_between,
        objects::{
            EditRecord, HeadObject, INLINE_RECORD_BYTES, ListTexts, StoredRecord, TextPart,
            edit_name, encode_object, head_key, part_name, record_part_name, split_parts,
        },
        read::{LoadedLists, read_head, read_lists},
    },
};

/// Times a lost answer is looked up before the outcome is called unknown.
const LOOKUP_ATTEMPTS: u32 = 8;
/// Wait before the first repeated look-up; doubles each time.
const LOOKUP_DELAY: Duration = Duration::from_millis(100);

/// An edit to be made.
#[derive(Debug, Clone)]
pub struct EditOrder {
    /// The new texts.
    pub texts: ListTexts,
    /// Version at which the lists were read; zero if there were none.
    pub read_at: ListVersion,
    /// Who makes the edit.
    pub operator: OperatorName,
    /// Why, in the operator's words.
    pub note: String,
}

/// What became of an edit.
#[derive(Debug)]
pub enum EditOutcome {
    /// The edit was accepted.
    Accepted(EditRecord),
    /// The texts say what is in force already; nothing was written.
    Unchanged(ListVersion),
    /// Another edit came first; nothing of this one is in force.
    Raced {
        /// Lists in force now.
        current: Box<LoadedLists>,
        /// What others changed since the lists were read.
        theirs: Vec<EditRecord>,
        /// What this edit would have changed.
        ours: ListDelta,
    },
    /// The answer was lost and the store could not be asked since; `account` tells later whether
    /// the record of this name was accepted.
    Unknown {
        /// Name of the edit's record.
        record: String,
    },
}

/// An edit whose objects are ready to be written.
#[derive(Debug)]
struct StagedEdit {
    record_name: String,
    record: EditRecord,
    stored: StoredRecord,
    head: HeadObject,
    parts: Vec<StagedPart>,
}

#[derive(Debug)]
struct StagedPart {
    name: String,
    body: Bytes,
}

/// Makes an edit if the lists still are at the version at which they were read.
///
/// # Errors
///
/// Fails with nothing in force if the texts have faults or the store refuses a call before the
/// head is written.
pub async fn apply_edit(store: &dyn ObjectStore, order: &EditOrder) -> Result<EditOutcome> {
    let image = check_lists(&order.texts.plans, &order.texts.rights).context(FaultyListsSnafu)?;
    let base = read_lists(store).await?;
    if base.head.version != order.read_at {
        let ours = ours_since(store, &base, order, &image).await?;
        return raced(store, base, order.read_at, ours).await;
    }
    if base.head_version.is_some() && base.texts == order.texts {
        return Ok(EditOutcome::Unchanged(base.head.version));
    }
    let edit = stage_edit(&base, order, &image)?;
    write_staged(store, &edit).await?;
    accept_edit(store, base, edit, order.read_at).await
}

async fn accept_edit(
    store: &dyn ObjectStore,
    base: LoadedLists,
    edit: StagedEdit,
    read_at: ListVersion,
) -> Result<EditOutcome> {
    let condition = match base.head_version {
        Some(version) => WriteCondition::Version(version),
        None => WriteCondition::Absent,
    };
    let key = head_key();
    let body = encode_object(&key, &edit.head)?;
    match store.put(&key, body, condition).await {
        Ok(_) => Ok(accepted(store, &base, edit).await),
        Err(StoreError::ConditionFailed) => refused(store, edit, read_at).await,
        Err(error) if error.is_uncertain() => {
            warn!("lists: the answer to version {} was lost", edit.head.version);
            match find_edit(store, &edit).await {
                EditFate::InForce => Ok(accepted(store, &base, edit).await),
                EditFate::Refused => refused(store, edit, read_at).await,
                EditFate::NotWritten => {
                    remove_staged(store, &edit).await;
                    Err(ListError::StoreCall { key, source: StoreError::Unavailable })
                }
                EditFate::Unknown => Ok(EditOutcome::Unknown { record: edit.record_name }),
            }
        }
        Err(source) => {
            remove_staged(store, &edit).await;
            Err(ListError::StoreCall { key, source })
        }
    }
}

/// Where a write with a lost answer ended.
enum EditFate {
    InForce,
    Refused,
    NotWritten,
    Unknown,
}

/// Reads back whether `edit` is part of the chain of accepted edits.
///
/// An unchanged head proves nothing as long as the lost write may still arrive; the look-up
/// therefore bars it by rewriting the head in place, which changes its object version.
async fn find_edit(store: &dyn ObjectStore, edit: &StagedEdit) -> EditFate {
    let mut delay = LOOKUP_DELAY;
    for _ in 0..LOOKUP_ATTEMPTS {
        match look_up(store, edit).await {
            Ok(EditFate::Unknown) | Err(_) => {}
            Ok(fate) => return fate,
        }
        tokio::time::sleep(delay).await;
        delay *= 2;
    }
    EditFate::Unknown
}

async fn look_up(store: &dyn ObjectStore, edit: &StagedEdit) -> Result<EditFate> {
    let Some((object_version, head)) = read_head(store).await? else {
        return Ok(EditFate::Unknown);
    };
    if head.edit == edit.record_name {
        return Ok(EditFate::InForce);
    }
    if head.version < edit.head.version {
        let key = head_key();
        let body = encode_object(&key, &head)?;
        let condition = WriteCondition::Version(object_version);
        store.put(&key, body, condition).await.context(StoreCallSnafu { key })?;
        return Ok(EditFate::NotWritten);
    }
    let before = ListVersion(edit.head.version.0 - 1);
    let edits = edits_between(store, &head, before).await?;
    let winner = edits.first().map(|record| record.version);
    let ours = edits.first().is_some_and(|record| record.nonce == edit.record.nonce);
    match (winner == Some(edit.head.version), ours) {
        (true, true) => Ok(EditFate::InForce),
        (true, false) => Ok(EditFate::Refused),
        (false, _) => Ok(EditFate::Unknown),
    }
}

async fn accepted(store: &dyn ObjectStore, base: &LoadedLists, edit: StagedEdit) -> EditOutcome {
    info!("lists: version {} accepted", edit.head.version);
    let kept = |name: &&String| edit.head.plans.contains(name) || edit.head.rights.contains(name);
    for name in base.head.plans.iter().chain(&base.head.rights).filter(|name| !kept(name)) {
        remove_object(store, name).await;
    }
    EditOutcome::Accepted(edit.record)
}

async fn refused(
    store: &dyn ObjectStore,
    edit: StagedEdit,
    read_at: ListVersion,
) -> Result<EditOutcome> {
    remove_staged(store, &edit).await;
    let current = read_lists(store).await?;
    raced(store, current, read_at, edit.record.delta).await
}

async fn raced(
    store: &dyn ObjectStore,
    current: LoadedLists,
    read_at: ListVersion,
    ours: ListDelta,
) -> Result<EditOutcome> {
    let theirs = edits_between(store, &current.head, read_at).await?;
    Ok(EditOutcome::Raced { current: Box::new(current), theirs, ours })
}

/// What the refused order changes against the lists it was read from.
async fn ours_since(
    store: &dyn ObjectStore,
    current: &LoadedLists,
    order: &EditOrder,
    image: &ListImage,
) -> Result<ListDelta> {
    let mut base = current.image.clone();
    for edit in edits_between(store, &current.head, order.read_at).await?.iter().rev() {
        base.apply(&edit.former);
    }
    Ok(base.delta_to(image))
}

fn stage_edit(base: &LoadedLists, order: &EditOrder, image: &ListImage) -> Result<StagedEdit> {
    let version = base.head.version.next();
    let nonce = rand::rng().next_u64();
    let record_name = edit_name(version, nonce);
    let delta = base.image.delta_to(image);
    let record = EditRecord {
        version,
        nonce,
        digest: image.digest(),
        previous: base.head.edit.clone(),
        operator: order.operator.clone(),
        note: order.note.clone(),
        sent_millis: clock::since_epoch().as_millis() as u64,
        former: former_texts(&base.image, &delta),
        delta,
    };
    let mut stage = PartStage { version, nonce, known: &base.parts, parts: Vec::new() };
    let plans = stage.names(&order.texts.plans);
    let rights = stage.names(&order.texts.rights);
    let digest: ImageDigest = image.digest();
    let head = HeadObject { version, digest, plans, rights, edit: record_name.clone() };
    let mut parts = stage.parts;
    let stored = stage_record(&record, &mut parts)?;
    Ok(StagedEdit { record_name, record, stored, head, parts })
}

/// A record above [`INLINE_RECORD_BYTES`] is split over objects of its own.
fn stage_record(record: &EditRecord, parts: &mut Vec<StagedPart>) -> Result<StoredRecord> {
    let key = ObjectKey::new(edit_name(record.version, record.nonce));
    let body = encode_object(&key, record)?;
    if body.len() <= INLINE_RECORD_BYTES {
        return Ok(StoredRecord::Inline(Box::new(record.clone())));
    }
    let mut names = Vec::new();
    for (index, chunk) in body.chunks(INLINE_RECORD_BYTES).enumerate() {
        let name = record_part_name(record.version, record.nonce, index);
        parts.push(StagedPart { name: name.clone(), body: Bytes::copy_from_slice(chunk) });
        names.push(name);
    }
    Ok(StoredRecord::Parts(names))
}

fn former_texts(image: &ListImage, delta: &ListDelta) -> ListDelta {
    let former = delta.changes.iter().map(|change| SectionChange {
        name: change.name.clone(),
        text: image.section(&change.name).cloned(),
    });
    ListDelta { changes: former.collect() }
}

/// Names the parts of a text; parts that are in the store already keep their names.
struct PartStage<'a> {
    version: ListVersion,
    nonce: u64,
    known: &'a [TextPart],
    parts: Vec<StagedPart>,
}

impl PartStage<'_> {
    fn names(&mut self, text: &str) -> Vec<String> {
        let mut names = Vec::new();
        for part in split_parts(text) {
            let same = self.known.iter().find(|known| known.text == part);
            match same {
                Some(known) => names.push(known.name.clone()),
                None => names.push(self.add(part)),
            }
        }
        names
    }

    fn add(&mut self, part: &str) -> String {
        let name = part_name(self.version, self.nonce, self.parts.len());
        let body = Bytes::copy_from_slice(part.as_bytes());
        self.parts.push(StagedPart { name: name.clone(), body });
        name
    }
}

async fn write_staged(store: &dyn ObjectStore, edit: &StagedEdit) -> Result<()> {
    let key = ObjectKey::new(&edit.record_name);
    let record =
        StagedPart { name: edit.record_name.clone(), body: encode_object(&key, &edit.stored)? };
    for part in edit.parts.iter().chain([&record]) {
        if let Err(error) = write_once(store, part).await {
            remove_staged(store, edit).await;
            return Err(error);
        }
    }
    Ok(())
}

/// Creates an object under a name used by nobody else; a repeat after a lost answer is harmless.
async fn write_once(store: &dyn ObjectStore, part: &StagedPart) -> Result<()> {
    let key = ObjectKey::new(&part.name);
    let first = store.put(&key, part.body.clone(), WriteCondition::Absent).await;
    let result = match first {
        Err(error) if error.is_uncertain() => {
            match store.put(&key, part.body.clone(), WriteCondition::Absent).await {
                Err(StoreError::ConditionFailed) => return Ok(()),
                second => second,
            }
        }
        first => first,
    };
    result.map(drop).context(StoreCallSnafu { key })
}

async fn remove_staged(store: &dyn ObjectStore, edit: &StagedEdit) {
    for part in &edit.parts {
        remove_object(store, &part.name).await;
    }
    remove_object(store, &edit.record_name).await;
}

/// Deletes an object that nothing names any longer; one that stays behind only takes space.
async fn remove_object(store: &dyn ObjectStore, name: &str) {
    let key = ObjectKey::new(name);
    let Ok(Some(object)) = store.get(&key).await else { return };
    if let Err(error) = store.delete(&key, object.version).await {
        warn!("lists: {key} stays behind: {error}");
    }
}
