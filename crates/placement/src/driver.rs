//! Performs the actions of a placement owner at the platform.

use base::prelude::*;
use object_api::{ObjectStore, VmList};

use crate::{
    object::PlacementObject,
    owner::{OwnerAction, OwnerEvent},
};

/// Performs `action` of the owner of `model` and returns the event with the answer.
///
/// Returns `None` for releases, which go to side processes, and for reports, which go to whoever
/// requested the edit.
pub async fn perform(
    store: &dyn ObjectStore,
    vms: &dyn VmList,
    model: &ModelId,
    action: &OwnerAction,
) -> Option<OwnerEvent> {
    let key = PlacementObject::key(model);
    match action {
        OwnerAction::Read => Some(OwnerEvent::ReadAnswered(store.get(&key).await)),
        OwnerAction::Write(body, condition) => {
            let answer = store.put(&key, body.clone(), *condition).await;
            Some(OwnerEvent::WriteAnswered(answer))
        }
        OwnerAction::ListVms => match vms.listing().await {
            Ok(listing) if listing.unnamed > 0 => {
                Some(OwnerEvent::VmsListedInPart(listing.names()))
            }
            Ok(listing) => Some(OwnerEvent::VmsListed(listing.names())),
            Err(_) => Some(OwnerEvent::ListFailed),
        },
        OwnerAction::OrderRelease(..) | OwnerAction::Report(..) => None,
    }
}
