//! What the store holds of a request that was in flight at crashes.

use base::prelude::*;
use bytes::Bytes;
use prost::Message;
use snafu::{ResultExt, Snafu, ensure};

use crate::fingerprint::RequestFingerprint;

/// Crashes at which a request must have been in flight to be quarantined.
const QUARANTINE_CRASHES: usize = 2;

/// Most crashes recorded of one request.
const MAX_CRASHES: usize = 8;

const FORMAT: u32 = 1;

/// An object under `quarantine/` could not be read.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The body is no message.
    #[snafu(display("the body cannot be decoded"))]
    Undecodable {
        /// What the codec says.
        source: prost::DecodeError,
    },
    /// The body is of a format that this version does not know.
    #[snafu(display("the body has the unknown format {format}"))]
    UnknownFormat {
        /// Format found.
        format: u32,
    },
}

/// Result of reading a body.
pub type Result<T, E = RecordError> = std::result::Result<T, E>;

/// One crash of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId {
    /// Life of the side process that saw it.
    pub incarnation: ProcessIncarnation,
    /// Number of the crash in that life.
    pub number: u64,
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum QuarantineStatus {
    /// It may run beside others.
    Clear,
    /// It may run alone.
    Suspect,
    /// It may not run.
    Quarantined,
}

/// The crashes of one request, and whose it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// Whose request it is, for operators.
    pub customer: String,
    /// Its model or service, for operators.
    pub model: String,
    /// The crashes, in their order of number.
    pub crashes: Vec<CrashId>,
    /// Time of the latest crash since the Unix epoch.
    pub latest: Duration,
}

impl CrashRecord {
    /// Adds the crashes of `other`; false if all were known.
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

    /// What the crashes say; one alone is forgotten after `suspect_life`.
    pub fn status(&self, unix_time: Duration, suspect_duration: Duration) -> QuarantineStatus {
        if self.is_quarantined() {
            return QuarantineStatus::Quarantined;
        }
        match self.latest + suspect_duration > unix_time && !self.crashes.is_empty() {
            true => QuarantineStatus::Suspect,
            false => QuarantineStatus::Clear,
        }
    }

    /// The body to store.
    pub fn encode(&self) -> Bytes {
        let crashes = self.crashes.iter();
        let crashes = crashes
            .map(|crash| CrashBody { incarnation: crash.incarnation.0, number: crash.number });
        let body = RecordBody {
            format: FORMAT,
            customer: self.customer.clone(),
            model: self.model.clone(),
            crashes: crashes.collect(),
            latest_ms: u64::try_from(self.latest.as_millis()).unwrap_or(u64::MAX),
        };
        body.encode_to_vec().into()
    }

    /// Reads a stored body.
    ///
    /// # Errors
    ///
    /// Fails on any body that [`CrashRecord::encode`] cannot have made.
    pub fn decode(body: Bytes) -> Result<Self> {
        let body = RecordBody::decode(body).context(UndecodableSnafu)?;
        ensure!(body.format == FORMAT, UnknownFormatSnafu { format: body.format });
        let crashes = body.crashes.iter().map(|crash| CrashId {
            incarnation: ProcessIncarnation(crash.incarnation),
            number: crash.number,
        });
        Ok(Self {
            customer: body.customer,
            model: body.model,
            crashes: crashes.collect(),
            latest: Duration::from_millis(body.latest_ms),
        })
    }
}

/// A request named at a crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRequest {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Whose request it is.
    pub customer: String,
    /// Its model or service.
    pub model: String,
    /// The crash.
    pub crash: CrashId,
}

#[derive(Clone, PartialEq, Message)]
struct CrashBody {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(uint64, tag = "2")]
    number: u64,
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
