//! The VMs of the fleet as this process knows them.

use std::{net::SocketAddr, sync::Arc};

use base::prelude::*;
use object_api::{VmEntry, VmList, VmState, vms::VmRole};
use tokio::{sync::watch, time};

/// Size of one VM in the list, in bytes.
const VM_ENTRY_BYTES: f64 = 150.0;
/// Rate at which one process reads the list, in bytes a second.
const LIST_BYTES_PER_SECOND: f64 = 6_000.0;

/// A snapshot of the VM list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetView {
    vms: Vec<VmEntry>,
}

impl FleetView {
    /// A view of `vms`.
    pub fn new(vms: Vec<VmEntry>) -> Self {
        Self { vms }
    }

    /// Entries that stay, for rendezvous.
    pub fn entries(&self) -> Vec<VmId> {
        let is_live = |vm: &&VmEntry| vm.role == VmRole::Entry && vm.state == VmState::Live;
        self.vms.iter().filter(is_live).map(|vm| vm.id.clone()).collect()
    }

    /// Backend servers of `service` that stay.
    pub fn backends<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a VmEntry> {
        self.vms.iter().filter(move |vm| {
            vm.role == VmRole::Backend
                && vm.state == VmState::Live
                && vm.service.as_ref() == Some(service)
        })
    }

    /// One VM, live or leaving.
    pub fn vm(&self, id: &VmId) -> Option<&VmEntry> {
        self.vms.iter().find(|vm| vm.id == *id)
    }

    /// Address of the process on a VM.
    pub fn address(&self, id: &VmId) -> Option<SocketAddr> {
        self.vm(id).map(|vm| vm.address)
    }

    /// All VMs.
    pub fn vms(&self) -> &[VmEntry] {
        &self.vms
    }
}

/// Follows the VM list; keeps the last view while the platform is down.
///
/// The list is read every `interval`, or as seldom as its length demands.
pub async fn follow(
    list: Arc<dyn VmList>,
    interval: Duration,
    view: watch::Sender<Arc<FleetView>>,
) {
    loop {
        match list.vms().await {
            Ok(vms) => {
                let fleet = FleetView::new(vms);
                view.send_if_modified(|current| {
                    let has_changed = **current != fleet;
                    if has_changed {
                        *current = Arc::new(fleet);
                    }
                    has_changed
                });
            }
            Err(error) => log::warn!("fleet: the VM list cannot be read: {error}"),
        }
        let listed = view.borrow().vms().len();
        time::sleep(interval.max(min_poll_interval(listed))).await;
    }
}

/// Shortest time between two reads of a list of `listed` VMs: at the size of the design, 2,600
/// entries that read it every second would pass the platform's two thousand reads a second.
pub fn min_poll_interval(listed: usize) -> Duration {
    Duration::from_secs_f64(listed as f64 * VM_ENTRY_BYTES / LIST_BYTES_PER_SECOND)
}
