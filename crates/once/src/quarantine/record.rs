//! Stored record of the crashes at which a request was in flight.

use base::prelude::*;
use bytes::Bytes;
use prost::Message;
use snafu::{ResultExt, Snafu, ensure};

use crate::fingerprint::RequestFingerprint;

/// Number of crashes at which a request must have been in flight to be quarantined.
const QUARANTINE_CRASHES: usize = 2;

/// Most crashes recorded for one request.
const MAX_CRASHES: usize = 8;

const FORMAT: u32 = 1;

/// An object under `quarantine/` could not be read.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The body is not a valid protobuf message.
    #[snafu(display("the body cannot be decoded"))]
    Undecodable {
        /// Error of the protobuf decoder.
        source: prost::DecodeError,
    },
    /// The body has a format that this version does not support.
    #[snafu(display("the body has the unknown format {format}"))]
    UnknownFormat {
        /// Format number in the body.
        format: u32,
    },
}

/// Result of decoding a body.
pub type Result<T, E = RecordError> = std::result::Result<T, E>;

/// Identifies one crash of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId {
    /// Incarnation of the side process that observed the crash.
    pub incarnation: ProcessIncarnation,
    /// Number of the crash in that incarnation, from one.
    pub number: u64,
}

/// Whether a request may run, according to its crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum QuarantineStatus {
    /// It may run together with other requests.
    Clear,
    /// It may only run alone.
    Suspect,
    /// It may not run until an operator lifts the quarantine.
    Quarantined,
}

/// The crashes of one request, with its customer and model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// Customer of the request, for operators.
    pub customer: String,
    /// Model or service of the request, for operators.
    pub model: String,
    /// The crashes, in ascending order and without duplicates.
    pub crashes: Vec<CrashId>,
    /// Time of the latest crash since the Unix epoch.
    pub latest: Duration,
}

impl CrashRecord {
    /// Adds the crashes of `other`; returns false if the record did not grow.
    pub fn merge(&mut self, other: &CrashRecord) -> bool {
        let known = self.crashes.len();
        self.crashes.extend(&other.crashes);
        self.crashes.sort_unstable();
        self.crashes.dedup();
        self.crashes.truncate(MAX_CRASHES);
        self.latest = self.latest.max(other.latest);
        self.crashes.len() > known
    }

    /// Whether the request may not run at all.
    pub fn is_quarantined(&self) -> bool {
        self.crashes.len() >= QUARANTINE_CRASHES
    }

    /// Returns the status at `unix_time`, the time since the Unix epoch.
    ///
    /// A single crash counts for `suspect_duration`, two or more until the record is deleted.
    pub fn status(&self, unix_time: Duration, suspect_duration: Duration) -> QuarantineStatus {
        if self.is_quarantined() {
            return QuarantineStatus::Quarantined;
        }
        match self.latest + suspect_duration > unix_time && !self.crashes.is_empty() {
            true => QuarantineStatus::Suspect,
            false => QuarantineStatus::Clear,
        }
    }

    /// Encodes the record as an object body.
    pub fn encode(&self) -> Bytes {
        let crashes = self.crashes.iter();
        let crashes = crashes
            .map(|crash| CrashBody { incarnation: crash.incarnation.0, crash: crash.number });
        let body = RecordBody {
            format: FORMAT,
            customer: self.customer.clone(),
            model: self.model.clone(),
            crashes: crashes.collect(),
            latest_ms: u64::try_from(self.latest.as_millis()).unwrap_or(u64::MAX),
        };
        body.encode_to_vec().into()
    }

    /// Decodes an object body.
    ///
    /// # Errors
    ///
    /// Fails on any body that [`CrashRecord::encode`] cannot produce.
    pub fn decode(body: Bytes) -> Result<Self> {
        let body = RecordBody::decode(body).context(UndecodableSnafu)?;
        ensure!(body.format == FORMAT, UnknownFormatSnafu { format: body.format });
        let crashes = body.crashes.iter().map(|crash| CrashId {
            incarnation: ProcessIncarnation(crash.incarnation),
            number: crash.crash,
        });
        Ok(Self {
            customer: body.customer,
            model: body.model,
            crashes: crashes.collect(),
            latest: Duration::from_millis(body.latest_ms),
        })
    }
}

/// A request that was in flight at a crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRequest {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Customer of the request.
    pub customer: String,
    /// Model or service of the request.
    pub model: String,
    /// Crash at which it was in flight.
    pub crash: CrashId,
}

#[derive(Clone, PartialEq, Message)]
struct CrashBody {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(uint64, tag = "2")]
    crash: u64,
}

#[derive(Clone, PartialEq, Message)]
struct RecordBody {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(string, tag = "2")]
    customer: String,
    #[prost(string, tag = "3")]
    model: String,
    #[prost(message, repeated, tag = "4")]
    crashes: Vec<CrashBody>,
    #[prost(uint64, tag = "5")]
    latest_ms: u64,
}
