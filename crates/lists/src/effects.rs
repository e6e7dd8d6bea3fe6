//! The effects of an edit: changed values and affected customers, as shown to operators.

use std::{collections::BTreeMap, fmt};

use base::prelude::*;
use serde::Serialize;

use crate::{
    image::ListDelta,
    rights::PlanEntry,
    section::{SectionKind, SectionName},
    set::ListSet,
};

/// Customers named in one line of output; the rest are counted.
const MAX_NAMED_CUSTOMERS: usize = 8;

/// One value that an edit changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ValueChange {
    /// Key within the section, or a description of a computed value.
    pub value: String,
    /// Text before the edit; empty if the value was absent.
    pub from: String,
    /// Text after the edit; empty if the value is absent.
    pub to: String,
}

/// Changes of one section by an edit, and the customers they affect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EditEffect {
    /// The changed section.
    pub section: SectionName,
    /// Whether the section was added, removed or changed.
    pub kind: EffectKind,
    /// Values that differ, in the order of their keys; a computed share comes last.
    pub changes: Vec<ValueChange>,
    /// Affected customers, sorted: the customer itself, the customers on the plan, or those whose
    /// plan permits the model, adapter or service.
    pub customers: Vec<CustomerId>,
}

/// How an edit changes a section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EffectKind {
    /// Only the newer lists have it.
    Added,
    /// Only the older lists have it.
    Removed,
    /// Both have it, with different values.
    Changed,
}

impl fmt::Display for EditEffect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            EffectKind::Added => "new",
            EffectKind::Removed => "removed",
            EffectKind::Changed => "changed",
        };
        write!(f, "[{}] {kind}", self.section)?;
        for change in &self.changes {
            write!(f, "; {}: {:?} -> {:?}", change.value, change.from, change.to)?;
        }
        let named: Vec<_> =
            self.customers.iter().take(MAX_NAMED_CUSTOMERS).map(CustomerId::as_str).collect();
        let more = self.customers.len() - named.len();
        match (named.is_empty(), more) {
            (true, _) => Ok(()),
            (false, 0) => write!(f, "; for {}", named.join(", ")),
            (false, more) => write!(f, "; for {} and {more} more", named.join(", ")),
        }
    }
}

/// Describes the changes of `delta`, which lead from `older` to `newer`.
///
/// `former` holds the texts before the edit, one for each change of `delta` in the same order.
pub fn edit_effects(
    older: &ListSet,
    newer: &ListSet,
    delta: &ListDelta,
    former: &ListDelta,
) -> Vec<EditEffect> {
    let mut effects = Vec::new();
    for (after, before) in delta.changes.iter().zip(&former.changes) {
        let kind = match (&before.text, &after.text) {
            (None, _) => EffectKind::Added,
            (_, None) => EffectKind::Removed,
            _ => EffectKind::Changed,
        };
        let mut changes = text_changes(before.text.as_deref(), after.text.as_deref());
        changes.extend(share_change(older, newer, &after.name));
        let customers = affected_customers(older, newer, &after.name);
        effects.push(EditEffect { section: after.name.clone(), kind, changes, customers });
    }
    effects
}

fn text_changes(before: Option<&str>, after: Option<&str>) -> Vec<ValueChange> {
    let before = key_values(before.unwrap_or_default());
    let after = key_values(after.unwrap_or_default());
    let mut keys: Vec<_> = before.keys().chain(after.keys()).copied().collect();
    keys.sort_unstable();
    keys.dedup();
    let change = |key: &str| {
        let from = before.get(key).copied().unwrap_or_default().to_owned();
        let to = after.get(key).copied().unwrap_or_default().to_owned();
        (from != to).then(|| ValueChange { value: key.to_owned(), from, to })
    };
    keys.into_iter().filter_map(change).collect()
}

fn key_values(text: &str) -> BTreeMap<&str, &str> {
    text.lines().filter_map(|line| line.split_once(" = ")).collect()
}

/// Returns the change in the percentage of its priority's capacity that one customer of a plan
/// gets; `None` if there is no change or the section is not a plan.
fn share_change(older: &ListSet, newer: &ListSet, name: &SectionName) -> Option<ValueChange> {
    if name.kind != SectionKind::Plan {
        return None;
    }
    let plan = PlanName::new(name.name.as_str()).ok()?;
    let from = share_text(older, &plan);
    let to = share_text(newer, &plan);
    let value = "part of a customer in its priority".to_owned();
    (from != to).then_some(ValueChange { value, from, to })
}

fn share_text(set: &ListSet, plan: &PlanName) -> String {
    let Some(entry) = set.plan(plan) else { return String::new() };
    let total: u64 = set.customers().map(|c| share_at_priority(set, entry, &c.plan)).sum();
    if total == 0 {
        return String::new();
    }
    format!("{:.1}%", f64::from(entry.share.0) * 100.0 / total as f64)
}

fn share_at_priority(set: &ListSet, entry: &PlanEntry, plan: &PlanName) -> u64 {
    let peer = set.plan(plan).filter(|peer| peer.priority == entry.priority);
    peer.map_or(0, |peer| u64::from(peer.share.0))
}

fn affected_customers(older: &ListSet, newer: &ListSet, name: &SectionName) -> Vec<CustomerId> {
    let mut customers: Vec<_> = [older, newer]
        .into_iter()
        .flat_map(|set| set.customers().map(move |customer| (set, customer)))
        .filter(|(set, customer)| {
            let plan = set.plan(&customer.plan);
            match name.kind {
                SectionKind::Customer => customer.id.as_str() == name.name,
                SectionKind::Plan => customer.plan.as_str() == name.name,
                SectionKind::Model => plan.is_some_and(|plan| plan.models.contains(&name.name)),
                SectionKind::Adapter => plan.is_some_and(|plan| plan.adapters.contains(&name.name)),
                SectionKind::Service => plan.is_some_and(|plan| plan.services.contains(&name.name)),
            }
        })
        .map(|(_, customer)| customer.id.clone())
        .collect();
    customers.sort();
    customers.dedup();
    customers
}
