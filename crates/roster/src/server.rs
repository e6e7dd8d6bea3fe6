//! What a backend server registers about itself.

use std::{fmt, net::SocketAddr, num::ParseIntError, str::FromStr};

use base::{ids::IdError, prelude::*};

/// Name of one backend server; mostly new at each of its starts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(String);

impl InstanceId {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for InstanceId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        VmId::new(text).map(|id| Self(id.into()))
    }
}

/// Start of one incarnation of a backend server, in milliseconds of the Unix epoch by its own clock.
///
/// Tells incarnations apart that share a name; it is compared for equality only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationStart(pub u64);

impl fmt::Display for IncarnationStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for IncarnationStart {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Revision of the platform's store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RosterRevision(pub u64);

impl fmt::Display for RosterRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RosterRevision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It takes work.
    Ready,
    /// It finishes what it has and leaves.
    Draining {
        /// Time that is left before it is gone whatever it runs, where that is known.
        remaining: Option<Duration>,
    },
}

/// A model that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// Model.
    pub model: ModelId,
    /// Version of its weights.
    pub weights_version: u64,
    /// Adapters that are loaded for it.
    pub adapters: Vec<AdapterId>,
}

/// One registered backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Name.
    pub id: InstanceId,
    /// Start of its incarnation, where it says so.
    pub started: Option<IncarnationStart>,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// How much longer it stays slow after its start.
    pub slow_start_left: Duration,
    /// Models that it holds; empty for plain services.
    pub residents: Vec<ResidentModel>,
}

/// One change of the registered backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// A backend server registered or changed its entry.
    Listed(Box<BackendServer>),
    /// The entry was removed.
    Removed(InstanceId),
}
