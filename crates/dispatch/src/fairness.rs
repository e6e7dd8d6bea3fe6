//! The order in which requests that wait for the same service are served: start-time fair queueing.
//!
//! Each flow has a tag: the virtual time at which its next request starts. Of the flows that wait, the
//! one with the smallest tag is served next, and its tag grows by the cost of the request. Flows are
//! workspaces, and within a workspace its routes.
//!
//! Guarantee: while two workspaces wait for capacity that either can use, the costs served of them
//! differ by at most the sum of the largest single cost of each. A workspace gains no
//! credit while it does not wait.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use catalog::{RouteName, WorkspaceName};

/// Tags of the flows of one level, such as the workspaces of a queue.
#[derive(Debug, Clone)]
pub struct FairTags<F> {
    /// Start of the latest service, in units of cost.
    virtual_time: f64,
    tags: BTreeMap<F, FlowTag>,
}

#[derive(Debug, Clone, Copy, Default)]
struct FlowTag {
    start: f64,
    is_waiting: bool,
}

impl<F> Default for FairTags<F> {
    fn default() -> Self {
        Self { virtual_time: 0.0, tags: BTreeMap::new() }
    }
}

impl<F: Clone + Ord> FairTags<F> {
    /// Sets which flows wait. One that begins to wait starts at the virtual time; one that goes on
    /// waiting keeps its tag.
    pub fn set_waiting<'a>(&mut self, waiting: impl Iterator<Item = &'a F>)
    where
        F: 'a,
    {
        let now = self.virtual_time;
        let mut before = std::mem::take(&mut self.tags);
        for flow in waiting {
            if self.tags.contains_key(flow) {
                continue;
            }
            let tag = before.remove(flow).unwrap_or_default();
            let start = if tag.is_waiting { tag.start } else { tag.start.max(now) };
            self.tags.insert(flow.clone(), FlowTag { start, is_waiting: true });
        }
        // One that does not wait is kept only while it has used more than its share.
        let ahead = before.into_iter().filter(|(_, tag)| tag.start > now);
        self.tags.extend(ahead.map(|(flow, tag)| (flow, FlowTag { is_waiting: false, ..tag })));
    }

    /// Tag of a flow.
    pub fn tag(&self, flow: &F) -> f64 {
        match self.tags.get(flow) {
            Some(tag) if tag.is_waiting => tag.start,
            Some(tag) => tag.start.max(self.virtual_time),
            None => self.virtual_time,
        }
    }

    /// Charges a flow for a request that is served now.
    pub fn charge(&mut self, flow: &F, cost: f64) {
        let start = self.tag(flow);
        self.tags.entry(flow.clone()).or_default().start = start + cost;
        // Service out of order must not advance the virtual time past flows that wait.
        let waiting = self.tags.values().filter(|tag| tag.is_waiting).map(|tag| tag.start);
        let present = waiting.fold(start, f64::min);
        self.virtual_time = self.virtual_time.max(present);
    }

    /// Number of flows that are kept.
    pub fn len(&self) -> usize {
        self.tags.len()
    }

    /// Whether no flow is kept.
    pub fn is_empty(&self) -> bool {
        self.tags.is_empty()
    }

    /// Whether a flow is kept: it waits, or has used more than its share.
    pub fn has(&self, flow: &F) -> bool {
        self.tags.contains_key(flow)
    }
}

/// Workspace and route of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct FairFlow {
    /// Workspace; none for callers without one, who are one flow together.
    pub workspace: Option<WorkspaceName>,
    /// Route; none for callers without a workspace.
    pub route: Option<RouteName>,
}

/// A request that waits.
#[derive(Debug, Clone)]
pub struct WaitingRequest {
    /// Key of the request.
    pub key: u64,
    /// Workspace and route.
    pub flow: FairFlow,
    /// Cost in tokens or requests; one unit for all requests of a queue.
    pub cost: f64,
    /// Place within its flow, which also breaks ties between flows: the deadline of its answer, or a
    /// past time if it comes before all others.
    pub rank: Instant,
}

/// The requests of one service and priority.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    workspaces: FairTags<Option<WorkspaceName>>,
    routes: BTreeMap<Option<WorkspaceName>, FairTags<Option<RouteName>>>,
}

impl FairQueue {
    /// Charges the flow of a request that is served now.
    pub fn charge(&mut self, flow: &FairFlow, cost: f64) {
        self.workspaces.charge(&flow.workspace, cost);
        self.routes.entry(flow.workspace.clone()).or_default().charge(&flow.route, cost);
    }

    /// The keys of all requests that wait, in the order in which they are to be served. To be called
    /// with none too, so that flows that wait no more lose their tags.
    pub fn order(&mut self, mut waiting: Vec<WaitingRequest>) -> Vec<u64> {
        waiting.sort_by(|a, b| {
            (&a.flow.workspace, a.rank, a.key).cmp(&(&b.flow.workspace, b.rank, b.key))
        });
        self.workspaces.set_waiting(waiting.iter().map(|request| &request.flow.workspace));
        let mut ranked = Vec::with_capacity(waiting.len());
        let mut workspaces = BTreeSet::new();
        for requests in waiting.chunk_by(|a, b| a.flow.workspace == b.flow.workspace) {
            let workspace = &requests[0].flow.workspace;
            workspaces.insert(workspace);
            let routes = self.routes.entry(workspace.clone()).or_default();
            routes.set_waiting(requests.iter().map(|request| &request.flow.route));
            let in_order = order_level(requests, |request| &request.flow.route, routes);
            let mut tag = self.workspaces.tag(workspace);
            for request in in_order {
                ranked.push((tag, request.rank, request.key));
                tag += request.cost;
            }
        }
        for (workspace, routes) in &mut self.routes {
            if !workspaces.contains(workspace) {
                routes.set_waiting(std::iter::empty());
            }
        }
        // A workspace that has no more than its share is forgotten with its routes.
        self.routes.retain(|workspace, _| self.workspaces.has(workspace));
        ranked.sort_by(|(tag, rank, key), (other_tag, other_rank, other_key)| {
            tag.total_cmp(other_tag).then((rank, key).cmp(&(other_rank, other_key)))
        });
        ranked.into_iter().map(|(_, _, key)| key).collect()
    }

    /// Number of flows that are kept, over both levels.
    pub fn flow_count(&self) -> usize {
        self.workspaces.len() + self.routes.values().map(FairTags::len).sum::<usize>()
    }
}

/// Orders the requests of one workspace, which are sorted by their ranks, by the tags of their
/// routes.
fn order_level<'a, F: Clone + Ord + 'a>(
    requests: &'a [WaitingRequest],
    flow_of: impl Fn(&'a WaitingRequest) -> &'a F,
    tags: &FairTags<F>,
) -> Vec<&'a WaitingRequest> {
    let mut next: BTreeMap<&F, f64> = BTreeMap::new();
    let mut ranked: Vec<(f64, &WaitingRequest)> = Vec::with_capacity(requests.len());
    for request in requests {
        let flow = flow_of(request);
        let tag = next.entry(flow).or_insert_with(|| tags.tag(flow));
        ranked.push((*tag, request));
        *tag += request.cost;
    }
    // Stable, so that requests with equal tags stay in the order of their ranks.
    ranked.sort_by(|(tag, _), (other, _)| tag.total_cmp(other));
    ranked.into_iter().map(|(_, request)| request).collect()
}
