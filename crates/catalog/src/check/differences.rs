//! What a configuration changes compared with the version in force.

use std::{
    collections::{HashMap, HashSet},
    fmt::Debug,
    hash::Hash,
};

use base::prelude::*;

use super::finding::{
    Finding, FindingKind, LimitField, Place, RouteField, ServiceField, WorkspaceField, key_count,
};
use crate::{
    draft::CatalogDraft,
    engine::{EngineSpec, ModelSpec, Service},
    route::{Route, RouteTarget},
    workspace::{Workspace, WorkspaceQuota},
};

/// A value that differs: its name, before and after.
type ValueChange = (&'static str, String, String);

/// The differences of `draft` from `in_force`, and whether entries would take it at all.
pub fn compare(in_force: &CatalogDraft, draft: &CatalogDraft) -> Vec<Finding> {
    let (before, version) = (in_force.version, draft.version);
    let kind = match version > before {
        true => FindingKind::Changed {
            part: "configuration".to_owned(),
            value: "version",
            before: before.to_string(),
            after: version.to_string(),
        },
        false => FindingKind::VersionNotNewer { version, in_force: before },
    };
    let mut findings = vec![Finding::new(Place::Version, kind)];
    findings.extend(compare_limits(in_force, draft));
    findings.extend(compare_parts(&in_force.routes, &draft.routes));
    findings.extend(compare_parts(&in_force.services, &draft.services));
    let kind = match (&in_force.workspaces, &draft.workspaces) {
        (None, Some(_)) => Some(FindingKind::KeysRequired),
        (Some(_), None) => Some(FindingKind::KeysNotRequired),
        _ => None,
    };
    findings.extend(kind.map(|kind| Finding::new(Place::Workspaces, kind)));
    let before = in_force.workspaces.as_deref().unwrap_or_default();
    findings.extend(compare_parts(before, draft.workspaces.as_deref().unwrap_or_default()));
    findings
}

fn value_change<T: PartialEq + ?Sized>(
    value: &'static str,
    before: &T,
    after: &T,
    show: impl Fn(&T) -> String,
) -> Option<ValueChange> {
    (before != after).then(|| (value, show(before), show(after)))
}

fn debug<T: Debug>(value: &T) -> String {
    format!("{value:?}")
}

fn shown<T: ToString>(value: &T) -> String {
    value.to_string()
}

/// Shows an optional value; `none` stands for a missing one.
fn optional<T: ToString>(value: &Option<T>) -> String {
    value.as_ref().map_or_else(|| "none".to_owned(), T::to_string)
}

fn changed(part: &str, (value, before, after): ValueChange) -> FindingKind {
    FindingKind::Changed { part: part.to_owned(), value, before, after }
}

fn compare_limits(in_force: &CatalogDraft, draft: &CatalogDraft) -> Vec<Finding> {
    let (before, after) = (&in_force.limits, &draft.limits);
    let changes = [
        (LimitField::MaxHead, value_change("head", &before.max_head, &after.max_head, shown)),
        (LimitField::MaxBody, value_change("body", &before.max_body, &after.max_body, shown)),
        (
            LimitField::HeadTimeout,
            value_change("head timeout", &before.head_timeout, &after.head_timeout, debug),
        ),
        (
            LimitField::IdleTimeout,
            value_change("idle timeout", &before.idle_timeout, &after.idle_timeout, debug),
        ),
    ];
    let changes = changes.into_iter().filter_map(|(field, change)| {
        Some(Finding::new(Place::Limit(field), changed("limit", change?)))
    });
    changes.collect()
}

/// A part of a list in the configuration.
trait ListedPart {
    type Identity<'a>: Eq + Hash
    where
        Self: 'a;
    /// Value by which entries identify the part within its list.
    fn identity(&self) -> Self::Identity<'_>;
    /// Whether entries use the first or the last of several parts with one identity.
    const FIRST_COUNTS: bool;
    /// Kind and name.
    fn label(&self) -> String;
    /// Place of the list.
    const LIST: Place;
    /// Place of the part with this index.
    fn place(index: usize) -> Place;
    /// What differs in `after`.
    fn changes(&self, after: &Self) -> Vec<FindingKind>;
}

/// The parts that count, with their indexes, in the order of the document.
fn effective<P: ListedPart>(parts: &[P]) -> Vec<(usize, &P)> {
    let mut seen = HashSet::new();
    let mut kept: Vec<(usize, &P)> = parts.iter().enumerate().collect();
    if !P::FIRST_COUNTS {
        kept.reverse();
    }
    kept.retain(|&(_, part)| seen.insert(part.identity()));
    kept.sort_by_key(|(index, _)| *index);
    kept
}

fn compare_parts<P: ListedPart>(before: &[P], after: &[P]) -> Vec<Finding> {
    let (before, after) = (effective(before), effective(after));
    let old: HashMap<_, _> = before.iter().map(|(_, part)| (part.identity(), *part)).collect();
    let new: HashSet<_> = after.iter().map(|(_, part)| part.identity()).collect();
    let mut findings = Vec::new();
    for (index, part) in &after {
        let kinds = match old.get(&part.identity()) {
            None => vec![FindingKind::Added { part: part.label() }],
            Some(old) => old.changes(part),
        };
        findings.extend(kinds.into_iter().map(|kind| Finding::new(P::place(*index), kind)));
    }
    let gone = before.iter().filter(|(_, part)| !new.contains(&part.identity()));
    findings.extend(
        gone.map(|(_, part)| Finding::new(P::LIST, FindingKind::Removed { part: part.label() })),
    );
    findings
}

fn show_targets(targets: &[RouteTarget]) -> String {
    let shown = targets.iter().map(|target| format!("{}:{}", target.service, target.weight));
    shown.collect::<Vec<_>>().join(",")
}

impl ListedPart for Route {
    type Identity<'a> = (&'a str, &'a str);
    const FIRST_COUNTS: bool = true;
    const LIST: Place = Place::Routes;

    fn identity(&self) -> (&str, &str) {
        (&self.host, &self.prefix)
    }

    fn label(&self) -> String {
        format!("route {} ({} {})", self.name, self.host, self.prefix)
    }

    fn place(index: usize) -> Place {
        Place::Route { index, field: RouteField::Whole }
    }

    fn changes(&self, after: &Self) -> Vec<FindingKind> {
        let changes = [
            value_change("name", &self.name, &after.name, shown),
            value_change("kind", &self.kind, &after.kind, debug),
            value_change("timeout", &self.timeout, &after.timeout, debug),
            value_change("goal", &self.goal, &after.goal, debug),
            value_change("gap goal", &self.pause_goal, &after.pause_goal, debug),
            value_change("attempts", &self.max_attempts, &after.max_attempts, shown),
            value_change("priority", &self.priority, &after.priority, shown),
            value_change("anonymous", &self.is_anonymous, &after.is_anonymous, shown),
            value_change("services", &self.targets[..], &after.targets[..], show_targets),
        ];
        let label = self.label();
        changes.into_iter().flatten().map(|change| changed(&label, change)).collect()
    }
}

impl ListedPart for Service {
    type Identity<'a> = &'a ServiceName;
    const FIRST_COUNTS: bool = false;
    const LIST: Place = Place::Services;

    fn identity(&self) -> &ServiceName {
        &self.name
    }

    fn label(&self) -> String {
        format!("service {}", self.name)
    }

    fn place(index: usize) -> Place {
        Place::Service { index, field: ServiceField::Whole }
    }

    fn changes(&self, after: &Self) -> Vec<FindingKind> {
        let (before_limit, after_limit) = (&self.max_connections, &after.max_connections);
        let connections = value_change("connections", before_limit, after_limit, shown);
        let mut changes: Vec<ValueChange> = connections.into_iter().collect();
        match (&self.engine, &after.engine) {
            (Some(before), Some(after)) => changes.extend(engine_changes(before, after)),
            (before, after) => changes.extend(value_change(
                "has engines",
                &before.is_some(),
                &after.is_some(),
                shown,
            )),
        }
        let label = self.label();
        let mut kinds: Vec<FindingKind> =
            changes.into_iter().map(|change| changed(&label, change)).collect();
        if let (Some(before), Some(after)) = (&self.engine, &after.engine) {
            kinds.extend(model_changes(&label, before, after));
        }
        kinds
    }
}

fn engine_changes(before: &EngineSpec, after: &EngineSpec) -> Vec<ValueChange> {
    let changes = [
        value_change("batch slots", &before.batch_slots, &after.batch_slots, shown),
        value_change("KV capacity", &before.kv_capacity, &after.kv_capacity, shown),
        value_change("weights", &before.weights_capacity, &after.weights_capacity, shown),
        value_change("adapter slots", &before.adapter_slots, &after.adapter_slots, shown),
        value_change("loads", &before.store_load_rate, &after.store_load_rate, shown),
        value_change("memory cache", &before.memory_cache, &after.memory_cache, shown),
        value_change("disk cache", &before.disk_cache, &after.disk_cache, shown),
        value_change("migration", &before.can_migrate, &after.can_migrate, shown),
    ];
    changes.into_iter().flatten().collect()
}

fn model_changes(label: &str, before: &EngineSpec, after: &EngineSpec) -> Vec<FindingKind> {
    let part = |model: &ModelSpec| format!("{label}, model {}", model.id);
    let mut kinds = Vec::new();
    for model in &after.models {
        match before.model(&model.id) {
            None => kinds.push(FindingKind::Added { part: part(model) }),
            Some(old) => {
                let changes = [
                    value_change("weights", &old.weights, &model.weights, shown),
                    value_change("load", &old.store_load, &model.store_load, debug),
                    value_change("load from disk", &old.disk_load, &model.disk_load, debug),
                    value_change("load from memory", &old.memory_load, &model.memory_load, debug),
                    value_change("adapters", &old.adapters, &model.adapters, shown),
                    value_change("adapter size", &old.adapter_size, &model.adapter_size, shown),
                ];
                let changes = changes.into_iter().flatten();
                kinds.extend(changes.map(|change| changed(&part(model), change)));
            }
        }
    }
    let gone = before.models.iter().filter(|model| after.model(&model.id).is_none());
    kinds.extend(gone.map(|model| FindingKind::Removed { part: part(model) }));
    kinds
}

fn show_quota(quota: &Option<WorkspaceQuota>) -> String {
    quota.as_ref().map_or_else(
        || "none".to_owned(),
        |WorkspaceQuota { rate, burst, plain_cost }| {
            format!("{rate}, burst {burst}, plain {plain_cost}")
        },
    )
}

impl ListedPart for Workspace {
    type Identity<'a> = &'a str;
    const FIRST_COUNTS: bool = true;
    const LIST: Place = Place::Workspaces;

    fn identity(&self) -> &str {
        self.name.as_str()
    }

    fn label(&self) -> String {
        format!("workspace {} ({})", self.name, key_count(self.keys.len()))
    }

    fn place(index: usize) -> Place {
        Place::Workspace { index, field: WorkspaceField::Whole }
    }

    fn changes(&self, after: &Self) -> Vec<FindingKind> {
        let changes = [
            value_change("priority", &self.priority, &after.priority, optional),
            value_change("quota", &self.quota, &after.quota, show_quota),
        ];
        let label = format!("workspace {}", self.name);
        let mut kinds: Vec<FindingKind> =
            changes.into_iter().flatten().map(|change| changed(&label, change)).collect();
        let old: HashSet<&KeyHash> = self.keys.iter().collect();
        let new: HashSet<&KeyHash> = after.keys.iter().collect();
        let (added, removed) = (new.difference(&old).count(), old.difference(&new).count());
        if added + removed > 0 {
            let name = self.name.clone();
            kinds.push(FindingKind::KeysChanged { name, added, removed });
        }
        kinds
    }
}
