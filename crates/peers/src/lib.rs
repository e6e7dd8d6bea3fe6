//! Datagrams between the processes of the system, and who is live.
//!
//! Each datagram tells the present state of its sender and replaces what it said before, so that a
//! lost one is mended by the next. No connection can go silent unnoticed.

pub mod book;
pub mod messages;
pub mod socket;

pub use crate::{
    book::{EntryPeer, PeerBook, PeerNews, PlannerIdentity},
    messages::{
        ChangeWanted, Datagram, DatagramBody, EngineLoad, EngineState, EntryBeat, LoadDemand,
        LoadingModel, ModelDemand, ModelOutlook, Outlooks, PastRates, PeerAddress, ResidentState,
        RunAnswer, RunAsk, RunEnd, RunVerdict, RunsAtEngine, SideBeat,
    },
    socket::PeerSocket,
};
