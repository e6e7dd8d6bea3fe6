//! The platform's list of VMs. It is updated late, so it may contain VMs that no longer exist
//! and lack new ones.

use std::{collections::BTreeSet, net::SocketAddr};

use async_trait::async_trait;
use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::object::Result;

/// Whether the platform is about to remove a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs and no removal is announced.
    Live,
    /// The platform has announced that it will remove the VM soon.
    Leaving,
}

/// Which processes run on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// An entry process.
    Entry,
    /// A backend server with its side process.
    Backend,
}

/// One entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub id: VmId,
    /// Which processes run on it.
    pub role: VmRole,
    /// Service whose backend server runs there; `None` for entries.
    pub service: Option<ServiceName>,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address at which peers reach the entry or side process on the VM.
    pub address: SocketAddr,
    /// Whether the platform is about to remove the VM.
    pub state: VmState,
}

/// The VM list as read, in which single entries may be unreadable.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmListing {
    /// Entries that could be read.
    pub vms: Vec<VmEntry>,
    /// Names of VMs that are listed but whose entries could not be read otherwise.
    pub unreadable: BTreeSet<VmId>,
    /// Number of entries without a readable name; any VM may be one of them.
    pub unnamed: usize,
}

impl VmListing {
    /// Names of all VMs that the list is known to contain.
    pub fn names(&self) -> BTreeSet<VmId> {
        self.vms.iter().map(|vm| &vm.id).chain(&self.unreadable).cloned().collect()
    }
}

/// Access to the VM list.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads the list, including VMs about to be removed and entries that cannot be read.
    async fn listing(&self) -> Result<VmListing>;

    /// Reads all VMs whose entries can be read, including those about to be removed.
    ///
    /// A VM that is missing here may still exist; only [`Self::listing`] shows which are gone.
    async fn vms(&self) -> Result<Vec<VmEntry>> {
        Ok(self.listing().await?.vms)
    }
}
