//! The roster of backend servers: registered, draining, lapsed and removed ones.

pub mod server;
pub mod table;

pub use crate::{
    server::{
        BackendServer, IncarnationStart, InstanceId, ResidentModel, RosterChange, RosterRevision,
        ServerState,
    },
    table::{Roster, RosterStatus, RosterUpdate},
};
