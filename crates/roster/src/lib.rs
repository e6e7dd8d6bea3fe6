//! The roster of backend servers: registered, draining, lapsed and removed ones.

pub mod outage;
pub mod read_policy;
pub mod server;
pub mod table;

pub use crate::{
    outage::FailedRead,
    read_policy::{ReadMode, ReadPlan, ReadPolicy, StoreObservation},
    server::{
        BackendServer, CheckInCount, IncarnationStart, InstanceId, ResidentModel, RosterChange,
        RosterRevision, ServerState, SoftwareVersion, StoreEra, StorePosition,
    },
    table::{Roster, RosterStatus, RosterUpdate},
};
