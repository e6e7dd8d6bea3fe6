//! Notifies side processes whose VMs the VM list marks as leaving.
//!
//! A side process does not read the VM list itself: ten thousand readers would use up the
//! platform's call limit. Every entry with an open connection to the side process notifies it; the
//! first two entries in rendezvous order open a connection if they have none.

use std::{collections::HashSet, sync::Arc};

use base::prelude::*;
use object_api::{VmEntry, VmState, vms::VmRole};
use once::{ShardId, shard_ranking};
use tokio::{sync::watch, time};
use wire::{Message, load::LeaveNotice};
use xxhash_rust::xxh3::xxh3_64;

use crate::{fleet::FleetView, peers::PeerPool};

/// Number of entries that open a connection to notify a leaving VM.
const NOTIFIERS: usize = 2;
/// Delay before retrying VMs that could not be notified.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Watches the fleet and notifies each leaving VM once.
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

/// Returns whether all leaving VMs have been notified.
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

/// Notifies one VM; `true` if it was notified or if only other entries need to notify it.
async fn notify(me: &VmId, peers: &PeerPool, view: &FleetView, vm: &VmEntry) -> bool {
    let handle = match peers.open_link(vm.address) {
        Some(handle) => handle,
        None if !is_notifier(me, view, &vm.id) => return true,
        None => match peers.link(vm.address).await {
            Ok(handle) => handle,
            Err(error) => {
                log::debug!(
                    "leaving: connecting to the leaving VM {} failed; retrying: {error}",
                    vm.id
                );
                return false;
            }
        },
    };
    log::info!("leaving: notifying {} that its VM is leaving", vm.id);
    handle.sender.send(Message::LeaveNotice(LeaveNotice {})).await.is_ok()
}

fn is_notifier(me: &VmId, view: &FleetView, vm: &VmId) -> bool {
    let shard = ShardId(xxh3_64(vm.as_str().as_bytes()) as u16);
    shard_ranking(shard, &view.entries()).into_iter().take(NOTIFIERS).any(|entry| entry == me)
}
