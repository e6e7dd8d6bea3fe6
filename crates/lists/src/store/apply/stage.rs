//! Preparation of an edit: writes its parts and its record before the head refers to them.

use base::{clock, prelude::*};
use bytes::Bytes;
use log::warn;
use object_api::{ObjectKey, ObjectStore, StoreError, WriteCondition};
use rand::Rng;
use snafu::ResultExt;

use super::EditOrder;
use crate::{
    image::{ImageDigest, ListDelta, ListImage, SectionChange},
    store::{
        Result, StoreCallSnafu,
        objects::{
            EditRecord, HeadObject, INLINE_RECORD_BYTES, StoredRecord, TextPart, edit_name,
            encode_object, part_name, record_part_name, split_parts,
        },
        read::LoadedLists,
    },
};

/// An edit whose objects are ready to be written.
#[derive(Debug)]
pub(super) struct StagedEdit {
    pub(super) record_name: String,
    pub(super) record: EditRecord,
    pub(super) stored: StoredRecord,
    pub(super) head: HeadObject,
    pub(super) parts: Vec<StagedPart>,
}

#[derive(Debug)]
pub(super) struct StagedPart {
    pub(super) name: String,
    pub(super) body: Bytes,
}

pub(super) fn stage_edit(
    base: &LoadedLists,
    order: &EditOrder,
    image: &ListImage,
) -> Result<StagedEdit> {
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

/// Splits a record above [`INLINE_RECORD_BYTES`] into `parts`.
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

/// Assigns object names to the parts of a text; parts that are stored already are reused.
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

pub(super) async fn write_staged(store: &dyn ObjectStore, edit: &StagedEdit) -> Result<()> {
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

/// Creates an object under a unique name; a failed condition on the retry after a lost answer means
/// that the first write succeeded.
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

pub(super) async fn remove_staged(store: &dyn ObjectStore, edit: &StagedEdit) {
    for part in &edit.parts {
        remove_object(store, &part.name).await;
    }
    remove_object(store, &edit.record_name).await;
}

/// Deletes an object that nothing refers to; a failure only leaves it in the store.
pub(super) async fn remove_object(store: &dyn ObjectStore, name: &str) {
    let key = ObjectKey::new(name);
    let Ok(Some(object)) = store.get(&key).await else { return };
    if let Err(error) = store.delete(&key, object.version).await {
        warn!("lists: deleting the unused object {key} failed, it is left in the store: {error}");
    }
}
