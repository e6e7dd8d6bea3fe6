//! The messages. Times are milliseconds from the moment of sending, never wall-clock times.

/// One datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// VM of the sender.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of the sending process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the datagram within the incarnation; late ones are passed over.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Contents.
    #[prost(oneof = "DatagramBody", tags = "4, 5, 6, 7, 9, 10, 11, 12, 13, 14")]
    pub body: Option<DatagramBody>,
}

/// Contents of a datagram.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum DatagramBody {
    /// An entry to another entry.
    #[prost(message, tag = "4")]
    EntryBeat(EntryBeat),
    /// An entry to a side process: send me your engine's state.
    #[prost(message, tag = "5")]
    SideBeat(SideBeat),
    /// A side process to the entries.
    #[prost(message, tag = "6")]
    EngineState(EngineState),
    /// A side process to the entries, when only the load changed.
    #[prost(message, tag = "7")]
    EngineLoad(EngineLoad),
    /// The planner to a side process.
    #[prost(message, tag = "9")]
    ChangeWanted(ChangeWanted),
    /// An entry to the planner.
    #[prost(message, tag = "10")]
    LoadDemand(LoadDemand),
    /// The planner to the entries.
    #[prost(message, tag = "11")]
    Outlooks(Outlooks),
    /// An entry to a side process: a request wants to go to the engine.
    #[prost(message, tag = "12")]
    RunAsk(RunAsk),
    /// A side process to the entry that asked.
    #[prost(message, tag = "13")]
    RunAnswer(RunAnswer),
    /// An entry to a side process: the prompt of a request is read, or it was given up.
    #[prost(message, tag = "14")]
    RunEnd(RunEnd),
}

/// An entry process and where it listens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerAddress {
    /// Its VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its address for datagrams.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// An entry is live.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryBeat {
    /// Share of a core that it has, in thousandths.
    #[prost(uint32, tag = "1")]
    pub core_share: u32,
    /// Whether a planned stop has begun.
    #[prost(bool, tag = "2")]
    pub is_draining: bool,
    /// Other entries that it knows.
    #[prost(message, repeated, tag = "3")]
    pub known: Vec<PeerAddress>,
}

/// An entry wants to hear from a side process.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SideBeat {
    /// Number of the last whole state that the entry has; zero if none.
    #[prost(uint64, tag = "1")]
    pub known_state: u64,
}

/// A model that an engine holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResidentState {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of its weights.
    #[prost(uint64, tag = "2")]
    pub weights_version: u64,
    /// Adapters.
    #[prost(string, repeated, tag = "3")]
    pub adapters: Vec<String>,
}

/// A load in progress.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadingModel {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Time until it is expected to be ready.
    #[prost(uint32, tag = "2")]
    pub ready_in_ms: u32,
    /// Whether the weights come from the weight store.
    #[prost(bool, tag = "3")]
    pub is_from_store: bool,
}

/// What a side process knows of its engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineState {
    /// Address of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Whether the engine answers.
    #[prost(bool, tag = "2")]
    pub is_reachable: bool,
    /// Start of the engine's incarnation; zero if unknown.
    #[prost(uint64, tag = "3")]
    pub started: u64,
    /// Orders that the engine has accepted.
    #[prost(uint64, tag = "4")]
    pub orders: u64,
    /// Models that it holds.
    #[prost(message, repeated, tag = "5")]
    pub residents: Vec<ResidentState>,
    /// A load in progress.
    #[prost(message, optional, tag = "6")]
    pub loading: Option<LoadingModel>,
    /// A model that is being dropped; empty if none.
    #[prost(string, tag = "7")]
    pub unloading: String,
    /// Models with a copy in the memory of the VM.
    #[prost(string, repeated, tag = "8")]
    pub copies_in_memory: Vec<String>,
    /// Models with a copy on the disk.
    #[prost(string, repeated, tag = "9")]
    pub copies_on_disk: Vec<String>,
    /// Load.
    #[prost(message, optional, tag = "10")]
    pub load: Option<EngineLoad>,
    /// Whether the side process can give orders now.
    #[prost(bool, tag = "11")]
    pub takes_changes: bool,
}

/// Load of an engine.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct EngineLoad {
    /// Requests that run.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// Requests that wait.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Tokens in memory that cannot yield.
    #[prost(uint64, tag = "3")]
    pub tokens_used: u64,
    /// Number of the whole state that this belongs to.
    #[prost(uint64, tag = "4")]
    pub state_number: u64,
    /// Tokens of prompts that the engine has to read, or that wait for it.
    #[prost(uint64, tag = "5")]
    pub unread: u64,
}

/// A request wants to go to an engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RunAsk {
    /// Number of the request at its entry.
    #[prost(uint64, tag = "1")]
    pub key: u64,
    /// Name of the engine.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Model.
    #[prost(string, tag = "3")]
    pub model: String,
    /// Adapter; empty for the model itself.
    #[prost(string, tag = "4")]
    pub adapter: String,
    /// Length of the prompt in tokens.
    #[prost(uint64, tag = "5")]
    pub tokens: u64,
    /// Time until its first event is late; zero once it is.
    #[prost(uint32, tag = "6")]
    pub due_in_ms: u32,
}

/// What becomes of a request that wants to go to an engine.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RunAnswer {
    /// Number of the request at its entry.
    #[prost(uint64, tag = "1")]
    pub key: u64,
    /// What the request does.
    #[prost(enumeration = "RunVerdict", tag = "2")]
    pub verdict: i32,
}

/// What a request does that wants to go to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RunVerdict {
    /// It waits; another answer follows.
    Waits = 0,
    /// It goes to the engine.
    Goes = 1,
    /// The engine does not hold its model.
    Missing = 2,
}

/// A request has had its first event, or was given up.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RunEnd {
    /// Number of the request at its entry.
    #[prost(uint64, tag = "1")]
    pub key: u64,
}

/// The planner wants an engine to hold something else.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeWanted {
    /// Name of the engine.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Incarnation of the engine that the plan is for.
    #[prost(uint64, tag = "2")]
    pub started: u64,
    /// Orders that the engine had accepted when the plan was made.
    #[prost(uint64, tag = "3")]
    pub orders: u64,
    /// Models to drop first.
    #[prost(string, repeated, tag = "4")]
    pub unload: Vec<String>,
    /// Model to load; empty if only room is to be made.
    #[prost(string, tag = "5")]
    pub load: String,
    /// Time that the load is expected to take.
    #[prost(uint32, tag = "7")]
    pub load_ms: u32,
    /// Whether the weights come from the weight store.
    #[prost(bool, tag = "8")]
    pub is_from_store: bool,
}

/// Requests of one entry that are at one engine for one model.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RunsAtEngine {
    /// Name of the engine.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub runs: u32,
}

/// Demand for one model at one entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ModelDemand {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Requests for it since the entry started.
    #[prost(uint64, tag = "2")]
    pub arrivals: u64,
    /// Requests that wait for it.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Time until the first of them misses its goal; zero once it has.
    #[prost(uint32, tag = "4")]
    pub slack_ms: u32,
    /// Where requests for it run.
    #[prost(message, repeated, tag = "5")]
    pub runs: Vec<RunsAtEngine>,
    /// Most urgent priority among those that wait.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// Demand until now.
    #[prost(message, optional, tag = "7")]
    pub past: Option<PastRates>,
}

/// Requests a second for one model at one entry until now.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PastRates {
    /// Averaged over the last seconds.
    #[prost(double, tag = "1")]
    pub recent: f64,
    /// Averaged over a longer time.
    #[prost(double, tag = "2")]
    pub long: f64,
}

/// Demand at one entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadDemand {
    /// The models whose demand changed, or is not nothing.
    #[prost(message, repeated, tag = "1")]
    pub models: Vec<ModelDemand>,
}

/// When a model is expected to be loaded.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ModelOutlook {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Time until it is there; none if it is not going to be loaded soon.
    #[prost(uint32, optional, tag = "2")]
    pub ready_in_ms: Option<u32>,
}

/// When the models that requests wait for are expected.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Outlooks {
    /// The models.
    #[prost(message, repeated, tag = "1")]
    pub models: Vec<ModelOutlook>,
}
