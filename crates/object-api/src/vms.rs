//! The platform's list of VMs. It is updated late, so it may contain VMs that no longer exist
//! and lack new ones.

use std::net::SocketAddr;

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

/// Access to the VM list.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads all VMs known to the platform, including those about to be removed.
    async fn vms(&self) -> Result<Vec<VmEntry>>;
}
