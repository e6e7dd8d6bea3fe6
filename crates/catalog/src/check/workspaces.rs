//! Keys that lead to another workspace, and quotas that no request is within.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::{
    CheckSettings,
    finding::{Finding, FindingKind, Place, WorkspaceField},
};
use crate::{
    units::TokenCount,
    workspace::{Workspace, WorkspaceName, WorkspaceQuota},
};

pub(super) fn check(workspaces: &[Workspace], settings: &CheckSettings) -> Vec<Finding> {
    if workspaces.is_empty() {
        return vec![Finding::new(Place::Workspaces, FindingKind::NoWorkspaces)];
    }
    let mut first_by_name: HashMap<&WorkspaceName, usize> = HashMap::new();
    let mut first_by_key = HashMap::new();
    let mut findings = Vec::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        let mut found = Vec::new();
        let first = *first_by_name.entry(&workspace.name).or_insert(index);
        if first != index {
            let name = workspace.name.clone();
            found.push((WorkspaceField::Whole, FindingKind::DuplicateWorkspace { name, first }));
        }
        if workspace.keys.is_empty() {
            found.push((WorkspaceField::Keys, FindingKind::NoKeys));
        }
        let unique: HashSet<_> = workspace.keys.iter().collect();
        let count = workspace.keys.len() - unique.len();
        if count > 0 {
            found.push((WorkspaceField::Keys, FindingKind::RepeatedKeys { count }));
        }
        let mut shared: BTreeMap<usize, usize> = BTreeMap::new();
        for key in unique {
            let first = *first_by_key.entry(key).or_insert(index);
            if first != index {
                *shared.entry(first).or_default() += 1;
            }
        }
        for (first, count) in shared {
            let first_name = workspaces[first].name.clone();
            let kind = FindingKind::SharedKeys { count, first, first_name };
            found.push((WorkspaceField::Keys, kind));
        }
        found.extend(workspace.quota.as_ref().and_then(|quota| check_quota(quota, settings)));
        let found = found.into_iter();
        findings.extend(
            found.map(|(field, kind)| Finding::new(Place::Workspace { index, field }, kind)),
        );
    }
    findings
}

fn check_quota(
    quota: &WorkspaceQuota,
    settings: &CheckSettings,
) -> Option<(WorkspaceField, FindingKind)> {
    let WorkspaceQuota { rate, burst, plain_cost: cost } = *quota;
    if cost > burst && cost.0 as f64 > rate.0 {
        return Some((
            WorkspaceField::PlainCost,
            FindingKind::PlainCostAboveQuota { cost, rate, burst },
        ));
    }
    // A request that states its tokens costs at least one.
    let cost = cost.max(settings.dearest_request.unwrap_or(TokenCount(1)));
    let is_below = burst < cost;
    is_below.then_some((WorkspaceField::Burst, FindingKind::BurstBelowRequest { burst, cost }))
}
