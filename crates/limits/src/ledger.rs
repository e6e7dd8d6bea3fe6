//! Shares out the limit of a backend server among all entries.
//!
//! One entry does that for each backend server, chosen by rendezvous hashing. It gives out the times
//! at which requests may be sent, one after the other at the named rate, so that it keeps one time
//! for each server and nothing for each entry.

use std::collections::HashMap;

use base::prelude::*;
use roster::InstanceId;

use crate::{
    known::KnownLimits,
    query::{LimitGrant, LimitQuery},
};

/// Longest time ahead for which a slot is given out. If another entry shares out the limit meanwhile,
/// the slots of both are used for that long.
pub const MAX_AHEAD: Duration = Duration::from_secs(1);
/// Requests that may be sent at once after a time without any.
const BURST: f64 = 2.0;
/// Rate at which a server with a lower limit is still tried, because only its answers show that the
/// limit is over.
const MIN_RATE: EventRate = EventRate(0.25);
/// Most slots of one answer, which must fit into a datagram.
const MAX_SLOTS: u32 = 32;
/// Queries a second for one server from which on the entries that ask are told to wait with their
/// next one. With the answers they are some 120 datagrams of 110 bytes, about two thirds of the 21
/// KB/s that a node may spend on control.
const MAX_QUERY_RATE: f64 = 60.0;
/// Multiples of it have fractions that are spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// Span over which queries are counted.
const QUERY_WINDOW: Duration = Duration::from_secs(1);
/// Time without queries after which a server is forgotten.
const RETENTION: Duration = Duration::from_secs(60);
/// Number of servers from which on forgotten ones are removed.
const MIN_SERVERS_TO_CLEAN: usize = 256;

/// Slots and queries of one backend server.
#[derive(Debug)]
struct ServerLedger {
    /// When the next slot begins.
    next_slot: Instant,
    window_start: Instant,
    window_queries: u32,
    last_window_queries: u32,
    spread: f64,
}

impl ServerLedger {
    /// A ledger that follows another one, or requests that were sent before the limit was known, so
    /// that the first slot comes after an interval.
    fn new(interval: Duration, now: Instant) -> Self {
        Self {
            next_slot: now + interval,
            window_start: now,
            window_queries: 0,
            last_window_queries: 0,
            spread: 0.0,
        }
    }

    /// Counts a query, and returns how many came within the busier of this and the last second.
    fn count_query(&mut self, now: Instant) -> u32 {
        let passed = now.saturating_duration_since(self.window_start);
        if passed >= QUERY_WINDOW {
            self.last_window_queries =
                if passed < QUERY_WINDOW * 2 { self.window_queries } else { 0 };
            self.window_queries = 0;
            self.window_start = now;
        }
        self.window_queries += 1;
        self.window_queries.max(self.last_window_queries)
    }

    /// The next of a sequence that is spread evenly from 0.5 to 1.5.
    fn next_spread(&mut self) -> f64 {
        self.spread = (self.spread + GOLDEN_RATIO).fract();
        0.5 + self.spread
    }

    /// Gives out up to `wanted` slots that begin by `latest`.
    fn take_slots(
        &mut self,
        interval: Duration,
        wanted: u32,
        latest: Instant,
        now: Instant,
    ) -> Vec<Duration> {
        let earliest = now.checked_sub(interval.mul_f64(BURST - 1.0)).unwrap_or(now);
        let mut slots = Vec::new();
        // The limit may have risen since the last slot was given out.
        let longest_gap = now + MAX_AHEAD + interval;
        let mut next = self.next_slot.clamp(earliest, longest_gap);
        while slots.len() < wanted.min(MAX_SLOTS) as usize && next <= latest {
            slots.push(next.saturating_duration_since(now));
            next += interval;
        }
        self.next_slot = next;
        slots
    }
}

/// The answer to a query, and whether it brought another limit than the one known before.
#[derive(Debug, Clone, PartialEq)]
pub struct LedgerAnswer {
    /// The answer to the entry.
    pub grant: LimitGrant,
    /// Whether all entries have to be told of the limit.
    pub is_changed: bool,
}

/// Shares out the limits of the backend servers for which this entry does that.
#[derive(Debug, Default)]
pub struct LimitLedger {
    known: KnownLimits,
    servers: HashMap<InstanceId, ServerLedger>,
}

impl LimitLedger {
    /// Answers a query of one of `entries` entries.
    pub fn answer(&mut self, query: &LimitQuery, entries: usize, now: Instant) -> LedgerAnswer {
        let server = &query.sighting.server;
        let is_changed = self.known.apply(query.sighting.clone());
        let newest = self.known.newest(server, query.sighting.started).unwrap_or(&query.sighting);
        let mut grant = LimitGrant {
            sighting: newest.clone(),
            number: query.number,
            slots: Vec::new(),
            next_query: Duration::ZERO,
        };
        match newest.limit {
            None => {
                self.servers.remove(server);
            }
            Some(limit) => self.grant_slots(query, limit, entries, now, &mut grant),
        }
        LedgerAnswer { grant, is_changed }
    }

    fn grant_slots(
        &mut self,
        query: &LimitQuery,
        limit: EventRate,
        entries: usize,
        now: Instant,
        grant: &mut LimitGrant,
    ) {
        let interval = interval(limit);
        self.forget_idle(now);
        let ledger = self
            .servers
            .entry(query.sighting.server.clone())
            .or_insert_with(|| ServerLedger::new(interval, now));
        if query.wanted == 0 {
            return;
        }
        let queries = f64::from(ledger.count_query(now));
        let latest = now + query.max_wait.min(MAX_AHEAD);
        grant.slots = ledger.take_slots(interval, query.wanted, latest, now);
        if queries > MAX_QUERY_RATE {
            let mean = entries as f64 / MAX_QUERY_RATE;
            grant.next_query = Duration::from_secs_f64(mean * ledger.next_spread());
        }
        if grant.slots.len() < query.wanted as usize {
            let reachable = ledger.next_slot.saturating_duration_since(latest);
            grant.next_query = grant.next_query.max(reachable);
        }
    }

    fn forget_idle(&mut self, now: Instant) {
        if self.servers.len() >= MIN_SERVERS_TO_CLEAN {
            self.servers
                .retain(|_, ledger| now.saturating_duration_since(ledger.window_start) < RETENTION);
        }
    }
}

/// Time between two requests to a server with this limit.
pub fn interval(limit: EventRate) -> Duration {
    Duration::from_secs_f64(1.0 / limit.0.max(MIN_RATE.0))
}
