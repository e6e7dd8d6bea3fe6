//! Checks a configuration before it is sent: what can never match, what contradicts itself, and what
//! changes compared with the version in force.
//!
//! Operators send a configuration as a whole. A route that another one hides, or a burst below the
//! cost of a request, otherwise shows only as refused requests.

mod callers;
pub mod differences;
pub mod finding;
mod routes;
mod services;
mod workspaces;

pub use self::{
    differences::compare,
    finding::{
        Finding, FindingKind, LimitField, Place, RouteField, ServiceField, Severity, WorkspaceField,
    },
};

use crate::{draft::CatalogDraft, units::TokenCount};

/// What the operator knows of the requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CheckSettings {
    /// Cost of the dearest request that callers may send. The configuration does not state it;
    /// without it, only the cost of requests that do not state their tokens is compared with bursts.
    pub dearest_request: Option<TokenCount>,
}

/// The faults of a configuration that the entries accept, in the order of its parts.
pub fn check(draft: &CatalogDraft, settings: &CheckSettings) -> Vec<Finding> {
    let mut findings = routes::check(draft);
    findings.extend(services::check(&draft.services));
    findings.extend(callers::check(&draft.limits));
    if let Some(workspaces) = &draft.workspaces {
        findings.extend(workspaces::check(workspaces, settings));
    }
    findings
}
