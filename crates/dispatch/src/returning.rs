//! Requests that were refused without having run, so that their callers are served before newcomers of
//! their workspace when they return.
//!
//! A caller that returns sends a new call id. It is recognized by its workspace, its route and the
//! parts of its prompt, or by the contents of a request without such parts.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

use base::prelude::*;

use crate::decision::DispatchRequest;

/// Most refusals that are remembered; the oldest are forgotten first. They take about 100 KB.
const MAX_REFUSALS: usize = 4_096;
/// Time for which a refusal is remembered. Callers return within a third of their time, and the longest
/// timeout of a route in use is 30 s.
const REFUSAL_LIFE: Duration = Duration::from_secs(10);

/// What a request and its repetitions by the caller have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestIdentity(u64);

impl RequestIdentity {
    /// None without a workspace.
    fn of(request: &DispatchRequest) -> Option<Self> {
        request.workspace.as_ref()?;
        Some(Self::hash_of(request))
    }

    /// Identity of a request with or without a workspace; none if nothing tells it from others.
    pub(crate) fn of_any(request: &DispatchRequest) -> Option<Self> {
        let has_parts =
            request.generation.as_ref().is_some_and(|generation| !generation.parts.is_empty());
        (has_parts || !request.suspect_keys.is_empty()).then(|| Self::hash_of(request))
    }

    fn hash_of(request: &DispatchRequest) -> Self {
        let mut hasher = DefaultHasher::new();
        (&request.workspace, &request.route).hash(&mut hasher);
        let parts = request.generation.as_ref().map_or(&[][..], |generation| &generation.parts);
        match parts.is_empty() {
            false => parts.iter().for_each(|part| part.id.hash(&mut hasher)),
            true => request.suspect_keys.iter().for_each(|key| key.hash(&mut hasher)),
        }
        Self(hasher.finish())
    }
}

#[derive(Debug, Clone, Copy)]
struct PastRefusal {
    refused: Instant,
    /// Since when the caller has wanted it to be served.
    since: Instant,
}

/// The refusals of the last seconds.
#[derive(Debug, Default)]
pub struct RefusedRequests {
    by_identity: HashMap<RequestIdentity, VecDeque<PastRefusal>>,
    /// All refusals by their time, also those whose callers have returned.
    refusals: VecDeque<(Instant, RequestIdentity)>,
}

impl RefusedRequests {
    /// Records that a request is refused, which has wanted to be served since `since`.
    pub fn record(&mut self, request: &DispatchRequest, since: Instant, now: Instant) {
        let Some(identity) = RequestIdentity::of(request) else { return };
        self.forget(now);
        let refusal = PastRefusal { refused: now, since };
        self.by_identity.entry(identity).or_default().push_back(refusal);
        self.refusals.push_back((now, identity));
    }

    /// Takes the refusal of an earlier try of this request; returns since when it has wanted to be
    /// served, or none if it is not known.
    pub fn take(&mut self, request: &DispatchRequest, now: Instant) -> Option<Instant> {
        let identity = RequestIdentity::of(request)?;
        self.forget(now);
        let refusals = self.by_identity.get_mut(&identity)?;
        let oldest = refusals.pop_front();
        if refusals.is_empty() {
            self.by_identity.remove(&identity);
        }
        oldest.map(|refusal| refusal.since)
    }

    /// Number of refusals that are remembered.
    pub fn len(&self) -> usize {
        self.by_identity.values().map(VecDeque::len).sum()
    }

    /// Whether no refusal is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_identity.is_empty()
    }

    fn forget(&mut self, now: Instant) {
        while let Some((refused, identity)) = self.refusals.front().copied() {
            let is_old = now.saturating_duration_since(refused) >= REFUSAL_LIFE;
            if !is_old && self.refusals.len() < MAX_REFUSALS {
                return;
            }
            self.refusals.pop_front();
            if let Some(refusals) = self.by_identity.get_mut(&identity) {
                refusals.retain(|refusal| refusal.refused > refused);
                if refusals.is_empty() {
                    self.by_identity.remove(&identity);
                }
            }
        }
    }
}
