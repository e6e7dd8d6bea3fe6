//! The `[process]` section, shared by the settings of entries and side processes.

use std::net::SocketAddr;

use base::{ini::SectionReader, prelude::*};

use crate::handshake::{FleetSecret, PeerIdentity, PeerRole};

/// Identity of a process, its addresses and the fleet's secret.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// Name of the VM on which the process runs.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Address on which connections of peers are accepted.
    pub peer_address: SocketAddr,
    /// Address of the HTTP interface: metrics, health checks and, at an entry, callers.
    pub http_address: SocketAddr,
    /// Secret shared by all processes of the fleet, proved in each handshake.
    pub secret: FleetSecret,
}

impl ProcessSettings {
    /// Reads the section; returns `None` if a key is missing or malformed.
    pub fn read(section: &mut SectionReader<'_>) -> Option<Self> {
        let vm = section.required("vm", "the name of this VM");
        let zone = section.required("zone", "the name of this availability zone");
        let region = section.required("region", "the name of this region");
        let address = "an IP address with a port, such as 127.0.0.1:7000";
        let peer_address = section.required("peer-address", address);
        let http_address = section.required("http-address", address);
        let secret = section.required("secret", "a secret of at least 8 bytes");
        Some(Self {
            vm: vm?,
            zone: zone?,
            region: region?,
            peer_address: peer_address?,
            http_address: http_address?,
            secret: secret?,
        })
    }

    /// Returns the identity that this incarnation of the process sends to its peers.
    pub fn identity(&self, role: PeerRole, incarnation: ProcessIncarnation) -> PeerIdentity {
        PeerIdentity { vm: self.vm.clone(), zone: self.zone.clone(), incarnation, role }
    }
}
