//! The roster of backend servers: who is registered, who leaves, and who is gone.

pub mod server;
pub mod table;

pub use crate::{
    server::{
        BackendServer, IncarnationStart, InstanceId, ResidentModel, RosterChange, RosterRevision,
        ServerState,
    },
    table::{Roster, RosterStatus, RosterUpdate},
};
