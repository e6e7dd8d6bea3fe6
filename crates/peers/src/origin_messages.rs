//! Messages about the origins of streams.

use origins::StreamOrigin;

/// The server that sent the first event of a stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OriginState {
    /// Name of its service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Version of its software.
    #[prost(string, tag = "2")]
    pub software: String,
}

impl From<&StreamOrigin> for OriginState {
    fn from(origin: &StreamOrigin) -> Self {
        Self { service: origin.service.to_string(), software: origin.software.to_string() }
    }
}

impl OriginState {
    /// The origin; none if the service has no valid name.
    pub fn decode(self) -> Option<StreamOrigin> {
        let software = self.software.parse().ok()?;
        Some(StreamOrigin { service: self.service.parse().ok()?, software })
    }
}

/// Reports the origin of a stream to a process that keeps it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OriginReport {
    /// Key of the stream.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// Its origin.
    #[prost(message, optional, tag = "2")]
    pub origin: Option<OriginState>,
}

/// Asks for the origin of a stream.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct OriginQuery {
    /// Key of the stream.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
}

/// Answers an [`OriginQuery`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct OriginReply {
    /// Key of the stream.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// Its origin; none if the sender does not know it.
    #[prost(message, optional, tag = "2")]
    pub origin: Option<OriginState>,
}
