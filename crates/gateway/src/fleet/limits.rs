//! Exchange with other entries about the limits that backend servers name.
//!
//! For each backend server with a limit, the entry that ranks first by rendezvous hashing shares the
//! limit out. The others ask it when requests wait, and report to it what answers show. It tells all
//! entries when a limit is another one.

use std::net::SocketAddr;

use ::limits::{LimitGrant, LimitQuery, LimitSighting, QueryNumber};
use base::prelude::*;
use peers::{DatagramBody, LimitGrantMessage, LimitQueryMessage, LimitState};
use roster::IncarnationStart;
use xxhash_rust::xxh3::xxh3_64;

use super::{Fleet, saturating_millis};

/// Unanswered queries after which the next entry in rank is asked.
const QUERIES_TO_FIRST: u32 = 2;
/// Most slots that are read from a datagram.
const MAX_SLOTS: usize = 64;

impl Fleet {
    /// Sends a query to the entry that shares out the limit, or answers it if that is this one.
    pub(super) fn send_limit_query(&self, query: &LimitQuery) {
        let key = xxh3_64(query.sighting.server.as_str().as_bytes());
        let ranked = self.lock().peers.ranked_for(key, 2);
        let rank = usize::from(query.unanswered >= QUERIES_TO_FIRST);
        let owner = ranked.get(rank).or(ranked.first()).copied().flatten();
        self.metrics.limit_queries.inc();
        match owner {
            Some(address) => {
                let message = encode_query(query, Instant::now());
                self.socket.send(address, DatagramBody::LimitQuery(message));
            }
            None => {
                let grant = self.answer_limit_query(query);
                self.take_limit_grant(grant);
            }
        }
    }

    /// Answers a query, and tells all entries if it brought another limit.
    fn answer_limit_query(&self, query: &LimitQuery) -> LimitGrant {
        let (answer, addresses) = {
            let mut state = self.lock();
            let entries = state.peers.live_count();
            let answer = state.limits.answer(query, entries, Instant::now());
            let live = state.peers.live().filter(|_| answer.is_changed);
            let addresses: Vec<SocketAddr> = live.map(|(_, address)| address).collect();
            (answer, addresses)
        };
        if answer.is_changed {
            let state = encode_sighting(&answer.grant.sighting, Instant::now());
            self.socket.send_all(&addresses, DatagramBody::LimitReport(state));
            self.take_limit(&answer.grant.sighting);
        }
        answer.grant
    }

    pub(super) fn apply_limit_query(&self, source: SocketAddr, message: &LimitQueryMessage) {
        let Some(query) = decode_query(message, Instant::now()) else {
            log::warn!("fleet: ignoring a query for a limit from {source} without a valid server");
            return;
        };
        let grant = self.answer_limit_query(&query);
        if query.wanted > 0 {
            let message = encode_grant(&grant, Instant::now());
            self.socket.send(source, DatagramBody::LimitGrant(message));
        }
    }

    pub(super) fn apply_limit_grant(&self, message: &LimitGrantMessage) {
        match decode_grant(message, Instant::now()) {
            Some(grant) => self.take_limit_grant(grant),
            None => log::warn!("fleet: ignoring slots for a limit without a valid server"),
        }
    }

    pub(super) fn apply_limit_report(&self, state: &LimitState) {
        match decode_sighting(state, Instant::now()) {
            Some(sighting) => self.take_limit(&sighting),
            None => log::warn!("fleet: ignoring a limit without a valid server"),
        }
    }

    fn take_limit_grant(&self, grant: LimitGrant) {
        let sighting = grant.sighting.clone();
        self.backends
            .apply_limit(&sighting, |dispatcher, now| dispatcher.apply_limit_grant(grant, now));
    }

    fn take_limit(&self, sighting: &LimitSighting) {
        self.backends
            .apply_limit(sighting, |dispatcher, _| dispatcher.apply_limit(sighting.clone()));
    }
}

fn encode_sighting(sighting: &LimitSighting, now: Instant) -> LimitState {
    LimitState {
        server: sighting.server.to_string(),
        started: sighting.started.map(|IncarnationStart(started)| started),
        limit: sighting.limit.map(|EventRate(limit)| limit),
        seen_ms_ago: saturating_millis(now.saturating_duration_since(sighting.seen)),
    }
}

/// The sighting by the clock of this process; none without a valid name of a server.
fn decode_sighting(state: &LimitState, now: Instant) -> Option<LimitSighting> {
    let is_valid = state.limit.is_none_or(|limit| limit.is_finite() && limit >= 0.0);
    let age = Duration::from_millis(state.seen_ms_ago.into());
    let sighting = LimitSighting {
        server: state.server.parse().ok()?,
        started: state.started.map(IncarnationStart),
        limit: state.limit.map(EventRate),
        // An answer from before the start of this clock is older than all that is known here.
        seen: now.checked_sub(age)?,
    };
    is_valid.then_some(sighting)
}

fn encode_query(query: &LimitQuery, now: Instant) -> LimitQueryMessage {
    LimitQueryMessage {
        state: Some(encode_sighting(&query.sighting, now)),
        number: query.number.0,
        wanted: query.wanted,
        max_wait_ms: saturating_millis(query.max_wait),
    }
}

fn decode_query(message: &LimitQueryMessage, now: Instant) -> Option<LimitQuery> {
    Some(LimitQuery {
        sighting: decode_sighting(message.state.as_ref()?, now)?,
        number: QueryNumber(message.number),
        wanted: message.wanted,
        max_wait: Duration::from_millis(message.max_wait_ms.into()),
        unanswered: 0,
    })
}

fn encode_grant(grant: &LimitGrant, now: Instant) -> LimitGrantMessage {
    LimitGrantMessage {
        state: Some(encode_sighting(&grant.sighting, now)),
        number: grant.number.0,
        slots_ms: grant.slots.iter().map(|delay| saturating_millis(*delay)).collect(),
        next_query_ms: saturating_millis(grant.next_query),
    }
}

fn decode_grant(message: &LimitGrantMessage, now: Instant) -> Option<LimitGrant> {
    let slots = message.slots_ms.iter().take(MAX_SLOTS);
    Some(LimitGrant {
        sighting: decode_sighting(message.state.as_ref()?, now)?,
        number: QueryNumber(message.number),
        slots: slots.map(|delay| Duration::from_millis((*delay).into())).collect(),
        next_query: Duration::from_millis(message.next_query_ms.into()),
    })
}
