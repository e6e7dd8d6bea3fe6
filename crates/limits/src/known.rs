//! The limits that an entry knows, from its own answers and from other entries.

use std::collections::HashMap;

use base::prelude::*;
use roster::{IncarnationStart, InstanceId};

/// Most backend servers with a limit; the one whose limit was seen longest ago is dropped for a new
/// one.
const MAX_SERVERS: usize = 16_384;

/// Change of a limit, as a share of it, from which on it counts as another one.
const CHANGE_SHARE: f64 = 0.1;

/// What an answer of a backend server has shown of its limit.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitSighting {
    /// Name of the backend server.
    pub server: InstanceId,
    /// Start of its incarnation; none if it is not registered with one.
    pub started: Option<IncarnationStart>,
    /// Requests that it takes from all entries; none if it no longer names a limit.
    pub limit: Option<EventRate>,
    /// When the answer arrived.
    pub seen: Instant,
}

#[derive(Debug)]
struct KnownLimit {
    newest: LimitSighting,
    /// Limit when it last counted as another one.
    reported: Option<EventRate>,
}

/// The newest sighting for each backend server that has named a limit.
#[derive(Debug, Default)]
pub struct KnownLimits {
    by_server: HashMap<InstanceId, KnownLimit>,
}

fn is_other_limit(before: Option<EventRate>, after: Option<EventRate>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => (after.0 - before.0).abs() > before.0 * CHANGE_SHARE,
        (None, None) => false,
        _ => true,
    }
}

impl KnownLimits {
    /// Records an answer to a request that was sent at `sent`. Returns whether the limit is another
    /// one than before.
    ///
    /// An answer without a limit ends the known one only if its request was sent after that was
    /// seen, because answers may overtake each other.
    pub fn record_answer(&mut self, answer: LimitSighting, sent: Instant) -> bool {
        let known = self.by_server.get(&answer.server).map(|known| &known.newest);
        let ends_unknown = known.is_none_or(|known| known.started != answer.started);
        let is_overtaken = known.is_some_and(|known| sent <= known.seen);
        if answer.limit.is_none() && (ends_unknown || is_overtaken) {
            return false;
        }
        self.apply(answer)
    }

    /// Takes a sighting unless a newer one is known. Returns whether the limit is another one than
    /// before.
    pub fn apply(&mut self, sighting: LimitSighting) -> bool {
        let known = self.by_server.get(&sighting.server);
        if known.is_some_and(|known| known.newest.seen > sighting.seen) {
            return false;
        }
        let before = known.filter(|known| known.newest.started == sighting.started);
        let before = before.and_then(|known| known.reported);
        let is_other = is_other_limit(before, sighting.limit);
        let reported = if is_other { sighting.limit } else { before };
        if known.is_none() {
            self.make_room();
        }
        let server = sighting.server.clone();
        self.by_server.insert(server, KnownLimit { newest: sighting, reported });
        is_other
    }

    /// The newest sighting for an incarnation of `server`; none if it has never named a limit.
    pub fn newest(
        &self,
        server: &InstanceId,
        started: Option<IncarnationStart>,
    ) -> Option<&LimitSighting> {
        let newest = self.by_server.get(server).map(|known| &known.newest);
        newest.filter(|newest| newest.started == started)
    }

    /// The limit of an incarnation of `server`; none if it names none.
    pub fn limit(
        &self,
        server: &InstanceId,
        started: Option<IncarnationStart>,
    ) -> Option<EventRate> {
        self.newest(server, started)?.limit
    }

    /// Whether any backend server names a limit.
    pub fn has_any(&self) -> bool {
        self.by_server.values().any(|known| known.newest.limit.is_some())
    }

    /// Number of backend servers that name a limit.
    pub fn count(&self) -> usize {
        self.by_server.values().filter(|known| known.newest.limit.is_some()).count()
    }

    fn make_room(&mut self) {
        if self.by_server.len() < MAX_SERVERS {
            return;
        }
        let newest = self.by_server.values().map(|known| &known.newest);
        let oldest = newest.min_by_key(|newest| (newest.limit.is_some(), newest.seen));
        if let Some(server) = oldest.map(|newest| newest.server.clone()) {
            self.by_server.remove(&server);
        }
    }
}
