//! What a check of a configuration reports.

use std::fmt;

use base::prelude::*;

use crate::{
    route::RouteName,
    routes::CatalogVersion,
    units::{Megabytes, TokenCount},
    workspace::WorkspaceName,
};

/// How serious a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Severity {
    /// The document or a part of it is rejected or without any effect.
    Error,
    /// A value is ignored or contradicts another one.
    Warning,
    /// A difference from the version in force; no fault.
    Change,
}

impl Severity {
    /// Whether a finding of this severity is a fault.
    pub fn is_fault(self) -> bool {
        match self {
            Severity::Error | Severity::Warning => true,
            Severity::Change => false,
        }
    }
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
            Severity::Change => "change",
        })
    }
}

/// A limit for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LimitField {
    /// Maximum size of the request head.
    MaxHead,
    /// Maximum size of the request body.
    MaxBody,
    /// Maximum time for receiving a request head.
    HeadTimeout,
    /// Maximum time that a connection may stay idle.
    IdleTimeout,
}

/// A field of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteField {
    /// The route as a whole.
    Whole,
    /// Host that the route matches.
    Host,
    /// Path prefix that the route matches.
    Prefix,
    /// The only service of the route.
    OnlyTarget,
    /// The service with this index among several.
    Target(usize),
    /// Maximum time of a request.
    Timeout,
    /// Latency goal for the gap between two events.
    PauseGoal,
    /// Maximum number of attempts.
    Attempts,
}

/// A field of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServiceField {
    /// The service as a whole.
    Whole,
    /// Maximum number of connections to one backend server.
    MaxConnections,
    /// Batch slots of its engines.
    BatchSlots,
    /// Adapter slots of its engines.
    AdapterSlots,
    /// Models of its engines.
    Models,
    /// Sizes and rates of its engines.
    Engine,
}

/// A field of a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WorkspaceField {
    /// The workspace as a whole.
    Whole,
    /// Keys of its callers.
    Keys,
    /// Tokens that may be used at once.
    Burst,
    /// Cost of a request that does not state its tokens.
    PlainCost,
}

/// Where in the document a finding is; indexes begin at zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[allow(missing_docs, reason = "the fields are an index and a field of the named part")]
pub enum Place {
    /// The version number.
    Version,
    /// A limit for callers.
    Limit(LimitField),
    /// The list of routes.
    Routes,
    /// A route.
    Route { index: usize, field: RouteField },
    /// The list of services.
    Services,
    /// A service.
    Service { index: usize, field: ServiceField },
    /// The list of workspaces.
    Workspaces,
    /// A workspace.
    Workspace { index: usize, field: WorkspaceField },
}

/// What was found, with the values. Its text says what the entries do.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs, reason = "the fields are the values that the text of the variant shows")]
pub enum FindingKind {
    /// An earlier route has the same host and prefix.
    DuplicateRoute { host: String, prefix: String, first: usize, first_name: RouteName },
    /// No request has such a host.
    UnmatchableHost { host: String },
    /// No request has a path that begins so.
    UnmatchablePrefix { prefix: String },
    /// A route without a service.
    NoService,
    /// A route leads to a service that the configuration does not have.
    UnknownService { service: ServiceName },
    /// A service of a route has no share of its requests.
    ZeroWeight { service: ServiceName },
    /// No service of a route has a share of its requests.
    OnlyZeroWeights { first: ServiceName },
    /// A request of the route has no time.
    ZeroTimeout,
    /// The timeout ends before the goal is due.
    TimeoutBelowGoal { timeout: Duration, goal: Duration },
    /// The timeout ends before the goal for a gap is due.
    PauseGoalAboveTimeout { goal: Duration, timeout: Duration },
    /// Several attempts where a request that may have run is never sent again.
    AttemptsWithoutRetry { attempts: u32 },
    /// A later service has the same name.
    DuplicateService { service: ServiceName, last: usize },
    /// No connection to a backend server is allowed.
    NoConnections,
    /// Engines without room for a request.
    NoBatchSlots,
    /// A model that no engine has memory for.
    ModelTooLarge { model: ModelId, size: Megabytes, capacity: Megabytes },
    /// An earlier model of the service has the same name.
    DuplicateModel { model: ModelId },
    /// A model has adapters, but its engines have no room for one.
    AdaptersWithoutSlots { model: ModelId, adapters: u32 },
    /// A size or rate below zero.
    NegativeValue { value: &'static str, amount: f64 },
    /// A limit of zero.
    ZeroLimit,
    /// The limit for heads is above the one for bodies.
    HeadAboveBody { head: ByteSize, body: ByteSize },
    /// Connections are closed before a head is late.
    IdleBelowHeadTimeout { idle: Duration, head: Duration },
    /// Callers need a key, but there is none.
    NoWorkspaces,
    /// An earlier workspace has the same name.
    DuplicateWorkspace { name: WorkspaceName, first: usize },
    /// A workspace without keys.
    NoKeys,
    /// Keys that an earlier workspace lists, too.
    SharedKeys { count: usize, first: usize, first_name: WorkspaceName },
    /// Keys that the same workspace lists more than once.
    RepeatedKeys { count: usize },
    /// The burst is below the cost of a legal request.
    BurstBelowRequest { burst: TokenCount, cost: TokenCount },
    /// A request that does not state its tokens costs more than the rate and the burst.
    PlainCostAboveQuota { cost: TokenCount, rate: EventRate, burst: TokenCount },
    /// The version is not above the one in force.
    VersionNotNewer { version: CatalogVersion, in_force: CatalogVersion },
    /// A part that the version in force does not have.
    Added { part: String },
    /// A part that only the version in force has.
    Removed { part: String },
    /// A value that differs from the one in force.
    Changed { part: String, value: &'static str, before: String, after: String },
    /// Keys of a workspace that differ from those in force.
    KeysChanged { name: WorkspaceName, added: usize, removed: usize },
    /// Callers need a key from this version on.
    KeysRequired,
    /// Callers need no key any more.
    KeysNotRequired,
}

impl FindingKind {
    /// How serious it is.
    pub fn severity(&self) -> Severity {
        use FindingKind as Kind;
        match self {
            Kind::DuplicateRoute { .. }
            | Kind::UnmatchableHost { .. }
            | Kind::UnmatchablePrefix { .. }
            | Kind::NoService
            | Kind::UnknownService { .. }
            | Kind::ZeroTimeout
            | Kind::DuplicateService { .. }
            | Kind::NoConnections
            | Kind::NoBatchSlots
            | Kind::ModelTooLarge { .. }
            | Kind::NegativeValue { .. }
            | Kind::NoWorkspaces
            | Kind::DuplicateWorkspace { .. }
            | Kind::SharedKeys { .. }
            | Kind::PlainCostAboveQuota { .. }
            | Kind::VersionNotNewer { .. } => Severity::Error,
            Kind::ZeroWeight { .. }
            | Kind::OnlyZeroWeights { .. }
            | Kind::TimeoutBelowGoal { .. }
            | Kind::PauseGoalAboveTimeout { .. }
            | Kind::AttemptsWithoutRetry { .. }
            | Kind::DuplicateModel { .. }
            | Kind::AdaptersWithoutSlots { .. }
            | Kind::ZeroLimit
            | Kind::HeadAboveBody { .. }
            | Kind::IdleBelowHeadTimeout { .. }
            | Kind::NoKeys
            | Kind::RepeatedKeys { .. }
            | Kind::BurstBelowRequest { .. } => Severity::Warning,
            Kind::Added { .. }
            | Kind::Removed { .. }
            | Kind::Changed { .. }
            | Kind::KeysChanged { .. }
            | Kind::KeysRequired
            | Kind::KeysNotRequired => Severity::Change,
        }
    }
}

impl fmt::Display for FindingKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        use FindingKind as Kind;
        match self {
            Kind::DuplicateRoute { host, prefix, first, first_name } => write!(
                f,
                "same host and path prefix as route {first} ({first_name}), {host} {prefix}, which \
                 gets all requests"
            ),
            Kind::UnmatchableHost { host } => {
                write!(f, "no request has the host {host}; the route gets no requests")
            }
            Kind::UnmatchablePrefix { prefix } => {
                write!(f, "no path begins with {prefix}; the route gets no requests")
            }
            Kind::NoService => write!(f, "no service; all requests are refused"),
            Kind::UnknownService { service } => write!(
                f,
                "no such service, {service}; requests are refused unless backend servers register \
                 under this name"
            ),
            Kind::ZeroWeight { service } => {
                write!(f, "weight 0; the service {service} gets no requests of the route")
            }
            Kind::OnlyZeroWeights { first } => {
                write!(f, "all weights are 0; the first service, {first}, gets all requests")
            }
            Kind::ZeroTimeout => write!(f, "timeout 0 ms; all requests are refused"),
            Kind::TimeoutBelowGoal { timeout, goal } => write!(
                f,
                "timeout {timeout:?}, below the goal of {goal:?}; requests end before the goal is due"
            ),
            Kind::PauseGoalAboveTimeout { goal, timeout } => write!(
                f,
                "goal {goal:?} for a gap between events, above the timeout of {timeout:?}; requests \
                 end before the goal is due"
            ),
            Kind::AttemptsWithoutRetry { attempts } => write!(
                f,
                "{attempts} attempts, but requests of this kind may run only once; they are not \
                 sent again once they may have run"
            ),
            Kind::DuplicateService { service, last } => {
                write!(f, "same name as service {last}, {service}, which replaces this one")
            }
            Kind::NoConnections => {
                write!(f, "0 connections to a backend server; all requests are refused")
            }
            Kind::NoBatchSlots => write!(f, "0 slots in a batch; engines run no requests"),
            Kind::ModelTooLarge { model, size, capacity } => write!(
                f,
                "model {model} with {size}, above the {capacity} of an engine; it is never loaded"
            ),
            Kind::DuplicateModel { model } => {
                write!(f, "second model named {model}; only the first counts")
            }
            Kind::AdaptersWithoutSlots { model, adapters } => write!(
                f,
                "0 slots for adapters, but model {model} has {adapters}; no adapter is loaded"
            ),
            Kind::NegativeValue { value, amount } => {
                write!(f, "{value} {amount}, below 0; entries calculate with it as it is")
            }
            Kind::ZeroLimit => write!(f, "limit 0; whatever it limits is refused"),
            Kind::HeadAboveBody { head, body } => write!(
                f,
                "limit {head} for request heads, above the {body} for bodies; heads may be larger \
                 than any body"
            ),
            Kind::IdleBelowHeadTimeout { idle, head } => write!(
                f,
                "idle timeout {idle:?}, below the {head:?} for receiving a head; connections are \
                 closed before a head is late"
            ),
            Kind::NoWorkspaces => {
                write!(f, "empty list; only anonymous routes serve requests, others get 401")
            }
            Kind::DuplicateWorkspace { name, first } => write!(
                f,
                "same name as workspace {first}, {name}; both share one account, with the quota of \
                 the last one that has one"
            ),
            Kind::NoKeys => write!(f, "no keys; no request belongs to this workspace"),
            Kind::SharedKeys { count, first, first_name } => write!(
                f,
                "{} also listed at workspace {first} ({first_name}), to which the requests belong",
                key_count(*count)
            ),
            Kind::RepeatedKeys { count } => {
                write!(f, "{} listed more than once; repetitions do not count", key_count(*count))
            }
            Kind::BurstBelowRequest { burst, cost } => write!(
                f,
                "burst of {burst} tokens, below the {cost} of a legal request; such a request is \
                 over the quota and runs only within its tolerance"
            ),
            Kind::PlainCostAboveQuota { cost, rate, burst } => write!(
                f,
                "{cost} tokens for a request that does not state them, above the rate of {rate} and \
                 the burst of {burst}; each such request is over the quota and runs only \
                 within its tolerance"
            ),
            Kind::VersionNotNewer { version, in_force } => write!(
                f,
                "version {version}, not above the version in force, {in_force}; entries ignore the \
                 document"
            ),
            Kind::Added { part } => write!(f, "{part}: added"),
            Kind::Removed { part } => write!(f, "{part}: removed"),
            Kind::Changed { part, value, before, after } => {
                write!(f, "{part}: {value} {before} -> {after}")
            }
            Kind::KeysChanged { name, added, removed } => {
                write!(f, "workspace {name}: {} added, {removed} removed", key_count(*added))
            }
            Kind::KeysRequired => write!(f, "callers need a key, before they needed none"),
            Kind::KeysNotRequired => write!(f, "callers need no key, before they needed one"),
        }
    }
}

/// A number of keys in words.
pub(super) fn key_count(count: usize) -> String {
    match count {
        1 => "1 key".to_owned(),
        _ => format!("{count} keys"),
    }
}

/// A fault or a difference, and its place.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Place in the checked document.
    pub place: Place,
    /// What was found.
    pub kind: FindingKind,
}

impl Finding {
    /// Creates a finding.
    pub fn new(place: Place, kind: FindingKind) -> Self {
        Self { place, kind }
    }

    /// How serious it is.
    pub fn severity(&self) -> Severity {
        self.kind.severity()
    }
}
