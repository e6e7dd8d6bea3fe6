//! The envelope message that every frame after the handshake holds.

use prost::{Message as ProstMessage, Oneof};

use crate::{
    credit::{CreditRefusal, CreditRequest, CreditReturn, Grant},
    load::{BackendReport, LeaveNotice, LoadOrder, OrderOutcome, ReportSubscription, UnloadOrder},
    run::{
        AnswerChunk, AnswerEnd, AnswerHead, CancelAck, EpochNotice, RunCancel, RunRefusal,
        RunRequest,
    },
};

/// Content of a frame: a message, with the version of the lists at its sender.
#[derive(Clone, PartialEq, ProstMessage)]
pub struct Envelope {
    /// Version of the lists at the sender; zero if it has none or does not report it.
    #[prost(uint64, tag = "1")]
    pub list_version: u64,
    /// The message; absent in a heartbeat.
    #[prost(
        oneof = "Message",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21"
    )]
    pub message: Option<Message>,
}

/// Kinds of messages that a frame can hold.
///
/// The variant names appear in log lines about unexpected messages.
#[derive(Clone, PartialEq, Oneof)]
pub enum Message {
    /// Entry to owner: requests a credit on a backend server.
    #[prost(message, tag = "2")]
    Ask(CreditRequest),
    /// Owner to entry: grants a credit.
    #[prost(message, tag = "3")]
    Grant(Grant),
    /// Owner to entry: refuses a credit request.
    #[prost(message, tag = "4")]
    AskRefusal(CreditRefusal),
    /// Entry to owner: returns a credit or withdraws a credit request.
    #[prost(message, tag = "5")]
    CreditReturn(CreditReturn),
    /// Entry to side process: hands a request over.
    #[prost(message, tag = "6")]
    RunRequest(RunRequest),
    /// Side process to entry: refuses a request that has not run.
    #[prost(message, tag = "7")]
    RunRefusal(RunRefusal),
    /// Side process to entry: status and headers of an answer.
    #[prost(message, tag = "8")]
    AnswerHead(AnswerHead),
    /// Side process to entry: a part of an answer's body.
    #[prost(message, tag = "9")]
    AnswerChunk(AnswerChunk),
    /// Side process to entry: the end of an answer.
    #[prost(message, tag = "10")]
    AnswerEnd(AnswerEnd),
    /// Entry to side process: withdraws a request.
    #[prost(message, tag = "11")]
    RunCancel(RunCancel),
    /// Side process to entry: whether a withdrawn request may have run.
    #[prost(message, tag = "12")]
    CancelAck(CancelAck),
    /// Owner to side process: orders a load.
    #[prost(message, tag = "13")]
    LoadOrder(LoadOrder),
    /// Owner to side process: orders an unload.
    #[prost(message, tag = "14")]
    UnloadOrder(UnloadOrder),
    /// Side process to owner: the outcome of a load or unload order.
    #[prost(message, tag = "15")]
    OrderOutcome(OrderOutcome),
    /// Side process to a subscribed owner: state of the backend server.
    #[prost(message, tag = "16")]
    BackendReport(BackendReport),
    /// Owner to side process: subscribes to reports.
    #[prost(message, tag = "17")]
    ReportSubscription(ReportSubscription),
    /// A message of the list distribution, encoded by `lists::spread`.
    #[prost(bytes = "bytes", tag = "18")]
    ListSpread(bytes::Bytes),
    /// A message about idempotency claims, encoded by `once::exchange`.
    #[prost(bytes = "bytes", tag = "19")]
    ClaimExchange(bytes::Bytes),
    /// Side process to entry: announces the current epoch.
    #[prost(message, tag = "20")]
    EpochNotice(EpochNotice),
    /// Entry to side process: orders a drain, because the VM list marks the VM as leaving.
    #[prost(message, tag = "21")]
    LeaveNotice(LeaveNotice),
}

impl From<Message> for Envelope {
    fn from(message: Message) -> Self {
        Self { list_version: 0, message: Some(message) }
    }
}
