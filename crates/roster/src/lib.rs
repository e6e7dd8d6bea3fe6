//! The roster of backend servers: who is registered, who leaves, and who is gone.

pub mod book;
pub mod server;

pub use crate::{
    book::{Roster, RosterNews, Standing},
    server::{
        BackendServer, IncarnationStart, InstanceId, ResidentModel, RosterChange, RosterRevision,
        ServerState,
    },
};
