//! The events and their fields. Fields that end in `_ms` are times in milliseconds.

use std::net::SocketAddr;

use base::prelude::*;
use catalog::{CatalogVersion, RouteName, WorkspaceName};
use dispatch::{CallId, ModelTarget};
use roster::InstanceId;
use serde::Serialize;
use suspects::SuspectKeys;

use crate::{
    engine_event::EngineEvent,
    fields::{Dependency, some_text, text},
};

/// One decision of a process, or one change of the state that it keeps of other processes.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum DecisionEvent<'a> {
    /// The process starts.
    Started {
        /// Name of the program, such as `gateway` or `agent`.
        program: &'static str,
        /// Version of the program, from its package.
        version: &'static str,
        /// This incarnation of the process.
        #[serde(serialize_with = "text")]
        incarnation: ProcessIncarnation,
    },
    /// A planned stop begins.
    Stopping {
        /// Number of requests in flight.
        in_flight: u64,
    },
    /// The process ends.
    Stopped {
        /// Number of requests still in flight when the process ends.
        in_flight: u64,
    },
    /// The process ends by itself, because of an error.
    Failed {
        /// The error.
        reason: &'a str,
    },
    /// The settings were read again.
    SettingsReloaded {
        /// Whether they are valid and in use now.
        accepted: bool,
        /// The faults found, or what changed.
        detail: &'a str,
    },
    /// A system that the process depends on does not answer.
    DependencyLost {
        /// The system that does not answer.
        dependency: Dependency,
        /// The error that was seen.
        reason: &'a str,
    },
    /// A lost dependency answers again.
    DependencyRegained {
        /// The system that answers again.
        dependency: Dependency,
        /// Time from the loss to the first answer.
        outage_ms: u64,
    },
    /// A version of the configuration has taken effect.
    CatalogAdopted {
        /// The new version.
        #[serde(serialize_with = "text")]
        version: CatalogVersion,
        /// The version before; none for the first.
        #[serde(serialize_with = "some_text")]
        before: Option<CatalogVersion>,
        /// Number of routes in the new version.
        routes: usize,
        /// Where it comes from: `store` or `peer`.
        source: &'static str,
    },
    /// A fetch of the configuration from another entry has ended.
    CatalogFetched {
        /// The other entry.
        #[serde(serialize_with = "text")]
        source: SocketAddr,
        /// Version that the other entry named in its heartbeat.
        #[serde(serialize_with = "text")]
        version: CatalogVersion,
        /// What it brought: `newer`, `outdated` or `nothing`.
        outcome: &'static str,
        /// Why it brought nothing; empty if it did.
        reason: &'a str,
        /// Size of the configuration in bytes.
        bytes: u64,
        /// Duration of the fetch.
        after_ms: u64,
    },
    /// The last known state of a backend server changed.
    ServerChanged {
        /// The backend server.
        #[serde(serialize_with = "text")]
        server: &'a InstanceId,
        /// Its state now, such as `joined`, `changed`, `gone` or `side-silent`.
        standing: &'static str,
        /// Where the change was reported: `store`, `side` or `answer`.
        source: &'static str,
        /// Revision of the store with the change; zero for other sources.
        revision: u64,
    },
    /// A backend server refused a request and wants none of this entry for a while.
    ServerPaused {
        /// The backend server.
        #[serde(serialize_with = "text")]
        server: &'a InstanceId,
        /// For how long it wants none.
        pause_ms: u64,
    },
    /// A backend server names how many requests it takes from all entries, or no longer does.
    ServerLimited {
        /// The backend server.
        #[serde(serialize_with = "text")]
        server: &'a InstanceId,
        /// Requests a second; none if it no longer names a limit.
        limit: Option<f64>,
        /// Where it was seen: `answer` or `peer`.
        source: &'static str,
        /// Age of the answer in which it was seen.
        age_ms: u64,
    },
    /// A request got no tokens of its workspace's quota.
    QuotaShort {
        /// Call id of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// Name of the workspace.
        workspace: &'a str,
        /// Tokens that it needs.
        tokens: u64,
        /// `exceeded` or `unanswered`.
        cause: &'static str,
        /// Time until there is room, as far as known.
        room_ms: u64,
        /// Time for which it waited.
        waited_ms: u64,
    },
    /// The account of a workspace's quota passed to or from this entry.
    QuotaAccount {
        /// Name of the workspace.
        workspace: &'a str,
        /// `handed-over`, `taken-over`, or `ignored` if a level came too late.
        change: &'static str,
        /// Tokens that it held.
        level: i64,
    },
    /// The platform's store was restored from a copy: its revisions have gone back.
    StoreRestored {
        /// Number of restores so far, by the store.
        era: u64,
        /// The number before.
        before: u64,
        /// The newest revision that this process knew.
        known_revision: u64,
    },
    /// Another entry process became live or was lost.
    PeerChanged {
        /// VM of that process.
        #[serde(serialize_with = "text")]
        peer: &'a VmId,
        /// Whether it counts as live now.
        is_live: bool,
        /// Number of live entry processes, this one included.
        live_entries: usize,
    },
    /// A request was read and matched a route.
    CallReceived {
        /// Identifier of the request, chosen by the caller; a caller's retry has a new one.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// Route that the request matched.
        #[serde(serialize_with = "text")]
        route: &'a RouteName,
        /// Version of the configuration with that route.
        #[serde(serialize_with = "text")]
        catalog: CatalogVersion,
        /// Workspace that holds the caller's key; none if there is none.
        #[serde(serialize_with = "some_text")]
        workspace: Option<&'a WorkspaceName>,
        /// Model and adapter; none for plain services.
        #[serde(serialize_with = "some_text")]
        target: Option<&'a ModelTarget>,
        /// Length of the prompt in tokens; none for plain services.
        prompt_tokens: Option<u64>,
        /// The try that began the stream that the caller takes up again; empty if the caller does
        /// not name it, none for a new request.
        resumes: Option<&'a str>,
        /// The caller's timeout.
        patience_ms: u64,
    },
    /// A request waits at this entry for a backend server.
    CallWaits {
        /// Identifier of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// What it waits for.
        reason: &'static str,
        /// Estimated time until the wait ends; none if unknown.
        expected_ms: Option<u64>,
    },
    /// A request is assigned to a backend server.
    CallAssigned {
        /// Identifier of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// Backend server of the attempt.
        #[serde(serialize_with = "text")]
        server: &'a InstanceId,
        /// Version of its software.
        software: &'a str,
        /// Number of the attempt, starting at one.
        attempt: u32,
        /// Estimated number of requests running or waiting there.
        load: u32,
        /// Age of that estimate.
        load_age_ms: u64,
        /// Estimated time to the first byte of the answer.
        expected_ms: u64,
        /// Time that the request has waited at this entry.
        waited_ms: u64,
    },
    /// A side process gave no permit to send a request to its engine.
    PermitDenied {
        /// Identifier of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// Engine that the permit was requested for.
        #[serde(serialize_with = "text")]
        server: &'a InstanceId,
        /// `missing` if the model is not loaded, `silent` if no reply came, `later` if no permit
        /// came in time.
        outcome: &'static str,
        /// Estimated number of requests at the engine.
        load: u32,
        /// Age of that estimate when the permit was requested.
        load_age_ms: u64,
        /// Estimated time to the first event when the permit was requested.
        expected_ms: u64,
        /// Time spent waiting for the permit.
        asked_ms: u64,
    },
    /// A second attempt of a slow request is sent to another backend server.
    HedgeSent {
        /// Identifier of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// Backend server of the second attempt.
        #[serde(serialize_with = "text")]
        server: &'a InstanceId,
        /// Backend server of the first.
        #[serde(serialize_with = "text")]
        slow: &'a InstanceId,
        /// Time since the first was sent.
        after_ms: u64,
    },
    /// A second attempt was due and is not sent.
    HedgeWithheld {
        /// Identifier of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// Backend server of the first attempt.
        #[serde(serialize_with = "text")]
        server: &'a InstanceId,
        /// Why it is not sent, such as `share-spent` or `no-server`.
        cause: &'static str,
        /// Time since the first was sent.
        after_ms: u64,
    },
    /// One of two attempts was answered first; the other is cancelled.
    HedgeEnded {
        /// Identifier of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// Backend server whose answer is passed on.
        #[serde(serialize_with = "text")]
        winner: &'a InstanceId,
        /// Backend server whose attempt is cancelled.
        #[serde(serialize_with = "text")]
        cancelled: &'a InstanceId,
        /// Whether the second attempt was answered first.
        is_hedge_first: bool,
        /// Time since the first was sent.
        after_ms: u64,
    },
    /// An attempt ended without an answer that can be forwarded to the caller.
    AttemptFailed {
        /// Identifier of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// Backend server of the attempt.
        #[serde(serialize_with = "text")]
        server: &'a InstanceId,
        /// Kind of the failure: `unreachable`, `full`, `misdirected`, `failed`, `severed` if the
        /// connection broke before the answer began, or `lost`.
        failure: &'static str,
        /// Keys of the request, separated by blanks; retries of the caller have the same ones.
        #[serde(serialize_with = "text")]
        keys: &'a SuspectKeys,
        /// Whether the backend server may have run the request.
        may_have_run: bool,
        /// The failure, as text.
        reason: &'a str,
        /// Time since the request was sent.
        after_ms: u64,
    },
    /// A request was refused or given up, and the caller got an error.
    CallRefused {
        /// Identifier of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// Result code, as in the table of codes.
        code: u32,
        /// HTTP status sent to the caller.
        status: u16,
        /// Why the request was refused.
        reason: &'a str,
        /// Time after which the caller may retry; none if not known.
        retry_after_ms: Option<u64>,
        /// Estimated time until its model is loaded; none if that was not the reason.
        expected_ms: Option<u64>,
        /// Age of that estimate; none without one.
        expected_age_ms: Option<u64>,
        /// Time from the arrival of the request until now.
        held_ms: u64,
        /// Number of attempts at backend servers.
        attempts: u32,
    },
    /// A request was answered in full.
    CallAnswered {
        /// Identifier of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// HTTP status that the backend server sent.
        status: u16,
        /// Time to the first byte.
        first_ms: u64,
        /// Time to the last byte.
        total_ms: u64,
        /// Longest pause between two parts of the answer's body.
        pause_ms: u64,
        /// Time from the request to the end of that pause.
        pause_end_ms: u64,
        /// Number of attempts at backend servers.
        attempts: u32,
    },
    /// An answer ended early after its head was sent to the caller.
    AnswerBroken {
        /// Identifier of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// Backend server of the attempt.
        #[serde(serialize_with = "text")]
        server: &'a InstanceId,
        /// The failure, as text.
        reason: &'a str,
        /// Number of events forwarded before.
        events: u64,
    },
    /// A backend server was probed because connections to it broke before answers began.
    ServerProbed {
        /// The backend server.
        #[serde(serialize_with = "text")]
        server: &'a InstanceId,
        /// Whether it has ended: its address refuses connections.
        has_ended: bool,
        /// Number of requests of this entry that were broken off.
        severed: usize,
        /// Keys of these requests, separated by commas between requests.
        keys: &'a str,
    },
    /// A crash was counted against the keys of a request that was in flight at it.
    CrashCounted {
        /// Keys of the request, separated by blanks.
        #[serde(serialize_with = "text")]
        keys: &'a SuspectKeys,
        /// Number of crashes counted for the key with the most; zero once it is blocked.
        crashes: u32,
        /// Time since the crash.
        age_ms: u64,
        /// Where the crash was seen: `own` or `peer`.
        source: &'static str,
    },
    /// Requests with all of these keys that are not cleared are refused from now on.
    RequestsBlocked {
        /// The keys, separated by blanks.
        #[serde(serialize_with = "text")]
        keys: &'a SuspectKeys,
        /// Those of the keys that are no suspects, because requests with them were answered.
        #[serde(serialize_with = "text")]
        cleared: &'a SuspectKeys,
        /// Time until the block ends.
        remaining_ms: u64,
        /// How often it was renewed.
        renewals: u32,
        /// Where it was decided or narrowed: `own` or `peer`.
        source: &'static str,
    },
    /// A stream resumes at another engine.
    StreamResumed {
        /// Identifier of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// Engine that continues the stream.
        #[serde(serialize_with = "text")]
        server: &'a InstanceId,
        /// Identifier of the last event that was sent to the caller.
        after_event: &'a str,
    },
    /// What is known of the beginning of a stream that a caller takes up again.
    StreamOrigin {
        /// Identifier of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// Software version that began it; empty if it cannot go on for `source`.
        software: &'a str,
        /// `entry` if this entry keeps the origin, `peer` if another process does, `only` if one
        /// version alone has served lately; `several`, `no-history` or `other-service` if it cannot
        /// go on.
        source: &'static str,
        /// Time that it took to find out.
        after_ms: u64,
    },
    /// The caller left before its answer was complete.
    CallerLeft {
        /// Identifier of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// Time from the arrival of the request until now.
        held_ms: u64,
    },
    /// The process ends before the answer is complete.
    CallUnanswered {
        /// Identifier of the request.
        #[serde(serialize_with = "text")]
        call: &'a CallId,
        /// Time from the arrival of the request until now.
        held_ms: u64,
    },
    /// A change of an engine.
    #[serde(untagged)]
    Engine(EngineEvent<'a>),
}

impl<'a> From<EngineEvent<'a>> for DecisionEvent<'a> {
    fn from(event: EngineEvent<'a>) -> Self {
        Self::Engine(event)
    }
}
