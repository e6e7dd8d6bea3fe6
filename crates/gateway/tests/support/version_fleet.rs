//! A fleet with engines of several software versions, and callers that take streams up.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use base::prelude::*;
use futures::future::join_all;
use platform_standin::{EngineOptions, engine::EngineFault};
use tokio::time;

use super::{
    CallOutcome, TestFleet,
    agent_process::AgentProcess,
    gateway_process::GatewayProcess,
    streams::{TakeUp, read_events, resumable},
};

/// Number of streams of each test.
pub const STREAMS: usize = 16;
/// Events of each stream.
pub const EVENTS: u64 = 40;
/// Events that a caller reads before it drops the connection.
pub const READ: u64 = 5;
/// Well above the time within which gateways know a change in the store.
pub const STORE_CHANGE: Duration = Duration::from_millis(800);
/// A refusal that needs no waiting takes less, also on a busy machine.
pub const QUICK: Duration = Duration::from_millis(500);
/// Time between the take-ups of streams that one version began and those of the other. A gateway
/// that spreads each of these bursts evenly over the engines mixes half of the streams, whatever
/// their order is within it.
pub const BETWEEN_BURSTS: Duration = Duration::from_millis(40);
pub const ONE_VERSION: [&str; 4] = ["v1"; 4];
pub const TWO_VERSIONS: [&str; 4] = ["v1", "v1", "v2", "v2"];

/// A fleet whose engines hold the same model, each with the software version of its index.
pub struct VersionFleet {
    pub fleet: TestFleet,
    pub versions: Vec<&'static str>,
    pub agents: Vec<AgentProcess>,
    pub gateways: Vec<GatewayProcess>,
}

fn engine_options(index: usize, software: &str) -> EngineOptions {
    EngineOptions {
        software: software.to_owned(),
        residents: vec!["m1".to_owned()],
        event_gap: Duration::from_millis(15),
        events: EVENTS,
        ..EngineOptions::new(&format!("i-{index}"))
    }
}

impl VersionFleet {
    pub async fn start(versions: &[&'static str], gateways: usize) -> Self {
        let mut fleet = TestFleet::start().await;
        for (index, version) in versions.iter().enumerate() {
            fleet.add_engine(engine_options(index, version)).await;
        }
        let versions = versions.to_vec();
        let mut started = Self { fleet, versions, agents: Vec::new(), gateways: Vec::new() };
        started.start_agents().await;
        started.start_gateways(gateways).await;
        started
    }

    /// Adds engines of `software` with their agents, as a release does.
    pub async fn add_engines(&mut self, software: &'static str, count: usize) {
        for _ in 0..count {
            let options = engine_options(self.versions.len(), software);
            let index = self.fleet.add_engine(options).await;
            self.versions.push(software);
            self.agents.push(self.fleet.add_agent_process(index).await);
        }
    }

    pub async fn start_agents(&mut self) {
        let agents = (0..self.versions.len()).map(|engine| self.fleet.add_agent_process(engine));
        self.agents = join_all(agents).await;
    }

    pub async fn start_gateways(&mut self, count: usize) {
        let gateways = (0..count).map(|index| self.fleet.add_gateway_process(index));
        self.gateways = join_all(gateways).await;
    }

    /// Ends all gateways at once and starts as many again.
    pub async fn restart_gateways(&mut self) {
        let gateways = std::mem::take(&mut self.gateways);
        let count = gateways.len();
        join_all(gateways.into_iter().map(GatewayProcess::kill)).await;
        self.start_gateways(count).await;
    }

    /// Ends all gateways and agents at once and starts them again.
    pub async fn restart_all(&mut self) {
        let gateways = std::mem::take(&mut self.gateways);
        let count = gateways.len();
        let agents = std::mem::take(&mut self.agents);
        join_all(gateways.into_iter().map(GatewayProcess::kill)).await;
        join_all(agents.into_iter().map(AgentProcess::kill)).await;
        self.start_agents().await;
        self.start_gateways(count).await;
    }

    pub fn callers(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].callers
    }

    /// Removes the engines of `version` from the store and waits until the gateways know it.
    pub async fn unlist(&self, version: &str) {
        for (engine, software) in self.fleet.engines.iter().zip(&self.versions) {
            if *software == version {
                self.fleet.store.remove("servers", &engine.instance());
            }
        }
        time::sleep(STORE_CHANGE).await;
    }

    /// Versions that sent events, by the stream's first attempt.
    pub fn versions_by_stream(&self) -> BTreeMap<String, BTreeSet<&'static str>> {
        let mut by_stream: BTreeMap<String, BTreeSet<&'static str>> = BTreeMap::new();
        for (engine, version) in self.fleet.engines.iter().zip(&self.versions) {
            for record in engine.streams().iter().filter(|record| record.events > 0) {
                by_stream.entry(first_attempt(&record.call)).or_default().insert(*version);
            }
        }
        by_stream
    }

    /// Streams that hold events of more than one version.
    pub fn mixed_streams(&self) -> Vec<String> {
        let by_stream = self.versions_by_stream().into_iter();
        by_stream.filter(|(_, versions)| versions.len() > 1).map(|(stream, _)| stream).collect()
    }

    /// Version that sent the first event of each stream.
    pub fn beginnings(&self) -> BTreeMap<String, &'static str> {
        let mut beginnings = BTreeMap::new();
        for (engine, version) in self.fleet.engines.iter().zip(&self.versions) {
            let records = engine.streams().into_iter();
            for record in records.filter(|record| record.after.is_none() && record.events > 0) {
                beginnings.insert(record.call, *version);
            }
        }
        beginnings
    }

    /// Number of streams that `version` began.
    pub fn begun_by(&self, version: &str) -> usize {
        self.beginnings().values().filter(|begun| **begun == version).count()
    }

    /// Instances that ran a request with this id.
    pub fn runs_of(&self, call: &str) -> Vec<String> {
        let engines = self.fleet.engines.iter();
        let ran = engines.filter(|engine| engine.streams().iter().any(|run| run.call == call));
        ran.map(|engine| engine.instance()).collect()
    }

    /// Begins all streams at a gateway; their callers read some events and leave.
    pub async fn begin_streams(&self, gateway: usize) -> Vec<CallerStream> {
        self.begin_many(gateway, STREAMS).await
    }

    /// The same with `count` streams.
    pub async fn begin_many(&self, gateway: usize, count: usize) -> Vec<CallerStream> {
        let callers = self.callers(gateway);
        let begun = (0..count).map(async |number| {
            let call = format!("c{number}");
            let read = read_events(callers, resumable("m1", &call, None), READ).await;
            let last_event = read.expect("the first events arrive");
            let version = self.beginnings()[&call];
            CallerStream { first: call, last_event, version }
        });
        join_all(begun).await
    }
}

/// Id of the first attempt of the stream that the attempt `call` belongs to.
pub fn first_attempt(call: &str) -> String {
    call.split('-').next().unwrap_or_default().to_owned()
}

/// A stream as its caller knows it.
#[derive(Debug, Clone)]
pub struct CallerStream {
    /// Id of the first attempt.
    pub first: String,
    pub last_event: u64,
    /// Version that began it.
    pub version: &'static str,
}

/// How the last try of a caller ended.
#[derive(Debug)]
pub struct Ended {
    pub stream: CallerStream,
    pub call: String,
    pub outcome: CallOutcome,
    pub after: Duration,
}

impl Ended {
    /// Whether the answer holds exactly the events that the caller did not have.
    pub fn is_complete(&self) -> bool {
        let missing = self.stream.last_event + 1..=EVENTS;
        let expected: String = missing
            .map(|number| platform_standin::engine::event_text(&self.call, number))
            .collect();
        self.outcome.status() == 200 && self.outcome.body() == expected
    }
}

impl CallerStream {
    /// Waits until it is the turn of the streams that this one's version began.
    pub async fn wait_for_burst(&self) {
        if self.version == "v1" {
            time::sleep(BETWEEN_BURSTS).await;
        }
    }

    pub fn take_up(&self, attempt: u32, names_first: bool) -> (String, TakeUp<'_>) {
        let resumes = names_first.then_some(self.first.as_str());
        (format!("{}-{attempt}", self.first), TakeUp { last_event: self.last_event, resumes })
    }
}

/// Takes all streams up and reads them to their ends.
pub async fn take_up_all(
    callers: SocketAddr,
    streams: &[CallerStream],
    attempt: u32,
    names_first: bool,
) -> Vec<Ended> {
    let taken_up = streams.iter().map(async |stream| {
        stream.wait_for_burst().await;
        let (call, take_up) = stream.take_up(attempt, names_first);
        let sent = Instant::now();
        let outcome = super::call(callers, resumable("m1", &call, Some(&take_up))).await;
        Ended { stream: stream.clone(), call, outcome, after: sent.elapsed() }
    });
    join_all(taken_up).await
}

/// Takes all streams up; their callers read some more events and leave again.
pub async fn take_up_briefly(
    callers: SocketAddr,
    streams: &[CallerStream],
    attempt: u32,
) -> Vec<CallerStream> {
    let taken_up = streams.iter().map(async |stream| {
        stream.wait_for_burst().await;
        let (call, take_up) = stream.take_up(attempt, true);
        let read = read_events(callers, resumable("m1", &call, Some(&take_up)), READ).await;
        let read = read.expect("further events arrive");
        CallerStream { last_event: stream.last_event + read, ..stream.clone() }
    });
    join_all(taken_up).await
}

/// Panics unless `fleet` began enough streams on either version for a test to show something.
pub fn assert_begun_on_both(fleet: &VersionFleet) {
    let begun = (fleet.begun_by("v1"), fleet.begun_by("v2"));
    assert!(begun.0 >= 3 && begun.1 >= 3, "begun at v1 and v2: {begun:?}");
}

/// Panics if a stream holds events of two versions.
pub fn assert_unmixed(fleet: &VersionFleet, ended: &[Ended]) {
    let mixed = fleet.mixed_streams();
    let complete = ended.iter().filter(|ended| ended.is_complete()).count();
    assert!(
        mixed.is_empty(),
        "{} of {STREAMS} streams hold two versions ({complete} complete): {mixed:?}",
        mixed.len()
    );
}

/// Panics unless at least `count` streams were completed.
pub fn assert_completed(ended: &[Ended], count: usize) {
    let (complete, others): (Vec<_>, Vec<_>) = ended.iter().partition(|ended| ended.is_complete());
    assert!(complete.len() >= count, "{} of {}: {others:?}", complete.len(), ended.len());
}

/// Panics unless each of these was refused quickly and run by no engine.
pub fn assert_refused_unrun<'a>(fleet: &VersionFleet, ended: impl IntoIterator<Item = &'a Ended>) {
    let wrong: Vec<_> = ended
        .into_iter()
        .map(|ended| {
            let runs = fleet.runs_of(&ended.call);
            (&ended.call, ended.outcome.status(), ended.after, runs)
        })
        .filter(|(_, status, after, runs)| *status != 503 || *after > QUICK || !runs.is_empty())
        .collect();
    assert!(wrong.is_empty(), "{} not refused, late or run: {wrong:?}", wrong.len());
}

/// Begins all streams at the first gateway while the engine `broken` breaks its streams off.
pub async fn whole_streams(fleet: &VersionFleet, broken: usize) -> Vec<Ended> {
    let fault = EngineFault { broken_streams: STREAMS as u32, ..EngineFault::default() };
    fleet.fleet.engines[broken].set_fault(fault);
    let callers = fleet.callers(0);
    let answered = (0..STREAMS).map(async |number| {
        let call = format!("c{number}");
        let sent = Instant::now();
        let outcome = super::call(callers, resumable("m1", &call, None)).await;
        let version = fleet.beginnings()[&call];
        let stream = CallerStream { first: call.clone(), last_event: 0, version };
        Ended { stream, call, outcome, after: sent.elapsed() }
    });
    join_all(answered).await
}

/// Streams that the engine `index` began.
pub fn begun_at<'a>(fleet: &VersionFleet, index: usize, ended: &'a [Ended]) -> Vec<&'a Ended> {
    let records = fleet.fleet.engines[index].streams();
    let began = |call: &str| {
        records.iter().any(|run| run.call == call && run.after.is_none() && run.events > 0)
    };
    ended.iter().filter(|ended| began(&ended.call)).collect()
}
