//! The one message that every frame after the handshake holds.

use prost::{Message as ProstMessage, Oneof};

use crate::{
    credit::{CreditRefusal, CreditRequest, CreditReturn, Grant},
    load::{BackendReport, LeaveNotice, LoadOrder, OrderOutcome, ReportSubscription, UnloadOrder},
    run::{
        AnswerChunk, AnswerEnd, AnswerHead, CancelAck, EpochNotice, RunCancel, RunRefusal,
        RunRequest,
    },
};

/// A message with the version of the lists that its sender has.
#[derive(Clone, PartialEq, ProstMessage)]
pub struct Envelope {
    /// Version of the lists at the sender; zero if it has none.
    #[prost(uint64, tag = "1")]
    pub list_version: u64,
    /// The message; absent in a heartbeat.
    #[prost(
        oneof = "Message",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21"
    )]
    pub message: Option<Message>,
}

/// What a frame can carry.
#[derive(Clone, PartialEq, Oneof)]
pub enum Message {
    /// Entry to owner.
    #[prost(message, tag = "2")]
    Ask(CreditRequest),
    /// Owner to entry.
    #[prost(message, tag = "3")]
    Grant(Grant),
    /// Owner to entry.
    #[prost(message, tag = "4")]
    AskRefusal(CreditRefusal),
    /// Entry to owner.
    #[prost(message, tag = "5")]
    CreditReturn(CreditReturn),
    /// Entry to side process.
    #[prost(message, tag = "6")]
    RunRequest(RunRequest),
    /// Side process to entry.
    #[prost(message, tag = "7")]
    RunRefusal(RunRefusal),
    /// Side process to entry.
    #[prost(message, tag = "8")]
    AnswerHead(AnswerHead),
    /// Side process to entry.
    #[prost(message, tag = "9")]
    AnswerChunk(AnswerChunk),
    /// Side process to entry.
    #[prost(message, tag = "10")]
    AnswerEnd(AnswerEnd),
    /// Entry to side process.
    #[prost(message, tag = "11")]
    RunCancel(RunCancel),
    /// Side process to entry.
    #[prost(message, tag = "12")]
    CancelAck(CancelAck),
    /// Owner to side process.
    #[prost(message, tag = "13")]
    LoadOrder(LoadOrder),
    /// Owner to side process.
    #[prost(message, tag = "14")]
    UnloadOrder(UnloadOrder),
    /// Side process to owner.
    #[prost(message, tag = "15")]
    OrderOutcome(OrderOutcome),
    /// Side process to owner.
    #[prost(message, tag = "16")]
    BackendReport(BackendReport),
    /// Owner to side process.
    #[prost(message, tag = "17")]
    ReportSubscription(ReportSubscription),
    /// A message of the lists' spread, encoded by that package.
    #[prost(bytes = "bytes", tag = "18")]
    ListSpread(bytes::Bytes),
    /// A message of the idempotency claims, encoded by that package.
    #[prost(bytes = "bytes", tag = "19")]
    ClaimExchange(bytes::Bytes),
    /// Side process to entry.
    #[prost(message, tag = "20")]
    EpochNotice(EpochNotice),
    /// Entry to side process.
    #[prost(message, tag = "21")]
    LeaveNotice(LeaveNotice),
}

impl From<Message> for Envelope {
    fn from(message: Message) -> Self {
        Self { list_version: 0, message: Some(message) }
    }
}
