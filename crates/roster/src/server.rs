//! A backend server's registration in the platform's store.

use std::{convert::Infallible, fmt, net::SocketAddr, num::ParseIntError, str::FromStr};

use base::{ids::IdError, prelude::*};

/// Name of a backend server.
///
/// Most servers take a new one at each start; where a name is reused, [`IncarnationStart`]
/// distinguishes the incarnations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(String);

impl InstanceId {
    /// The name as it stands in the store.
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

/// Start time of one incarnation of a backend server, in milliseconds since the Unix epoch by the
/// server's own clock.
///
/// Distinguishes incarnations that share a name; it is compared for equality only.
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

/// Version of the software that a backend server runs; unrelated to the weights of its models. What
/// two versions write does not fit together in one stream.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(String);

impl SoftwareVersion {
    /// The version as the server registers it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self(text.to_owned()))
    }
}

/// Number of times that an incarnation of a backend server has written its registration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CheckInCount(pub u64);

impl fmt::Display for CheckInCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for CheckInCount {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Revision of the platform's store; watches resume after the last one that was read.
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

/// Number of times that the platform's store was restored from a copy; zero if it does not tell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StoreEra {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// A point in the history of the platform's store. A restore gives revisions out again, so that they
/// are ordered within an era only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// Number of restores before it.
    pub era: StoreEra,
    /// Revision within the era.
    pub revision: RosterRevision,
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts new requests.
    Ready,
    /// Finishes its running requests and then shuts down.
    Draining {
        /// Time until it shuts down even if requests still run; none if unknown.
        remaining: Option<Duration>,
    },
}

/// A model that is loaded in an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// Name of the model.
    pub model: ModelId,
    /// Version of the loaded weights.
    pub weights_version: u64,
    /// Adapters loaded on top of the model.
    pub adapters: Vec<AdapterId>,
}

/// One registered backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Name, unique among the registered servers.
    pub id: InstanceId,
    /// Start of its incarnation; none if the server does not register it.
    pub started: Option<IncarnationStart>,
    /// Number of this registration within the incarnation; none if the server does not count them.
    pub check_ins: Option<CheckInCount>,
    /// Service whose requests it handles.
    pub service: ServiceName,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone of its VM.
    pub zone: ZoneName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ServerState,
    /// Remaining time for which it is slow after its start; zero once it has full speed.
    pub slow_start_left: Duration,
    /// Loaded models; empty for plain services.
    pub residents: Vec<ResidentModel>,
}

/// One change of the registrations in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// A backend server registered or changed its registration.
    Listed(Box<BackendServer>),
    /// The registration was removed or expired.
    Removed(InstanceId),
    /// The object of this name was replaced by one that registers no backend server.
    Unreadable {
        /// Name of the object.
        id: InstanceId,
        /// Why it cannot be decoded.
        reason: String,
    },
}
