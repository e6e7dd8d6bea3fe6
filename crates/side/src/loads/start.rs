//! Start of the ledger beside an engine that may still hold or perform old orders.

use std::sync::Arc;

use base::prelude::*;
use loading::{InheritedSlot, LedgerEvent};
use object_api::{
    ObjectStore, StoredObject,
    http::{ClientSettings, PlatformClient},
};
use placement::{PlacementObject, object::PLACEMENT_PREFIX};
use tokio::time;

use super::feed;
use crate::{drain::DrainStage, process::SideState};

/// Time between ticks of the ledger.
const TICK: Duration = Duration::from_millis(500);

/// Wait before the platform is asked again.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// Runs the ledger until the process ends.
pub async fn run(state: Arc<SideState>) {
    tokio::spawn(drain(Arc::clone(&state)));
    let slots = inherited_slots(&state).await;
    log::info!("loads: {} slots of earlier processes", slots.len());
    feed(&state, LedgerEvent::Inherited(slots));
    loop {
        time::sleep(TICK).await;
        feed(&state, LedgerEvent::Tick);
    }
}

async fn drain(state: Arc<SideState>) {
    state.drain.reached(DrainStage::Draining).await;
    feed(&state, LedgerEvent::Drain);
}

/// Slots on this VM that earlier processes may have used; no orders are taken before they
/// are known.
async fn inherited_slots(state: &SideState) -> Vec<InheritedSlot> {
    let Some(address) = state.settings.platform else { return Vec::new() };
    let store = PlatformClient::new(ClientSettings::new(address));
    loop {
        match store.list(PLACEMENT_PREFIX).await {
            Ok(objects) => {
                return objects.iter().filter_map(|object| inherited_slot(state, object)).collect();
            }
            Err(error) => log::warn!("loads: earlier slots cannot be read: {error}"),
        }
        time::sleep(RETRY_WAIT).await;
    }
}

fn inherited_slot(state: &SideState, stored: &StoredObject) -> Option<InheritedSlot> {
    let object = PlacementObject::decode(&stored.body)
        .inspect_err(|error| log::error!("loads: {}: {error}", stored.key))
        .ok()?;
    let slot = object.slot(&state.identity.vm)?;
    let unsettled = slot.unsettled_for(state.identity.incarnation);
    let (size, fence) = (slot.memory, slot.fence);
    Some(InheritedSlot { model: object.model, size, fence, uncertain_loads: unsettled })
}
