//! The platform's list of VMs; it lags behind the truth.

use std::net::SocketAddr;

use async_trait::async_trait;
use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::object::Result;

/// Whether a VM is going to stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be taken away soon.
    Leaving,
}

/// What a VM carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// An entry process.
    Entry,
    /// A backend server with its side process.
    Backend,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM.
    pub id: VmId,
    /// What it carries.
    pub role: VmRole,
    /// Service whose backend server runs there; empty for entries.
    pub service: Option<ServiceName>,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of the system's process for its peers.
    pub address: SocketAddr,
    /// Whether the VM is going to stay.
    pub state: VmState,
}

/// The VM list.
#[async_trait]
pub trait VmList: Send + Sync {
    /// All VMs known to the platform, live and leaving.
    async fn vms(&self) -> Result<Vec<VmEntry>>;
}
