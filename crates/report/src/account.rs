//! The account of edits: who changed what, when it was accepted and in force, and what followed.

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

/// Result of gathering.
pub type Result<T, E = ListError> = std::result::Result<T, E>;

/// A node that lacks the newest version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LackAccount {
    /// The node.
    pub node: VmId,
    /// Version that it has; zero if it was not heard.
    pub has: ListVersion,
    /// Whether it leaves.
    pub is_leaving: bool,
}

impl fmt::Display for LackAccount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leaving = if self.is_leaving { ", leaving" } else { "" };
        match self.has {
            ListVersion(0) => write!(f, "{} (not heard{leaving})", self.node),
            has => write!(f, "{} (has {has}{leaving})", self.node),
        }
    }
}

/// One availability zone now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ZoneAccount {
    /// The zone.
    pub zone: ZoneName,
    /// Version that every reachable node has acknowledged.
    pub in_force: ListVersion,
    /// Version that its relay has.
    pub newest: ListVersion,
    /// Reachable nodes.
    pub nodes: u32,
    /// Some of the nodes that lack the newest version.
    pub lacking: Vec<LackAccount>,
    /// Number of all such nodes.
    pub lacking_count: u32,
}

/// When an edit was in force in a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ZoneForce {
    /// The zone.
    pub zone: ZoneName,
    /// Time after the edit was sent, in milliseconds; `None` if it is not known to be in force.
    pub after_millis: Option<u64>,
}

/// What customers saw in equal spans before and after an edit.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OutcomeChange {
    /// The customer and class.
    pub name: CustomerClass,
    /// In the span before.
    pub before: OutcomeCounts,
    /// In the span after.
    pub after: OutcomeCounts,
}

/// One accepted edit.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EditAccount {
    /// Version to which it led.
    pub version: ListVersion,
    /// Who made it.
    pub operator: OperatorName,
    /// Why.
    pub note: String,
    /// When it was sent, in milliseconds since the Unix epoch.
    pub sent_millis: u64,
    /// What it changed, and for whom.
    pub effects: Vec<EditEffect>,
    /// When it was in force.
    pub zones: Vec<ZoneForce>,
    /// What followed for requests; empty without scrapes of that time.
    pub outcomes: Vec<OutcomeChange>,
}

/// The account.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AccountReport {
    /// Version in force.
    pub version: ListVersion,
    /// The zones now.
    pub zones: Vec<ZoneAccount>,
    /// Accepted edits, oldest first.
    pub edits: Vec<EditAccount>,
}

/// What an account covers.
#[derive(Debug, Clone, Default)]
pub struct AccountScope {
    /// Edits after this version.
    pub after: ListVersion,
    /// Scrapes of the entries.
    pub log: ScrapeLog,
    /// Span compared before and after each edit.
    pub span: Duration,
}

/// Gathers the account from the platform.
///
/// # Errors
///
/// Fails if the platform does not answer or its objects cannot be read.
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
        lacking: status.lacking.iter().map(lack_account).collect(),
        lacking_count: status.lacking_count,
    });
    let effects = all_effects(&lists, &records);
    let edits = records.iter().zip(effects).map(|(record, effects)| EditAccount {
        version: record.version,
        operator: record.operator.clone(),
        note: record.note.clone(),
        sent_millis: record.sent_millis,
        effects,
        zones: times.iter().map(|zone| zone_force(zone, record)).collect(),
        outcomes: outcome_changes(scope, record.sent_millis),
    });
    Ok(AccountReport {
        version: lists.head.version,
        zones: zones.collect(),
        edits: edits.collect(),
    })
}

fn lack_account(lack: &lists::store::LaggingNode) -> LackAccount {
    LackAccount { node: lack.node.clone(), has: lack.has, is_leaving: lack.leaving }
}

/// Effects of each edit, worked out backwards from the lists in force.
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

fn zone_force(zone: &ZoneActivations, record: &EditRecord) -> ZoneForce {
    let time = zone.times.iter().find(|time| time.version == record.version);
    let after_millis = time.map(|time| time.millis.saturating_sub(record.sent_millis));
    ZoneForce { zone: zone.zone.clone(), after_millis }
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
    /// The account of this edit line by line.
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
            for lack in &zone.lacking {
                write!(f, ", {lack}")?;
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
