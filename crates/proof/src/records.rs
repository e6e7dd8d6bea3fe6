//! Everything that a judgement rests on: callers' views and stand-ins' records.

use std::collections::BTreeMap;

use standin::{
    engine::{EngineRecords, ExecutionRecord},
    service::{CallRecord, ServiceRecords},
};

use crate::callers::{FaultedEntries, ObservedCall};

/// What an engine recorded.
#[derive(Debug, Clone, Default)]
pub struct EngineEvidence {
    /// Records of the stand-in.
    pub records: EngineRecords,
    /// Memory of the engine, in bytes.
    pub memory_bytes: u64,
    /// When the platform showed its VM as leaving, in milliseconds since the Unix epoch.
    pub leaving_ms: Option<u64>,
    /// When the platform no longer listed its VM, in milliseconds since the Unix epoch.
    pub delisted_ms: Option<u64>,
}

/// What a replica of the plain service recorded.
#[derive(Debug, Clone, Default)]
pub struct ServiceEvidence {
    /// Records of the stand-in.
    pub records: ServiceRecords,
    /// When the platform showed its VM as leaving, in milliseconds since the Unix epoch.
    pub leaving_ms: Option<u64>,
}

/// One look at whether an edit is in force at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EditSample {
    /// Entry process.
    pub entry: usize,
    /// When the look ended, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Whether the new customer was known; `None` if the entry could not tell.
    pub is_applied: Option<bool>,
}

/// An accepted edit and the looks at it.
#[derive(Debug, Clone, Default)]
pub struct EditEvidence {
    /// When the command told that the edit was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Looks in the order of their times.
    pub samples: Vec<EditSample>,
    /// Time that faults took away from spreading, in milliseconds.
    pub fault_ms: u64,
}

/// A planned stop.
#[derive(Debug, Clone)]
pub struct StopEvidence {
    /// Process that was stopped.
    pub name: String,
    /// Whether it ended with success; `None` if it had not ended in time.
    pub is_clean: Option<bool>,
}

/// What the judgement of one cell rests on.
#[derive(Debug, Clone, Default)]
pub struct CellEvidence {
    /// Requests and what their callers saw.
    pub calls: Vec<ObservedCall>,
    /// Probes that were not all served, while the fleet started or recovered.
    pub probes: Vec<ObservedCall>,
    /// Engines.
    pub engines: Vec<EngineEvidence>,
    /// Replicas of the plain service.
    pub service_replicas: Vec<ServiceEvidence>,
    /// Decided number of replicas by model.
    pub configured_replicas: BTreeMap<String, usize>,
    /// Entries whose own process was disturbed.
    pub faulted_entries: FaultedEntries,
    /// Whether a fault may break the connection of a streamed answer.
    pub may_break_streams: bool,
    /// Planned stops.
    pub stops: Vec<StopEvidence>,
    /// Accepted edits.
    pub edits: Vec<EditEvidence>,
    /// Whether the fleet served again after the faults.
    pub has_recovered: bool,
}

impl CellEvidence {
    /// Requests that any engine began to execute.
    pub fn started_executions(&self) -> impl Iterator<Item = &ExecutionRecord> {
        let executions = self.engines.iter().flat_map(|engine| &engine.records.executions);
        executions.filter(|execution| execution.started_ms.is_some())
    }

    /// Calls that any replica of the plain service executed.
    pub fn service_calls(&self) -> impl Iterator<Item = &CallRecord> {
        self.service_replicas.iter().flat_map(|desk| &desk.records.calls)
    }
}
