//! The `[process]` section that both programs share.

use std::net::SocketAddr;

use base::{ini::SectionReader, prelude::*};

use crate::handshake::{FleetSecret, PeerIdentity, PeerRole};

/// Who a process is and where it listens.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where callers, metrics and health checks connect.
    pub http_address: SocketAddr,
    /// The fleet's shared secret.
    pub secret: FleetSecret,
}

impl ProcessSettings {
    /// Reads the section; `None` if a key is missing or malformed.
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

    /// The identity shown to peers in this life of the process.
    pub fn identity(&self, role: PeerRole, incarnation: ProcessIncarnation) -> PeerIdentity {
        PeerIdentity { vm: self.vm.clone(), zone: self.zone.clone(), incarnation, role }
    }
}
