//! Polls the VM list and keeps the latest snapshot of the fleet.

use std::{net::SocketAddr, sync::Arc};

use base::prelude::*;
use object_api::{VmEntry, VmList, VmState, vms::VmRole};
use tokio::{sync::watch, time};

/// Encoded size of one VM in the list, in bytes.
const VM_ENTRY_BYTES: f64 = 150.0;
/// Highest rate at which one process reads the list, in bytes per second.
const LIST_BYTES_PER_SECOND: f64 = 6_000.0;

/// A snapshot of the VM list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetView {
    vms: Vec<VmEntry>,
}

impl FleetView {
    /// Creates a snapshot of `vms`.
    pub fn new(vms: Vec<VmEntry>) -> Self {
        Self { vms }
    }

    /// Live entries, over which rendezvous hashing ranks owners.
    pub fn entries(&self) -> Vec<VmId> {
        let is_live = |vm: &&VmEntry| vm.role == VmRole::Entry && vm.state == VmState::Live;
        self.vms.iter().filter(is_live).map(|vm| vm.id.clone()).collect()
    }

    /// Live backend servers of `service`.
    pub fn backends<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a VmEntry> {
        self.vms.iter().filter(move |vm| {
            vm.role == VmRole::Backend
                && vm.state == VmState::Live
                && vm.service.as_ref() == Some(service)
        })
    }

    /// The VM `id`, live or leaving; `None` if it is not listed.
    pub fn vm(&self, id: &VmId) -> Option<&VmEntry> {
        self.vms.iter().find(|vm| vm.id == *id)
    }

    /// Address of the entry or side process on a VM; `None` if the VM is not listed.
    pub fn address(&self, id: &VmId) -> Option<SocketAddr> {
        self.vm(id).map(|vm| vm.address)
    }

    /// All VMs of the list.
    pub fn vms(&self) -> &[VmEntry] {
        &self.vms
    }
}

/// Polls the VM list; keeps the last snapshot while the platform does not answer.
///
/// The list is read every `interval`, or less often if [`min_poll_interval`] is longer.
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
            Err(error) => {
                log::warn!("fleet: reading the VM list failed; keeping the last one: {error}")
            }
        }
        let listed = view.borrow().vms().len();
        time::sleep(interval.max(min_poll_interval(listed))).await;
    }
}

/// Shortest time between two reads of a list of `listed` VMs.
///
/// At the design size, 2,600 entries that read the list every second would exceed the platform's
/// limit of 2,000 reads per second.
pub fn min_poll_interval(listed: usize) -> Duration {
    Duration::from_secs_f64(listed as f64 * VM_ENTRY_BYTES / LIST_BYTES_PER_SECOND)
}
