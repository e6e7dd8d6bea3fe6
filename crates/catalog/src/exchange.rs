//! When to fetch a newer version of the catalog from another entry, and from which one.
//!
//! An entry that reaches the store gets each version from there. One that does not learns from the
//! heartbeats of the others that there is a newer version, and fetches it from one of them.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::routes::CatalogVersion;

/// Time that the store gets to bring a version that another entry has: a watch that is open brings it
/// within a few milliseconds, and a slow store takes up to 60 times as long.
pub const STORE_GRACE: Duration = Duration::from_millis(250);
/// Time for which an entry that did not deliver is used only if there is no other.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);
/// Time between two fetches from the same entry if there is no other, in milliseconds; spread because
/// an entry that serves many closes further connections.
const RETRY_INTERVAL_MS: std::ops::Range<u64> = 100..300;
/// Time after its last heartbeat for which an entry is still a source.
const OFFER_LIFE: Duration = Duration::from_secs(10);

/// What another entry offers.
#[derive(Debug, Clone, Copy)]
struct CatalogOffer {
    version: CatalogVersion,
    heard: Instant,
    failed: Option<FailedFetch>,
}

#[derive(Debug, Clone, Copy)]
struct FailedFetch {
    at: Instant,
    retry_at: Instant,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchStep<S> {
    /// Nothing, until another version is known or a fetch has ended.
    Idle,
    /// Ask again at this time.
    WaitUntil(Instant),
    /// Fetch from this entry, which has the given version or a later one; the end is to be reported.
    Fetch {
        /// Address of the entry.
        source: S,
        /// Version that it is known to have.
        version: CatalogVersion,
    },
}

/// Decides when to fetch a newer version, and from which entry; at most one fetch runs at a time.
/// `S` is the address of an entry.
#[derive(Debug, Clone)]
pub struct FetchPlanner<S> {
    held: Option<CatalogVersion>,
    /// Newest version that any entry was seen to have. It does not lapse: its keys may be in use.
    newest: Option<CatalogVersion>,
    /// Since when a version is known that is newer than the one held.
    behind_since: Option<Instant>,
    offers: BTreeMap<S, CatalogOffer>,
    fetching: Option<S>,
}

impl<S> Default for FetchPlanner<S> {
    fn default() -> Self {
        Self {
            held: None,
            newest: None,
            behind_since: None,
            offers: BTreeMap::new(),
            fetching: None,
        }
    }
}

impl<S: Copy + Ord> FetchPlanner<S> {
    /// Records the version in a heartbeat; zero means that its sender has none. Returns whether the
    /// next step may be another one than before.
    pub fn record_offer(&mut self, source: S, version: CatalogVersion, now: Instant) -> bool {
        if version == CatalogVersion(0) {
            self.offers.remove(&source);
            return false;
        }
        let before = self.offers.get(&source);
        let is_new = before.is_none_or(|before| before.version != version);
        let failed = before.and_then(|before| before.failed).filter(|_| !is_new);
        self.offers.insert(source, CatalogOffer { version, heard: now, failed });
        self.newest = self.newest.max(Some(version));
        if self.is_behind() && self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
        is_new && self.is_behind()
    }

    /// Records the version in force.
    pub fn record_held(&mut self, version: CatalogVersion) {
        self.held = self.held.max(Some(version));
        if !self.is_behind() {
            self.behind_since = None;
        }
    }

    /// The newest version that is known, at this or another entry.
    pub fn newest(&self) -> Option<CatalogVersion> {
        self.newest.max(self.held)
    }

    /// Whether a version is known that is newer than the one held.
    pub fn is_behind(&self) -> bool {
        self.newest > self.held
    }

    /// The next step; a step to fetch is to be followed by [`FetchPlanner::finish`]. `draw` is
    /// uniformly distributed, and spreads the fetches over the entries that have the version.
    pub fn next(&mut self, draw: u64, now: Instant) -> FetchStep<S> {
        self.offers.retain(|_, offer| now.saturating_duration_since(offer.heard) < OFFER_LIFE);
        let Some(since) = self.behind_since.filter(|_| self.fetching.is_none()) else {
            return FetchStep::Idle;
        };
        if now < since + STORE_GRACE {
            return FetchStep::WaitUntil(since + STORE_GRACE);
        }
        let newer = self.offers.iter().filter(|(_, offer)| Some(offer.version) > self.held);
        let has_failed = |offer: &CatalogOffer| {
            let age = offer.failed.map(|failed| now.saturating_duration_since(failed.at));
            age.is_some_and(|age| age < FAILURE_MEMORY)
        };
        let usable = newer.clone().filter(|(_, offer)| !has_failed(offer));
        if let Some(newest) = usable.clone().map(|(_, offer)| offer.version).max() {
            let sources: Vec<S> = usable
                .filter(|(_, offer)| offer.version == newest)
                .map(|(source, _)| *source)
                .collect();
            let count = u64::try_from(sources.len()).unwrap_or(u64::MAX);
            let index = usize::try_from(draw % count).unwrap_or_default();
            return self.start(sources[index], newest);
        }
        // All have failed; one of them may be back.
        let failed =
            newer.filter_map(|(source, offer)| Some((offer.failed?.retry_at, *source, *offer)));
        let Some((due, source, offer)) = failed.min_by_key(|(due, source, _)| (*due, *source))
        else {
            return FetchStep::Idle;
        };
        match now >= due {
            true => self.start(source, offer.version),
            false => FetchStep::WaitUntil(due),
        }
    }

    fn start(&mut self, source: S, version: CatalogVersion) -> FetchStep<S> {
        self.fetching = Some(source);
        FetchStep::Fetch { source, version }
    }

    /// Records the end of the fetch: whether it has brought a newer version than the one held before.
    /// `draw` spreads the time of the next one.
    pub fn finish(&mut self, is_delivered: bool, draw: u64, now: Instant) {
        let Some(source) = self.fetching.take() else { return };
        if let Some(offer) = self.offers.get_mut(&source) {
            let spread = RETRY_INTERVAL_MS.end - RETRY_INTERVAL_MS.start;
            let pause = Duration::from_millis(RETRY_INTERVAL_MS.start + draw % spread);
            offer.failed =
                (!is_delivered).then_some(FailedFetch { at: now, retry_at: now + pause });
        }
    }
}
