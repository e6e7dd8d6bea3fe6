//! Routes: which requests go to which service, and what may be done with them.

use base::prelude::*;

/// Name of a route, for logs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteName(pub String);

impl std::fmt::Display for RouteName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a series of events.
    Streaming {
        /// Whether another engine may go on after the last event that was received.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again from its start.
    pub fn may_repeat(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Streaming { is_resumable: true })
    }

    /// Whether the answer is a series of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, RouteKind::Streaming { .. })
    }
}

/// A service of a route and its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Service.
    pub service: ServiceName,
    /// Part of the requests, relative to the other targets.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept.
    pub timeout: Duration,
    /// Time within which an answer (a first event) is on time.
    pub goal: Duration,
    /// Longest pause between two events of an answer that is on time.
    pub pause_goal: Option<Duration>,
    /// Backend servers on which one request may run.
    pub max_attempts: u32,
    /// Rank; zero is the most urgent.
    pub priority: u32,
    /// Services; at least one.
    pub targets: Vec<RouteTarget>,
}

impl Route {
    /// The service of a request whose draw is `draw` (any number, uniformly distributed).
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
