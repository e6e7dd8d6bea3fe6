//! Slots of models in the Object API.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use lists::ModelEntry;
use platform::{ObjectKey, ObjectStore, StoredObject, WriteCondition};
use routing::rendezvous::{OwnerCount, OwnerKey, OwnerRanking};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::OwnerEvent;
use crate::{fleet::FleetView, peers::PeerPool};

/// A standing permission to hold a model on one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedSlot {
    /// VM of the backend server.
    pub vm: VmId,
    /// Life of its side process.
    pub incarnation: ProcessIncarnation,
    /// Rises with every change of the slot.
    pub fencing: FencingNumber,
}

/// The object `placement/<model>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct PlacementObject {
    decided: u32,
    slots: Vec<PlacedSlot>,
}

/// Reads and writes placements in tasks of their own.
pub struct Placing {
    store: Arc<dyn ObjectStore>,
    events: mpsc::Sender<OwnerEvent>,
    peers: Arc<PeerPool>,
}

impl Placing {
    /// Placements kept in `store`; results go to `events`.
    pub fn new(
        store: Arc<dyn ObjectStore>,
        events: mpsc::Sender<OwnerEvent>,
        peers: Arc<PeerPool>,
    ) -> Self {
        Self { store, events, peers }
    }

    /// Reads the placement of a model and fills slots that are free.
    pub fn start(&self, entry: &ModelEntry, fleet: &Arc<FleetView>) {
        let task = PlaceTask {
            store: Arc::clone(&self.store),
            peers: Arc::clone(&self.peers),
            fleet: Arc::clone(fleet),
            entry: entry.clone(),
        };
        let events = self.events.clone();
        tokio::spawn(async move {
            let slots = task.place().await;
            let model = task.entry.id.clone();
            let _ = events.send(OwnerEvent::Placed { model, slots }).await;
        });
    }
}

struct PlaceTask {
    store: Arc<dyn ObjectStore>,
    peers: Arc<PeerPool>,
    fleet: Arc<FleetView>,
    entry: ModelEntry,
}

impl PlaceTask {
    async fn place(&self) -> Option<Vec<PlacedSlot>> {
        let key = ObjectKey::new(format!("placement/{}", self.entry.id));
        let current = self.store.get(&key).await.ok()?;
        let former = match &current {
            Some(object) => read_placement(object)?,
            None => PlacementObject::default(),
        };
        let wanted = self.fill(&former).await;
        if wanted == former {
            return Some(former.slots);
        }
        let condition = match &current {
            Some(object) => WriteCondition::Version(object.version),
            None => WriteCondition::Absent,
        };
        let body = serde_json::to_vec(&wanted).ok()?;
        match self.store.put(&key, Bytes::from(body), condition).await {
            Ok(_) => Some(wanted.slots),
            Err(error) => {
                log::warn!("placement: {key} was not written: {error}");
                let read_back = self.store.get(&key).await.ok()??;
                Some(read_placement(&read_back)?.slots)
            }
        }
    }

    /// Rebinds slots to side processes that have restarted and fills free slots.
    async fn fill(&self, former: &PlacementObject) -> PlacementObject {
        let mut placement = former.clone();
        placement.decided = self.entry.replicas.0;
        for slot in &mut placement.slots {
            if let Some(incarnation) = self.incarnation(&slot.vm).await
                && incarnation != slot.incarnation
            {
                slot.incarnation = incarnation;
                slot.fencing = slot.fencing.next();
            }
        }
        for vm in self.candidates() {
            if placement.slots.len() >= placement.decided as usize {
                break;
            }
            if placement.slots.iter().any(|slot| slot.vm == vm) {
                continue;
            }
            if let Some(incarnation) = self.incarnation(&vm).await {
                placement.slots.push(PlacedSlot { vm, incarnation, fencing: FencingNumber(1) });
            }
        }
        placement
    }

    fn candidates(&self) -> Vec<VmId> {
        let vms: Vec<VmId> =
            self.fleet.backends(&self.entry.service).map(|vm| vm.id.clone()).collect();
        let key = OwnerKey::Model(self.entry.id.clone());
        let count = OwnerCount(vms.len().max(1));
        OwnerRanking::new(&key, &vms, count).owners().to_vec()
    }

    async fn incarnation(&self, vm: &VmId) -> Option<ProcessIncarnation> {
        let address = self.fleet.address(vm)?;
        let handle = self.peers.link(address).await.ok()?;
        Some(handle.peer.incarnation)
    }
}

fn read_placement(object: &StoredObject) -> Option<PlacementObject> {
    let placement = serde_json::from_slice(&object.body);
    placement
        .inspect_err(|error| log::error!("placement: {} cannot be read: {error}", object.key))
        .ok()
}
