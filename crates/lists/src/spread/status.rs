//! When versions came into force in a zone, and who lacks them.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;
use object_api::vms::{VmEntry, VmState};

use crate::{
    spread::{
        children::{ChildTable, NodeLack, SubtreeReport},
        roster::NodeHash,
    },
    store::objects::{KEPT_FORCE_TIMES, MAX_LACKING, ZoneLack},
};

/// A version and the moment at which a relay saw it acknowledged by all reachable nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForceMoment {
    /// The version.
    pub version: ListVersion,
    /// The moment.
    pub at: Instant,
}

/// What a relay reports about its zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusReport {
    /// Version that every reachable node has acknowledged.
    pub in_force: ListVersion,
    /// Version that the relay has.
    pub newest: ListVersion,
    /// Reachable nodes.
    pub nodes: u32,
    /// Nodes that lack the newest version; at most [`MAX_LACKING`].
    pub lacking: Vec<ZoneLack>,
    /// Number of all such nodes.
    pub lacking_count: u32,
    /// When recent versions came into force, oldest first.
    pub times: Vec<ForceMoment>,
}

/// Follows the acknowledgements of a zone.
#[derive(Debug, Default)]
pub struct StatusKeeper {
    in_force: ListVersion,
    times: VecDeque<ForceMoment>,
    written: Option<WrittenStatus>,
}

#[derive(Debug)]
struct WrittenStatus {
    at: Instant,
    report: StatusReport,
}

impl StatusKeeper {
    /// Notes the acknowledgements of the whole zone.
    pub fn observe(&mut self, subtree: &SubtreeReport, now: Instant) {
        if subtree.acked <= self.in_force {
            return;
        }
        let first = self.in_force.0.max(subtree.acked.0.saturating_sub(KEPT_FORCE_TIMES as u64));
        for version in first + 1..=subtree.acked.0 {
            self.times.push_back(ForceMoment { version: ListVersion(version), at: now });
        }
        let surplus = self.times.len().saturating_sub(KEPT_FORCE_TIMES);
        self.times.drain(..surplus);
        self.in_force = subtree.acked;
    }

    /// The report to write now, if it differs from the last one and `pause` has passed since.
    pub fn due_report(
        &mut self,
        zone: &ZoneView<'_>,
        pause: Duration,
        now: Instant,
    ) -> Option<StatusReport> {
        let is_early =
            self.written.as_ref().is_some_and(|written| now.duration_since(written.at) < pause);
        if is_early {
            return None;
        }
        let report = self.report(zone);
        if self.written.as_ref().is_some_and(|written| written.report == report) {
            return None;
        }
        self.written = Some(WrittenStatus { at: now, report: report.clone() });
        Some(report)
    }

    /// Forgets the last report, so that it is written again.
    pub fn write_failed(&mut self) {
        self.written = None;
    }

    fn report(&self, zone: &ZoneView<'_>) -> StatusReport {
        let mut lacking: Vec<_> =
            zone.subtree.lacking.iter().filter_map(|lack| zone.name_lack(lack)).collect();
        let silent = zone.silent_nodes();
        let lacking_count = zone.subtree.lacking_count + silent.len() as u32;
        lacking.extend(silent);
        lacking.truncate(MAX_LACKING);
        StatusReport {
            in_force: self.in_force,
            newest: zone.newest,
            nodes: zone.children.members().len() as u32,
            lacking,
            lacking_count,
            times: self.times.iter().copied().collect(),
        }
    }
}

/// What a relay knows about its zone.
#[derive(Debug)]
pub struct ZoneView<'a> {
    /// Version that the relay has.
    pub newest: ListVersion,
    /// Acknowledgements.
    pub subtree: &'a SubtreeReport,
    /// Nodes that can be reached.
    pub children: &'a ChildTable,
    /// Nodes of the zone in the VM list.
    pub vms: &'a BTreeMap<NodeHash, VmEntry>,
}

impl ZoneView<'_> {
    fn name_lack(&self, lack: &NodeLack) -> Option<ZoneLack> {
        let vm = self.vms.get(&lack.node)?;
        Some(ZoneLack { node: vm.id.clone(), has: lack.has, leaving: is_leaving(vm) })
    }

    fn silent_nodes(&self) -> Vec<ZoneLack> {
        let members = self.children.members();
        let silent = self.vms.iter().filter(|(node, _)| !members.contains(node));
        let lacks = silent.map(|(_, vm)| ZoneLack {
            node: vm.id.clone(),
            has: ListVersion(0),
            leaving: is_leaving(vm),
        });
        lacks.collect()
    }
}

fn is_leaving(vm: &VmEntry) -> bool {
    vm.state == VmState::Leaving
}
