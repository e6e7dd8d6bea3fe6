//! The origins of streams that callers take up again: who keeps them, and who is asked for them.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};

use ::origins::{OriginLedger, StreamKey, StreamOrigin, UnknownOrigin, rank_holders};
use base::prelude::*;
use catalog::Route;
use dispatch::ResumedStream;
use peers::{DatagramBody, OriginQuery, OriginReply, OriginReport, OriginState};
use tokio::{sync::mpsc, time};

use super::{Fleet, versions::REWRITE_TIME};

/// Side processes that keep the origin of a stream. They outlive the entries, and one of three is
/// nearly always left when half of the servers are replaced.
const KEEPING_SIDES: usize = 3;
/// Other entries that keep the origin of a stream, which outlive the side processes.
const KEEPING_ENTRIES: usize = 1;
/// The same where there are no side processes.
const KEEPING_ENTRIES_ALONE: usize = 3;
/// Side processes that are asked for an origin: more than keep it, because new ones may rank first.
const ASKED_SIDES: usize = 8;
/// Other entries that are asked for an origin.
const ASKED_ENTRIES: usize = 3;
/// Time after which a query without an answer is sent again; a round trip takes about two
/// milliseconds, and longer while a VM is busy.
const QUERY_INTERVAL: Duration = Duration::from_millis(40);
/// Queries after which an origin counts as unknown.
const MAX_QUERIES: u32 = 3;

/// Where the software version of a stream is known from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginSource {
    /// This entry keeps the origin.
    Entry,
    /// Another process keeps it.
    Peer,
    /// Only one version has served lately.
    OnlyVersion,
}

impl OriginSource {
    /// Name in the decision log.
    pub fn text(self) -> &'static str {
        match self {
            OriginSource::Entry => "entry",
            OriginSource::Peer => "peer",
            OriginSource::OnlyVersion => "only",
        }
    }
}

/// Why a stream that a caller takes up again cannot go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostOrigin {
    /// Nobody knows which version began it.
    Unknown(UnknownOrigin),
    /// Another service began it.
    OtherService,
}

impl LostOrigin {
    /// Name in the decision log.
    pub fn text(self) -> &'static str {
        match self {
            LostOrigin::Unknown(UnknownOrigin::SeveralVersions) => "several",
            LostOrigin::Unknown(UnknownOrigin::NoHistory | UnknownOrigin::NotBefore(_)) => {
                "no-history"
            }
            LostOrigin::OtherService => "other-service",
        }
    }

    /// Reason of the refusal.
    pub fn reason(self) -> &'static str {
        match self {
            LostOrigin::Unknown(_) => "the software version that began the stream is not known",
            LostOrigin::OtherService => "another service began the stream",
        }
    }
}

type OriginAnswer = (SocketAddr, Option<StreamOrigin>);

/// The origins that this entry keeps, and its open lookups.
#[derive(Debug, Default)]
pub(super) struct OriginBook {
    ledger: OriginLedger,
    lookups: HashMap<StreamKey, Vec<mpsc::UnboundedSender<OriginAnswer>>>,
}

impl OriginBook {
    /// Adds a lookup, and drops those that have ended.
    fn add_lookup(&mut self, key: StreamKey, sender: mpsc::UnboundedSender<OriginAnswer>) {
        self.lookups.retain(|_, lookups| {
            lookups.retain(|lookup| !lookup.is_closed());
            !lookups.is_empty()
        });
        self.lookups.entry(key).or_default().push(sender);
    }
}

impl Fleet {
    /// Keeps the origin of a stream that begins here, and reports it to the processes that keep it
    /// for the other entries.
    pub fn record_origin(&self, key: StreamKey, origin: &StreamOrigin) {
        let addresses = self.origin_keepers(key);
        let report = OriginReport { stream: key.0, origin: Some(OriginState::from(origin)) };
        self.keep_origin(key, origin);
        self.socket.send_all(&addresses, DatagramBody::OriginReport(report));
    }

    /// Finds where a stream may go on: at one of the services of `route`, by default at `service`.
    ///
    /// # Errors
    ///
    /// Fails if it cannot go on.
    pub async fn find_version(
        &self,
        stream: &ResumedStream,
        route: &Route,
        service: &ServiceName,
    ) -> Result<(StreamOrigin, OriginSource), LostOrigin> {
        let found = self.find_version_now(stream, route, service).await;
        let complete_from = match &found {
            Ok((origin, _)) if !self.knows_version(origin) => self.versions_complete_from(),
            Err(LostOrigin::Unknown(UnknownOrigin::NotBefore(at))) => *at,
            _ => return found,
        };
        let now = Instant::now();
        if complete_from <= now || complete_from > now + REWRITE_TIME {
            return found;
        }
        // After a restore of the store, more servers and their side processes are listed in moments.
        time::sleep_until(complete_from).await;
        self.find_version_now(stream, route, service).await
    }

    async fn find_version_now(
        &self,
        stream: &ResumedStream,
        route: &Route,
        service: &ServiceName,
    ) -> Result<(StreamOrigin, OriginSource), LostOrigin> {
        let key = stream.first_call.as_ref().map(|call| StreamKey::of_call(&call.0));
        let found = match key {
            Some(key) => self.find_origin(key).await,
            None => None,
        };
        match found {
            Some((origin, source)) if route.leads_to(&origin.service) => Ok((origin, source)),
            Some(_) => Err(LostOrigin::OtherService),
            None => self
                .only_version(service)
                .await
                .map(|software| {
                    let origin = StreamOrigin { service: service.clone(), software };
                    (origin, OriginSource::OnlyVersion)
                })
                .map_err(LostOrigin::Unknown),
        }
    }

    fn keep_origin(&self, key: StreamKey, origin: &StreamOrigin) {
        let other = self.lock().origins.ledger.record(key, origin.clone(), Instant::now());
        if let Some(other) = other {
            log::warn!(
                "origins: stream {key} began at version {} of {}, keeping that; it also went on at \
                 {} of {}",
                other.software,
                other.service,
                origin.software,
                origin.service
            );
        }
    }

    async fn find_origin(&self, key: StreamKey) -> Option<(StreamOrigin, OriginSource)> {
        let kept = self.lock().origins.ledger.get(key, Instant::now()).cloned();
        if let Some(origin) = kept {
            return Some((origin, OriginSource::Entry));
        }
        let origin = self.ask_for_origin(key).await?;
        self.keep_origin(key, &origin);
        Some((origin, OriginSource::Peer))
    }

    /// Asks the processes that may keep an origin, until one knows it, all have answered or the
    /// queries are used up.
    async fn ask_for_origin(&self, key: StreamKey) -> Option<StreamOrigin> {
        let addresses = self.origin_candidates(key);
        let (sender, mut answers) = mpsc::unbounded_channel();
        self.lock().origins.add_lookup(key, sender);
        let mut answered = BTreeSet::new();
        for _ in 0..MAX_QUERIES {
            let query = OriginQuery { stream: key.0 };
            self.socket.send_all(&addresses, DatagramBody::OriginQuery(query));
            let deadline = Instant::now() + QUERY_INTERVAL;
            while answered.len() < addresses.len() {
                match time::timeout_at(deadline, answers.recv()).await {
                    Ok(Some((_, Some(origin)))) => return Some(origin),
                    Ok(Some((source, None))) => {
                        answered.insert(source);
                    }
                    Ok(None) | Err(_) => break,
                }
            }
            if answered.len() == addresses.len() {
                break;
            }
        }
        None
    }

    pub(super) fn apply_origin_report(&self, source: SocketAddr, report: OriginReport) {
        match report.origin.and_then(OriginState::decode) {
            Some(origin) => self.keep_origin(StreamKey(report.stream), &origin),
            None => log::warn!("fleet: ignoring the origin of a stream from {source}: no service"),
        }
    }

    pub(super) fn answer_origin_query(&self, source: SocketAddr, query: OriginQuery) {
        let state = self.lock();
        let origin = state.origins.ledger.get(StreamKey(query.stream), Instant::now());
        let reply = OriginReply { stream: query.stream, origin: origin.map(OriginState::from) };
        self.socket.send(source, DatagramBody::OriginReply(reply));
    }

    pub(super) fn apply_origin_reply(&self, source: SocketAddr, reply: OriginReply) {
        let key = StreamKey(reply.stream);
        let origin = reply.origin.and_then(OriginState::decode);
        for lookup in self.lock().origins.lookups.get(&key).into_iter().flatten() {
            // The lookup may have ended with another answer.
            let _ = lookup.send((source, origin.clone()));
        }
    }

    /// The processes that keep the origin of a stream that begins now.
    fn origin_keepers(&self, key: StreamKey) -> Vec<SocketAddr> {
        let sides = rank_holders(key, self.side_addresses(SideChoice::Staying), KEEPING_SIDES);
        let entries = if sides.is_empty() { KEEPING_ENTRIES_ALONE } else { KEEPING_ENTRIES };
        let entries = self.other_entries(key, entries);
        sides.into_iter().chain(entries).collect()
    }

    /// The processes that may keep the origin of a stream that began earlier.
    fn origin_candidates(&self, key: StreamKey) -> Vec<SocketAddr> {
        let sides = rank_holders(key, self.side_addresses(SideChoice::All), ASKED_SIDES);
        let entries = self.other_entries(key, ASKED_ENTRIES);
        sides.into_iter().chain(entries).collect()
    }

    fn other_entries(&self, key: StreamKey, count: usize) -> Vec<SocketAddr> {
        // One more, because this entry may rank among the first.
        let ranked = self.lock().peers.ranked_for(key.0, count + 1);
        ranked.into_iter().flatten().take(count).collect()
    }

    /// Addresses of the side processes of all engines, whatever their service.
    fn side_addresses(&self, choice: SideChoice) -> Vec<SocketAddr> {
        let Some(catalog) = self.catalog.borrow().clone() else { return Vec::new() };
        self.backends.with_dispatcher(|dispatcher, _| {
            let engines = dispatcher.servers().filter(|view| {
                let is_engine =
                    catalog.service(&view.service).is_some_and(|found| found.engine.is_some());
                is_engine && (choice == SideChoice::All || !view.is_draining())
            });
            engines.map(|view| SocketAddr::new(view.address.ip(), self.side_port)).collect()
        })
    }
}

/// Which side processes are meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SideChoice {
    /// All that are listed.
    All,
    /// Those whose engines do not leave.
    Staying,
}
