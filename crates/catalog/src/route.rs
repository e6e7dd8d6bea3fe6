//! Routes: which service handles a request, with which limits, and whether it may be retried.

use base::prelude::*;

/// Name of a route, used in logs only.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteName(pub String);

impl std::fmt::Display for RouteName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// How the requests of a route are answered and whether they may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Streaming {
        /// Whether another engine can resume the stream after the last event that was received.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again from the start.
    pub fn may_retry(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Streaming { is_resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, RouteKind::Streaming { .. })
    }
}

/// A service of a route and its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Service that handles the requests.
    pub service: ServiceName,
    /// Share of the requests, relative to the sum over all targets of the route.
    pub weight: u32,
}

/// A route: requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, used in logs only.
    pub name: RouteName,
    /// Host header that it matches, in lower case and without port.
    pub host: String,
    /// Path prefix that it matches; begins and ends with a slash.
    pub prefix: String,
    /// Form of the answer and whether requests may be retried.
    pub kind: RouteKind,
    /// Maximum time from the arrival of a request to the end of its answer, retries included.
    pub timeout: Duration,
    /// Latency goal: maximum time to the answer, or to the first event of a stream.
    pub goal: Duration,
    /// Latency goal for the gap between two events of a stream; none if the route sets none.
    pub pause_goal: Option<Duration>,
    /// Maximum number of backend servers on which one request may run.
    pub max_attempts: u32,
    /// Priority of its requests; zero is the most urgent.
    pub priority: u32,
    /// Whether callers need no key where others do.
    pub is_anonymous: bool,
    /// Services that share its requests; at least one.
    pub targets: Vec<RouteTarget>,
}

impl Route {
    /// Whether `service` gets a share of its requests.
    pub fn leads_to(&self, service: &ServiceName) -> bool {
        self.targets.iter().any(|target| target.service == *service && target.weight > 0)
            || (self.targets.first().is_some_and(|target| target.service == *service)
                && self.targets.iter().all(|target| target.weight == 0))
    }

    /// Picks the service of a request by weight, given a uniformly distributed random `draw`.
    pub fn pick_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut rest = draw % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return Some(&target.service);
            }
            rest -= weight;
        }
        None
    }
}
