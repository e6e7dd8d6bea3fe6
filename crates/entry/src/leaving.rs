//! Tells side processes that the VM list marks their VMs as leaving.
//!
//! A side process does not read the VM list itself: ten thousand readers would spend the platform's
//! calls. Every entry that has a connection to it tells it, and the first entries in the order of
//! rendezvous open one if need be.

use std::{collections::HashSet, sync::Arc};

use base::prelude::*;
use object_api::{VmEntry, VmState, vms::VmRole};
use once::{ShardId, shard_ranking};
use tokio::{sync::watch, time};
use wire::{Message, load::LeaveNotice};
use xxhash_rust::xxh3::xxh3_64;

use crate::{fleet::FleetView, peers::PeerPool};

/// Entries that open a connection to tell a VM that it leaves.
const NOTIFIERS: usize = 2;
/// Time between tries to tell a VM that could not be told.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the fleet and tells each leaving VM once.
pub async fn follow(me: VmId, peers: Arc<PeerPool>, mut fleet: watch::Receiver<Arc<FleetView>>) {
    let mut notified = HashSet::new();
    loop {
        let view = Arc::clone(&fleet.borrow_and_update());
        let is_complete = notify_leaving(&me, &peers, &view, &mut notified).await;
        if is_complete {
            if fleet.changed().await.is_err() {
                return;
            }
        } else {
            time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Returns whether nobody is left to be told.
async fn notify_leaving(
    me: &VmId,
    peers: &PeerPool,
    view: &FleetView,
    notified: &mut HashSet<VmId>,
) -> bool {
    notified.retain(|vm| view.vm(vm).is_some());
    let is_leaving = |vm: &&VmEntry| vm.role == VmRole::Backend && vm.state == VmState::Leaving;
    let mut is_complete = true;
    for vm in view.vms().iter().filter(is_leaving) {
        if notified.contains(&vm.id) {
            continue;
        }
        match notify(me, peers, view, vm).await {
            true => drop(notified.insert(vm.id.clone())),
            false => is_complete = false,
        }
    }
    is_complete
}

/// Tells one VM; `true` if it was told or others do it.
async fn notify(me: &VmId, peers: &PeerPool, view: &FleetView, vm: &VmEntry) -> bool {
    let handle = match peers.open_link(vm.address) {
        Some(handle) => handle,
        None if !is_notifier(me, view, &vm.id) => return true,
        None => match peers.link(vm.address).await {
            Ok(handle) => handle,
            Err(error) => {
                log::debug!("leaving: {} cannot be told: {error}", vm.id);
                return false;
            }
        },
    };
    log::info!("leaving: telling {} that it leaves", vm.id);
    handle.sender.send(Message::LeaveNotice(LeaveNotice {})).await.is_ok()
}

fn is_notifier(me: &VmId, view: &FleetView, vm: &VmId) -> bool {
    let place = ShardId(xxh3_64(vm.as_str().as_bytes()) as u16);
    shard_ranking(place, &view.entries()).into_iter().take(NOTIFIERS).any(|entry| entry == me)
}
