//! Start of the memory ledger, while the engine may still hold models or perform orders of earlier
//! side processes.

use std::sync::Arc;

use base::prelude::*;
use loading::{InheritedSlot, LedgerEvent};
use object_api::{
    ObjectStore, StoredObject,
    http::{ClientSettings, PlatformClient},
};
use placement::{PlacementObject, object::PLACEMENT_PREFIX};
use tokio::time;

use super::apply_event;
use crate::{drain::DrainStage, process::SideState};

/// Time between ticks of the ledger.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before reading the platform's objects again after an error.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Reads the slots of earlier side processes, then ticks the ledger until the process ends.
pub async fn run(state: Arc<SideState>) {
    tokio::spawn(watch_drain(Arc::clone(&state)));
    let slots = inherited_slots(&state).await;
    log::info!("loads: found {} slots of earlier side processes", slots.len());
    apply_event(&state, LedgerEvent::Inherited(slots));
    loop {
        time::sleep(TICK_INTERVAL).await;
        apply_event(&state, LedgerEvent::Tick);
    }
}

async fn watch_drain(state: Arc<SideState>) {
    state.drain.reached(DrainStage::Draining).await;
    apply_event(&state, LedgerEvent::Drain);
}

/// Reads the slots on this VM that earlier side processes may have used, and retries until the
/// platform answers. The ledger denies orders until it has these slots.
///
/// Returns no slots if the settings name no platform.
async fn inherited_slots(state: &SideState) -> Vec<InheritedSlot> {
    let Some(address) = state.settings.platform else { return Vec::new() };
    let store = PlatformClient::new(ClientSettings::new(address));
    loop {
        match store.list(PLACEMENT_PREFIX).await {
            Ok(objects) => {
                return objects.iter().filter_map(|object| inherited_slot(state, object)).collect();
            }
            Err(error) => log::warn!(
                "loads: reading the slots of earlier side processes failed; retrying: {error}"
            ),
        }
        time::sleep(RETRY_DELAY).await;
    }
}

fn inherited_slot(state: &SideState, stored: &StoredObject) -> Option<InheritedSlot> {
    let Some(model) = PlacementObject::model_of(&stored.key) else {
        log::warn!("loads: skipping {:?}, which names no model", stored.key.as_str());
        return None;
    };
    let object = PlacementObject::decode(&model, &stored.body)
        .inspect_err(|error| log::error!("loads: skipping placement {}: {error}", stored.key))
        .ok()?;
    let slot = object.slot(&state.identity.vm)?;
    let uncertain_loads = slot.unsettled_for(state.identity.incarnation);
    let (size, fence) = (slot.memory, slot.fence);
    Some(InheritedSlot { model, size, fence, uncertain_loads })
}
