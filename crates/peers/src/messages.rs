//! The messages that datagrams carry. Times are in milliseconds, counted from the moment of
//! sending; the sender's wall-clock times are never sent.

use crate::{
    limit_messages::{LimitGrantMessage, LimitQueryMessage, LimitState},
    origin_messages::{OriginQuery, OriginReply, OriginReport},
    quota_messages::{QuotaGrantMessage, QuotaHandover, QuotaQueryMessage},
};

/// One datagram: identity of the sender and the message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// VM of the sender.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of the sending process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number of the datagram within the incarnation, from one.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The message; none if its kind is unknown to the receiver.
    #[prost(
        oneof = "DatagramBody",
        tags = "4, 5, 6, 7, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26"
    )]
    pub body: Option<DatagramBody>,
}

/// The message that a datagram carries.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum DatagramBody {
    /// From an entry to another entry.
    #[prost(message, tag = "4")]
    EntryHeartbeat(EntryHeartbeat),
    /// From an entry to a side process: requests the state of its engine.
    #[prost(message, tag = "5")]
    SideHeartbeat(SideHeartbeat),
    /// From a side process to the entries.
    #[prost(message, tag = "6")]
    EngineState(EngineState),
    /// From a side process to the entries, when only the load changed.
    #[prost(message, tag = "7")]
    EngineLoad(EngineLoad),
    /// From the planner to a side process.
    #[prost(message, tag = "9")]
    ChangeRequest(ChangeRequest),
    /// From an entry to the planner.
    #[prost(message, tag = "10")]
    DemandReport(DemandReport),
    /// From the planner to the entries.
    #[prost(message, tag = "11")]
    LoadEstimates(LoadEstimates),
    /// From an entry to a side process: requests a permit to send a request to the engine.
    #[prost(message, tag = "12")]
    PermitRequest(PermitRequest),
    /// From a side process to the entry that requested a permit.
    #[prost(message, tag = "13")]
    PermitReply(PermitReply),
    /// From an entry to a side process: the prefill of a request has ended, or the request was
    /// given up.
    #[prost(message, tag = "14")]
    PermitRelease(PermitRelease),
    /// From an entry to the entries that count the crashes under the reported requests.
    #[prost(message, tag = "15")]
    CrashReport(CrashReport),
    /// From an entry to another entry: requests its blocks.
    #[prost(message, tag = "16")]
    BlockQuery(BlockQuery),
    /// From an entry to other entries: requests that they shall refuse.
    #[prost(message, tag = "17")]
    BlockReport(BlockReport),
    /// From an entry to the entry that shares out the limit of a backend server.
    #[prost(message, tag = "18")]
    LimitQuery(LimitQueryMessage),
    /// The answer to a [`LimitQueryMessage`].
    #[prost(message, tag = "19")]
    LimitGrant(LimitGrantMessage),
    /// From the entry that shares out a limit to the other entries: it is another one.
    #[prost(message, tag = "20")]
    LimitReport(LimitState),
    /// From an entry to the processes that keep the origin of a stream.
    #[prost(message, tag = "21")]
    OriginReport(OriginReport),
    /// From an entry to the processes that may keep the origin of a stream: requests it.
    #[prost(message, tag = "22")]
    OriginQuery(OriginQuery),
    /// The answer to an [`OriginQuery`].
    #[prost(message, tag = "23")]
    OriginReply(OriginReply),
    /// From an entry to the entry that keeps the accounts of workspaces.
    #[prost(message, tag = "24")]
    QuotaQuery(QuotaQueryMessage),
    /// The answer to a [`QuotaQueryMessage`].
    #[prost(message, tag = "25")]
    QuotaGrant(QuotaGrantMessage),
    /// From an entry that kept accounts to the one that keeps them from now on.
    #[prost(message, tag = "26")]
    QuotaHandover(QuotaHandover),
}

/// An entry process and its address.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerAddress {
    /// VM that it runs on.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Address for datagrams, as `IP:PORT`.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Sent by an entry to show that it is live.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryHeartbeat {
    /// The sender's share of a core, in thousandths; zero while it knows no backend servers, and so
    /// cannot plan.
    #[prost(uint32, tag = "1")]
    pub core_share: u32,
    /// Whether the sender is draining after a planned stop began.
    #[prost(bool, tag = "2")]
    pub is_draining: bool,
    /// Some of the other live entries that the sender knows.
    #[prost(message, repeated, tag = "3")]
    pub known: Vec<PeerAddress>,
    /// The newest observation of the platform's store that the sender knows of.
    #[prost(message, optional, tag = "4")]
    pub store: Option<StoreSighting>,
    /// Digest of the sender's active blocks; zero without any.
    #[prost(fixed64, tag = "5")]
    pub block_digest: u64,
    /// Version of the configuration that the sender uses; zero before the first.
    #[prost(uint64, tag = "6")]
    pub catalog_version: u64,
}

/// A revision that the platform's store had reached.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct StoreSighting {
    /// Revision that covers all changes acknowledged up to the time of the observation.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Age of the observation, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Number of times that the store had been restored from a copy.
    #[prost(uint64, tag = "3")]
    pub era: u64,
}

/// Sent by an entry to subscribe to the state of a side process's engine.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SideHeartbeat {
    /// Number of the last [`EngineState`] that the entry has received; zero if none.
    #[prost(uint64, tag = "1")]
    pub known_state: u64,
}

/// A model that is loaded in an engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResidentState {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of its weights, as the engine reports it.
    #[prost(uint64, tag = "2")]
    pub weights_version: u64,
    /// Names of the adapters that are loaded for the model.
    #[prost(string, repeated, tag = "3")]
    pub adapters: Vec<String>,
    /// Arrival rates of its requests at this engine.
    #[prost(message, optional, tag = "4")]
    pub past_rates: Option<PastRates>,
}

/// A load in progress.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadingModel {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Time until it is expected to be ready, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub ready_in_ms: u32,
    /// Whether the weights come from the weight store.
    #[prost(bool, tag = "3")]
    pub is_from_store: bool,
}

/// The state of an engine, as its side process knows it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineState {
    /// Address of the engine, as `IP:PORT`.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Whether the engine answered the last poll.
    #[prost(bool, tag = "2")]
    pub is_reachable: bool,
    /// Start of the engine's incarnation by its own clock, in milliseconds of the Unix epoch; zero
    /// if unknown.
    #[prost(uint64, tag = "3")]
    pub started: u64,
    /// Number of orders that the engine has accepted.
    #[prost(uint64, tag = "4")]
    pub orders: u64,
    /// Models that are loaded.
    #[prost(message, repeated, tag = "5")]
    pub residents: Vec<ResidentState>,
    /// The load in progress; none if no model is being loaded.
    #[prost(message, optional, tag = "6")]
    pub loading: Option<LoadingModel>,
    /// Model that is being unloaded; empty if none.
    #[prost(string, tag = "7")]
    pub unloading: String,
    /// Models with a copy in the memory of the VM.
    #[prost(string, repeated, tag = "8")]
    pub copies_in_memory: Vec<String>,
    /// Models with a copy on the disk of the VM.
    #[prost(string, repeated, tag = "9")]
    pub copies_on_disk: Vec<String>,
    /// Present load of the engine; the agent always sets it.
    #[prost(message, optional, tag = "10")]
    pub load: Option<EngineLoad>,
    /// Whether the side process accepts change requests now.
    #[prost(bool, tag = "11")]
    pub takes_changes: bool,
}

/// Load of an engine.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct EngineLoad {
    /// Number of requests running at the engine.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// Number of requests queued at the engine.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Tokens in the engine's memory that cannot be evicted.
    #[prost(uint64, tag = "3")]
    pub tokens_used: u64,
    /// Number of the [`EngineState`] that this load belongs to.
    #[prost(uint64, tag = "4")]
    pub state_number: u64,
    /// Prompt tokens in prefill or queued for prefill.
    #[prost(uint64, tag = "5")]
    pub queued_prefill: u64,
}

/// Requests a permit to send a request to an engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitRequest {
    /// Number of the request, unique within the incarnation of its entry.
    #[prost(uint64, tag = "1")]
    pub key: u64,
    /// Name of the engine.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Name of the model.
    #[prost(string, tag = "3")]
    pub model: String,
    /// Name of the adapter; empty for the base model.
    #[prost(string, tag = "4")]
    pub adapter: String,
    /// Length of the prompt in tokens.
    #[prost(uint64, tag = "5")]
    pub tokens: u64,
    /// Time until the deadline of its first event, in milliseconds; zero once it has passed.
    #[prost(uint32, tag = "6")]
    pub due_in_ms: u32,
}

/// Answers a [`PermitRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PermitReply {
    /// Number of the request, unique within the incarnation of its entry.
    #[prost(uint64, tag = "1")]
    pub key: u64,
    /// Whether the request may be sent now.
    #[prost(enumeration = "PermitDecision", tag = "2")]
    pub decision: i32,
}

/// Decision of a side process about a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum PermitDecision {
    /// The request waits; another reply follows.
    Queued = 0,
    /// The request may be sent to the engine.
    Admitted = 1,
    /// The model is not loaded in the engine.
    ModelMissing = 2,
}

/// Releases a permit: the first event of the request has arrived, or it was given up.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PermitRelease {
    /// Number of the request, unique within the incarnation of its entry.
    #[prost(uint64, tag = "1")]
    pub key: u64,
}

/// A request whose answer had not begun when its backend server crashed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectRequest {
    /// Keys of the request.
    #[prost(fixed64, repeated, tag = "1")]
    pub keys: Vec<u64>,
    /// Time since it was sent to the backend server, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub sent_ms_ago: u32,
    /// Time since the crash, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub crashed_ms_ago: u32,
    /// Answers that the sender has received to requests with some of the keys.
    #[prost(message, repeated, tag = "4")]
    pub answered: Vec<KeyAnswer>,
}

/// The last answer to a request with a key.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct KeyAnswer {
    /// The key.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// Time since the answer began, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub ms_ago: u32,
}

/// Reports requests that were in flight at a crash.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashReport {
    /// The requests.
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<SuspectRequest>,
}

/// Asks another entry for its active blocks.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct BlockQuery {}

/// A block of the requests that have all of its keys.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BlockState {
    /// The keys.
    #[prost(fixed64, repeated, tag = "1")]
    pub keys: Vec<u64>,
    /// Time until it ends, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub remaining_ms: u32,
    /// How often it was renewed.
    #[prost(uint32, tag = "3")]
    pub renewals: u32,
    /// Time since the first request with the keys was sent that was in flight at a crash, in
    /// milliseconds.
    #[prost(uint32, tag = "4")]
    pub since_ms_ago: u32,
    /// Time since it was decided, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub decided_ms_ago: u32,
    /// Those of the keys that are no suspects, because requests with them were answered since.
    #[prost(fixed64, repeated, tag = "6")]
    pub cleared: Vec<u64>,
}

/// Blocks that are in force at the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BlockReport {
    /// The blocks.
    #[prost(message, repeated, tag = "1")]
    pub blocks: Vec<BlockState>,
}

/// The planner requests that a side process change which models its engine holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeRequest {
    /// Name of the engine.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// [`EngineState::started`] of the incarnation that the plan is for.
    #[prost(uint64, tag = "2")]
    pub started: u64,
    /// Number of orders that the engine had accepted when the plan was made.
    #[prost(uint64, tag = "3")]
    pub orders: u64,
    /// Models to unload first.
    #[prost(string, repeated, tag = "4")]
    pub unload: Vec<String>,
    /// Model to load; empty if the change only frees memory.
    #[prost(string, tag = "5")]
    pub load: String,
    /// Expected duration of the load, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub load_ms: u32,
    /// Whether the weights come from the weight store.
    #[prost(bool, tag = "8")]
    pub is_from_store: bool,
}

/// Number of requests of one entry for one model that run at one engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RunningRequests {
    /// Name of the engine.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// Streams that wait for an engine of the software version that began them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WaitingStreams {
    /// The version.
    #[prost(string, tag = "1")]
    pub software: String,
    /// Number of streams.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// Demand for one model at one entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ModelDemand {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Number of requests for it since the entry started.
    #[prost(uint64, tag = "2")]
    pub arrivals: u64,
    /// Number of requests that wait at the entry for it.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Time until the first of them misses its goal, in milliseconds; zero once it has.
    #[prost(uint32, tag = "4")]
    pub slack_ms: u32,
    /// Requests for it that run, by engine.
    #[prost(message, repeated, tag = "5")]
    pub running: Vec<RunningRequests>,
    /// Most urgent priority among the waiting requests.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// Arrival rates up to now. A planner without earlier reports of this entry starts from them;
    /// it treats missing rates as zero.
    #[prost(message, optional, tag = "7")]
    pub past_rates: Option<PastRates>,
    /// Streams that wait at the entry for an engine of one software version.
    #[prost(message, repeated, tag = "8")]
    pub streams: Vec<WaitingStreams>,
}

/// Arrival rates of one model's requests at one entry or engine up to now, in requests per second.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PastRates {
    /// Exponential average with a time constant of a few seconds.
    #[prost(double, tag = "1")]
    pub recent: f64,
    /// Exponential average with a longer time constant.
    #[prost(double, tag = "2")]
    pub long_term: f64,
}

/// Demand at one entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DemandReport {
    /// The models whose demand changed or is not zero.
    #[prost(message, repeated, tag = "1")]
    pub models: Vec<ModelDemand>,
}

/// The planner's estimate of when a model is loaded.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ModelEstimate {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Time until it is loaded, in milliseconds; none if no load is expected soon.
    #[prost(uint32, optional, tag = "2")]
    pub ready_in_ms: Option<u32>,
    /// Software version of the engine, if streams wait for one; empty if any will do.
    #[prost(string, tag = "3")]
    pub software: String,
}

/// Estimates for the models that requests wait for.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadEstimates {
    /// One estimate for each model.
    #[prost(message, repeated, tag = "1")]
    pub models: Vec<ModelEstimate>,
}
