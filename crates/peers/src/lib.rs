//! Datagrams between the processes of the system, and the table of live entries.
//!
//! Each datagram carries the present state of its sender and replaces the one before, so the
//! next datagram makes up for a lost one. No connection is kept open that could fail unnoticed.

pub mod limit_messages;
pub mod messages;
pub mod origin_messages;
pub mod quota_messages;
pub mod socket;
pub mod table;

pub use crate::{
    limit_messages::{LimitGrantMessage, LimitQueryMessage, LimitState},
    messages::{
        BlockQuery, BlockReport, BlockState, ChangeRequest, CrashReport, Datagram, DatagramBody,
        DemandReport, EngineLoad, EngineState, EntryHeartbeat, KeyAnswer, LoadEstimates,
        LoadingModel, ModelDemand, ModelEstimate, PastRates, PeerAddress, PermitDecision,
        PermitRelease, PermitReply, PermitRequest, ResidentState, RunningRequests, SideHeartbeat,
        StoreSighting, SuspectRequest, WaitingStreams,
    },
    origin_messages::{OriginQuery, OriginReply, OriginReport, OriginState},
    quota_messages::{
        QuotaGrantMessage, QuotaGrantRow, QuotaHandover, QuotaLevelRow, QuotaQueryMessage,
        QuotaRequestRow, ReturnedQuota,
    },
    socket::PeerSocket,
    table::{EntryPeer, PeerTable, PeerUpdate, PlannerIdentity},
};
