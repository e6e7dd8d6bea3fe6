//! Routes that never match, and routes whose values contradict each other.

use std::collections::HashSet;

use base::prelude::*;

use super::finding::{Finding, FindingKind, Place, RouteField};
use crate::{
    draft::CatalogDraft,
    route::{Route, RouteName},
    routes::Catalog,
};

pub(super) fn check(draft: &CatalogDraft) -> Vec<Finding> {
    let services: HashSet<&ServiceName> =
        draft.services.iter().map(|service| &service.name).collect();
    let lookup = lookup_by_index(draft);
    let checked = draft.routes.iter().enumerate().flat_map(|(index, route)| {
        let matching = check_matching(draft, &lookup, index, route);
        let targets = check_targets(&services, route);
        let found = matching.into_iter().chain(targets).chain(check_values(route));
        found.map(move |(field, kind)| Finding::new(Place::Route { index, field }, kind))
    });
    checked.collect()
}

/// The catalog that entries search, with indexes instead of the names of the routes.
fn lookup_by_index(draft: &CatalogDraft) -> Catalog {
    let routes = draft.routes.iter().enumerate();
    let routes = routes.map(|(index, route)| Route {
        name: RouteName(index.to_string()),
        targets: Vec::new(),
        ..route.clone()
    });
    Catalog::new(draft.version, draft.limits, routes.collect(), Vec::new())
}

/// Whether a request could have such a host, without its port.
fn is_possible_host(host: &str) -> bool {
    host.bytes().all(|byte| byte.is_ascii_graphic() && !b":/*?#@".contains(&byte))
}

/// Whether the path of a request could begin with `prefix`; an empty one is that of every path.
fn is_possible_prefix(prefix: &str) -> bool {
    let is_path = prefix.is_empty() || prefix.starts_with('/');
    is_path && !prefix.chars().any(|c| c.is_whitespace() || c.is_control() || "?#".contains(c))
}

fn check_matching(
    draft: &CatalogDraft,
    lookup: &Catalog,
    index: usize,
    route: &Route,
) -> Option<(RouteField, FindingKind)> {
    let (host, prefix) = (route.host.clone(), route.prefix.clone());
    if !is_possible_host(&host) {
        return Some((RouteField::Host, FindingKind::UnmatchableHost { host }));
    }
    if !is_possible_prefix(&prefix) {
        return Some((RouteField::Prefix, FindingKind::UnmatchablePrefix { prefix }));
    }
    // The prefix itself is the path for which a longer prefix cannot win, so that a route that does
    // not get it gets nothing.
    let winner = lookup.route(&host, &prefix)?;
    let first: usize = winner.name.0.parse().ok().filter(|first| *first != index)?;
    let first_name = draft.routes[first].name.clone();
    Some((RouteField::Whole, FindingKind::DuplicateRoute { host, prefix, first, first_name }))
}

fn check_targets(
    services: &HashSet<&ServiceName>,
    route: &Route,
) -> Vec<(RouteField, FindingKind)> {
    let Some(first) = route.targets.first() else {
        return vec![(RouteField::Whole, FindingKind::NoService)];
    };
    let has_share = route.targets.iter().any(|target| target.weight > 0);
    let mut found = Vec::new();
    if !has_share {
        let first = first.service.clone();
        found.push((RouteField::Whole, FindingKind::OnlyZeroWeights { first }));
    }
    for (index, target) in route.targets.iter().enumerate() {
        let field = match route.targets.len() {
            1 => RouteField::OnlyTarget,
            _ => RouteField::Target(index),
        };
        let service = target.service.clone();
        if !services.contains(&service) {
            found.push((field, FindingKind::UnknownService { service }));
        } else if has_share && target.weight == 0 {
            found.push((field, FindingKind::ZeroWeight { service }));
        }
    }
    found
}

fn check_values(route: &Route) -> Vec<(RouteField, FindingKind)> {
    let (timeout, goal) = (route.timeout, route.goal);
    let mut found = Vec::new();
    if timeout.is_zero() {
        found.push((RouteField::Timeout, FindingKind::ZeroTimeout));
    } else if timeout < goal {
        found.push((RouteField::Timeout, FindingKind::TimeoutBelowGoal { timeout, goal }));
    }
    let pause_goal = route.pause_goal.filter(|_| route.kind.is_streaming());
    if let Some(goal) = pause_goal.filter(|goal| *goal > timeout && !timeout.is_zero()) {
        found.push((RouteField::PauseGoal, FindingKind::PauseGoalAboveTimeout { goal, timeout }));
    }
    if route.max_attempts > 1 && !route.kind.may_retry() {
        let attempts = route.max_attempts;
        found.push((RouteField::Attempts, FindingKind::AttemptsWithoutRetry { attempts }));
    }
    found
}
