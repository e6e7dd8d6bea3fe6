//! Evidence for the checks of one cell: callers' outcomes and stand-ins' records.

use std::collections::BTreeMap;

use standin::{
    engine::{EngineRecords, ExecutionRecord},
    service::{CallRecord, ServiceRecords},
};

use crate::callers::{FaultedEntries, ObservedCall};

/// Records of one engine and the states of its VM.
#[derive(Debug, Clone, Default)]
pub struct EngineEvidence {
    /// Records read from the stand-in.
    pub records: EngineRecords,
    /// Memory of the engine, in bytes.
    pub memory_bytes: u64,
    /// When the platform listed its VM as leaving, in milliseconds since the Unix epoch; `None` if
    /// it was not reclaimed.
    pub leaving_ms: Option<u64>,
    /// When its VM was removed from the VM list, in milliseconds since the Unix epoch.
    pub delisted_ms: Option<u64>,
}

/// Records of one replica of the plain service.
#[derive(Debug, Clone, Default)]
pub struct ServiceEvidence {
    /// Records read from the stand-in.
    pub records: ServiceRecords,
    /// When the platform listed its VM as leaving, in milliseconds since the Unix epoch; `None` if
    /// it was not reclaimed.
    pub leaving_ms: Option<u64>,
}

/// One sample of whether an entry has applied an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EditSample {
    /// Index of the entry process.
    pub entry: usize,
    /// When the answer arrived, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Whether the entry knew the customer added by the edit; `None` if the answer does not show
    /// it.
    pub is_applied: Option<bool>,
}

/// An accepted edit and its samples.
#[derive(Debug, Clone, Default)]
pub struct EditEvidence {
    /// When the edit was reported as accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Samples in the order of their times.
    pub samples: Vec<EditSample>,
    /// Total duration of the faults, by which propagation may take longer, in milliseconds.
    pub fault_ms: u64,
}

/// Outcome of a planned stop.
#[derive(Debug, Clone)]
pub struct StopEvidence {
    /// Name of the process.
    pub name: String,
    /// Whether its exit status was 0; `None` if it did not end in time.
    pub is_clean: Option<bool>,
}

/// Evidence of one cell.
#[derive(Debug, Clone, Default)]
pub struct CellEvidence {
    /// Requests and their outcomes.
    pub calls: Vec<ObservedCall>,
    /// Requests of the failed probe rounds, at start and during recovery.
    pub probes: Vec<ObservedCall>,
    /// Engines, by index.
    pub engines: Vec<EngineEvidence>,
    /// Replicas of the plain service, by index.
    pub service_replicas: Vec<ServiceEvidence>,
    /// Configured number of replicas, by model.
    pub configured_replicas: BTreeMap<String, usize>,
    /// Entries whose process a fault kills or suspends; their callers may lose connections.
    pub faulted_entries: FaultedEntries,
    /// Whether a fault may break the connection of a streamed answer.
    pub may_break_streams: bool,
    /// Planned stops of the step.
    pub stops: Vec<StopEvidence>,
    /// Accepted edits of the step.
    pub edits: Vec<EditEvidence>,
    /// Whether the fleet served every probe request after the faults.
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
        self.service_replicas.iter().flat_map(|replica| &replica.records.calls)
    }
}
