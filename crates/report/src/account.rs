//! The account of list edits: who changed what, when the edit was sent and became active, and how
//! request outcomes changed.

use std::{collections::BTreeMap, fmt};

use base::prelude::*;
use lists::{
    EditEffect, ListSet, edit_effects,
    store::{
        EditRecord, ListError, LoadedLists, ZoneActivations, activation_times, edits_between,
        read_lists, read_statuses,
    },
};
use object_api::ObjectStore;
use serde::Serialize;

use crate::{
    outcome::{CustomerClass, OutcomeCounts},
    scrape::ScrapeLog,
};

/// Result of gathering the account.
pub type Result<T, E = ListError> = std::result::Result<T, E>;

/// A node that has an older version than its relay or is unreachable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LaggingNode {
    /// Name of the node.
    pub node: VmId,
    /// Version that the node has; zero if none or if it is unreachable.
    pub has: ListVersion,
    /// Whether the VM list marks the VM as leaving.
    pub is_leaving: bool,
}

impl fmt::Display for LaggingNode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leaving = if self.is_leaving { ", leaving" } else { "" };
        match self.has {
            ListVersion(0) => write!(f, "{} (no version acknowledged{leaving})", self.node),
            has => write!(f, "{} (has {has}{leaving})", self.node),
        }
    }
}

/// Current status of one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ZoneAccount {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Version that every reachable node has acknowledged.
    pub in_force: ListVersion,
    /// Newest version that the relay of the zone has.
    pub newest: ListVersion,
    /// Number of reachable nodes.
    pub nodes: u32,
    /// Nodes that have an older version or are unreachable; at most
    /// [`lists::store::objects::MAX_LAGGING`] are named.
    pub lacking: Vec<LaggingNode>,
    /// Number of all such nodes.
    pub lacking_count: u32,
}

/// When an edit became active in a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ZoneActivation {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Time from sending the edit until it was active, in milliseconds; `None` if no record shows
    /// that it is active.
    pub after_millis: Option<u64>,
}

/// Request outcomes of one customer and class in equally long spans before and after an edit.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OutcomeChange {
    /// Customer and class.
    pub name: CustomerClass,
    /// Counts in the span before the edit.
    pub before: OutcomeCounts,
    /// Counts in the span after the edit.
    pub after: OutcomeCounts,
}

/// One accepted edit.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EditAccount {
    /// Version of the lists that the edit created.
    pub version: ListVersion,
    /// Operator who sent the edit.
    pub operator: OperatorName,
    /// Operator's reason for the edit, as free text.
    pub note: String,
    /// Time at which it was sent, in milliseconds since the Unix epoch.
    pub sent_millis: u64,
    /// Changed entries and the customers affected.
    pub effects: Vec<EditEffect>,
    /// When it became active in each zone.
    pub zones: Vec<ZoneActivation>,
    /// Request outcomes before and after it; empty without scrapes from that time.
    pub outcomes: Vec<OutcomeChange>,
}

/// The account: status of the zones and history of edits.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AccountReport {
    /// Newest accepted version of the lists.
    pub version: ListVersion,
    /// Current status of each zone.
    pub zones: Vec<ZoneAccount>,
    /// Accepted edits, oldest first.
    pub edits: Vec<EditAccount>,
}

/// Which edits an account covers, and the data for comparing outcomes.
#[derive(Debug, Clone, Default)]
pub struct AccountScope {
    /// Only edits after this version are listed.
    pub after: ListVersion,
    /// Scraped metrics of the entries; may be empty.
    pub log: ScrapeLog,
    /// Length of the spans compared before and after each edit.
    pub span: Duration,
}

/// Gathers the account from the platform's store.
///
/// # Errors
///
/// Fails if the store does not answer, its objects cannot be decoded or the record of an edit is
/// missing.
pub async fn gather_account(
    store: &dyn ObjectStore,
    scope: &AccountScope,
) -> Result<AccountReport> {
    let lists = read_lists(store).await?;
    let records = edits_between(store, &lists.head, scope.after).await?;
    let statuses = read_statuses(store).await?;
    let times = activation_times(store, &statuses, scope.after).await?;
    let zones = statuses.iter().map(|status| ZoneAccount {
        zone: status.zone.clone(),
        in_force: status.in_force,
        newest: status.newest,
        nodes: status.nodes,
        lacking: status.lacking.iter().map(lagging_node).collect(),
        lacking_count: status.lacking_count,
    });
    let effects = all_effects(&lists, &records);
    let edits = records.iter().zip(effects).map(|(record, effects)| EditAccount {
        version: record.version,
        operator: record.operator.clone(),
        note: record.note.clone(),
        sent_millis: record.sent_millis,
        effects,
        zones: times.iter().map(|zone| zone_activation(zone, record)).collect(),
        outcomes: outcome_changes(scope, record.sent_millis),
    });
    Ok(AccountReport {
        version: lists.head.version,
        zones: zones.collect(),
        edits: edits.collect(),
    })
}

fn lagging_node(stored: &lists::store::LaggingNode) -> LaggingNode {
    LaggingNode { node: stored.node.clone(), has: stored.has, is_leaving: stored.leaving }
}

/// Effects of each edit, in the order of `records`. Starts from the current lists and undoes one
/// edit after the other with the former sections of its record.
fn all_effects(lists: &LoadedLists, records: &[EditRecord]) -> Vec<Vec<EditEffect>> {
    let mut effects = Vec::with_capacity(records.len());
    let Ok(mut newer) = ListSet::from_image(lists.head.version, &lists.image) else {
        return records.iter().map(|_| Vec::new()).collect();
    };
    for record in records.iter().rev() {
        let version = ListVersion(record.version.0.saturating_sub(1));
        let older = newer.updated(version, &record.former).unwrap_or_else(|_| newer.clone());
        effects.push(edit_effects(&older, &newer, &record.delta, &record.former));
        newer = older;
    }
    effects.reverse();
    effects
}

fn zone_activation(zone: &ZoneActivations, record: &EditRecord) -> ZoneActivation {
    let time = zone.times.iter().find(|time| time.version == record.version);
    let after_millis = time.map(|time| time.millis.saturating_sub(record.sent_millis));
    ZoneActivation { zone: zone.zone.clone(), after_millis }
}

fn outcome_changes(scope: &AccountScope, sent: u64) -> Vec<OutcomeChange> {
    let span = scope.span.as_millis() as u64;
    let mut before = scope.log.between(sent.saturating_sub(span), sent);
    let after: BTreeMap<_, _> = scope.log.between(sent, sent + span);
    let mut changes = Vec::new();
    for (name, after) in after {
        let before = before.remove(&name).unwrap_or_default();
        changes.push(OutcomeChange { name, before, after });
    }
    changes
}

impl EditAccount {
    /// The effects, activation times and outcomes of this edit, one text line each.
    pub fn lines(&self) -> Vec<String> {
        let mut lines: Vec<_> = self.effects.iter().map(EditEffect::to_string).collect();
        for zone in &self.zones {
            lines.push(match zone.after_millis {
                Some(millis) => format!("in force in {} after {millis} ms", zone.zone),
                None => format!("not known to be in force in {}", zone.zone),
            });
        }
        lines.extend(self.outcomes.iter().map(OutcomeChange::to_string));
        lines
    }
}

impl fmt::Display for OutcomeChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (before, after) = (&self.before, &self.after);
        write!(f, "{}: requests {} -> {}", self.name, before.requests, after.requests)?;
        write!(f, ", refused {} -> {}", before.refused, after.refused)?;
        write!(f, ", missed {} -> {}", before.missed(), after.missed())?;
        let (from, to) = (before.mean_seconds() * 1e3, after.mean_seconds() * 1e3);
        write!(f, ", mean wait {from:.0} -> {to:.0} ms")
    }
}

impl fmt::Display for AccountReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "version {} is accepted", self.version)?;
        for zone in &self.zones {
            write!(f, "zone {}: version {} in force", zone.zone, zone.in_force)?;
            write!(f, " at {} nodes, {} lack {}", zone.nodes, zone.lacking_count, zone.newest)?;
            for node in &zone.lacking {
                write!(f, ", {node}")?;
            }
            writeln!(f)?;
        }
        for edit in &self.edits {
            writeln!(f, "version {} by {}: {}", edit.version, edit.operator, edit.note)?;
            for line in edit.lines() {
                writeln!(f, "  {line}")?;
            }
        }
        Ok(())
    }
}
