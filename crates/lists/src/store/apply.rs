//! Applying an edit of the lists.

mod stage;

use base::prelude::*;
use log::{info, warn};
use object_api::{ObjectStore, StoreError, WriteCondition};
use snafu::ResultExt;

use self::stage::{StagedEdit, remove_object, remove_staged, stage_edit, write_staged};
use crate::{
    check::check_lists,
    image::{ListDelta, ListImage},
    store::{
        FaultyListsSnafu, ListError, Result, StoreCallSnafu,
        history::edits_between,
        objects::{EditRecord, ListTexts, encode_object, head_key},
        read::{LoadedLists, read_head, read_lists},
    },
};

/// Maximum number of look-ups after a lost answer; then the outcome is reported as unknown.
const LOOKUP_ATTEMPTS: u32 = 8;
/// Delay after the first look-up; doubles each time.
const LOOKUP_DELAY: Duration = Duration::from_millis(100);

/// An edit to apply.
#[derive(Debug, Clone)]
pub struct EditOrder {
    /// New texts of both lists.
    pub texts: ListTexts,
    /// Version on which the edit is based; zero if there were no lists.
    pub read_at: ListVersion,
    /// Operator who makes the edit.
    pub operator: OperatorName,
    /// Reason for the edit, as the operator wrote it.
    pub note: String,
}

/// Result of an edit.
#[derive(Debug)]
pub enum EditOutcome {
    /// The edit was accepted.
    Accepted(EditRecord),
    /// The texts equal the current ones at this version; nothing was written.
    Unchanged(ListVersion),
    /// Another edit was accepted first; this one is refused as a whole.
    Conflict {
        /// Lists in force, which include the other edit.
        current: Box<LoadedLists>,
        /// Edits accepted since the version on which this edit is based, oldest first.
        theirs: Vec<EditRecord>,
        /// Changes that this edit would have made.
        ours: ListDelta,
    },
    /// The answer was lost and no look-up found the outcome; the `account` command shows later
    /// whether the record was accepted.
    Unknown {
        /// Object name of the edit's record.
        record: String,
    },
}

/// Applies an edit if the lists still are at the version on which it is based.
///
/// # Errors
///
/// Fails without any effect on the lists if the texts have faults or if the store fails a call
/// before the head is written.
pub async fn apply_edit(store: &dyn ObjectStore, order: &EditOrder) -> Result<EditOutcome> {
    let image = check_lists(&order.texts.plans, &order.texts.rights).context(FaultyListsSnafu)?;
    let base = read_lists(store).await?;
    if base.head.version != order.read_at {
        let ours = own_changes(store, &base, order, &image).await?;
        return conflict(store, base, order.read_at, ours).await;
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
            warn!(
                "lists: the answer to writing version {} was lost, looking it up",
                edit.head.version
            );
            match resolve_outcome(store, &edit).await {
                LookupOutcome::Accepted => Ok(accepted(store, &base, edit).await),
                LookupOutcome::Refused => refused(store, edit, read_at).await,
                LookupOutcome::NotWritten => {
                    remove_staged(store, &edit).await;
                    Err(ListError::StoreCall { key, source: StoreError::Unavailable })
                }
                LookupOutcome::Unknown => Ok(EditOutcome::Unknown { record: edit.record_name }),
            }
        }
        Err(source) => {
            remove_staged(store, &edit).await;
            Err(ListError::StoreCall { key, source })
        }
    }
}

/// Outcome of a write whose answer was lost.
enum LookupOutcome {
    Accepted,
    Refused,
    NotWritten,
    Unknown,
}

/// Looks up whether `edit` is part of the chain of accepted edits.
///
/// An older head proves nothing while the lost write may still arrive. The look-up therefore
/// rewrites such a head unchanged, which changes its object version, so that the conditional write
/// of the edit must fail.
async fn resolve_outcome(store: &dyn ObjectStore, edit: &StagedEdit) -> LookupOutcome {
    let mut delay = LOOKUP_DELAY;
    for _ in 0..LOOKUP_ATTEMPTS {
        match look_up_edit(store, edit).await {
            Ok(LookupOutcome::Unknown) | Err(_) => {}
            Ok(outcome) => return outcome,
        }
        tokio::time::sleep(delay).await;
        delay *= 2;
    }
    LookupOutcome::Unknown
}

async fn look_up_edit(store: &dyn ObjectStore, edit: &StagedEdit) -> Result<LookupOutcome> {
    let Some((object_version, head)) = read_head(store).await? else {
        return Ok(LookupOutcome::Unknown);
    };
    if head.edit == edit.record_name {
        return Ok(LookupOutcome::Accepted);
    }
    if head.version < edit.head.version {
        let key = head_key();
        let body = encode_object(&key, &head)?;
        let condition = WriteCondition::Version(object_version);
        store.put(&key, body, condition).await.context(StoreCallSnafu { key })?;
        return Ok(LookupOutcome::NotWritten);
    }
    let before = ListVersion(edit.head.version.0 - 1);
    let edits = edits_between(store, &head, before).await?;
    let winner = edits.first().map(|record| record.version);
    let ours = edits.first().is_some_and(|record| record.nonce == edit.record.nonce);
    match (winner == Some(edit.head.version), ours) {
        (true, true) => Ok(LookupOutcome::Accepted),
        (true, false) => Ok(LookupOutcome::Refused),
        (false, _) => Ok(LookupOutcome::Unknown),
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
    conflict(store, current, read_at, edit.record.delta).await
}

async fn conflict(
    store: &dyn ObjectStore,
    current: LoadedLists,
    read_at: ListVersion,
    ours: ListDelta,
) -> Result<EditOutcome> {
    let theirs = edits_between(store, &current.head, read_at).await?;
    Ok(EditOutcome::Conflict { current: Box::new(current), theirs, ours })
}

/// The changes of a refused edit against the lists on which it is based.
async fn own_changes(
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
