//! When versions came into force in a zone, and who lacks them.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;
use object_api::vms::{VmEntry, VmState};

use crate::{
    spread::{
        children::{ChildTable, LaggingMember, SubtreeReport},
        roster::NodeHash,
    },
    store::objects::{KEPT_ACTIVATIONS, LaggingNode, MAX_LAGGING},
};

/// A version and the moment at which a relay saw it acknowledged by all reachable nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ActivationInstant {
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
    /// Nodes that lack the newest version; at most [`MAX_LAGGING`].
    pub lagging: Vec<LaggingNode>,
    /// Number of all such nodes.
    pub lagging_count: u32,
    /// When recent versions came into force, oldest first.
    pub times: Vec<ActivationInstant>,
}

/// Follows the acknowledgements of a zone.
#[derive(Debug, Default)]
pub struct StatusTracker {
    in_force: ListVersion,
    times: VecDeque<ActivationInstant>,
    written: Option<WrittenStatus>,
}

#[derive(Debug)]
struct WrittenStatus {
    at: Instant,
    report: StatusReport,
}

impl StatusTracker {
    /// Notes the acknowledgements of the whole zone.
    pub fn observe(&mut self, subtree: &SubtreeReport, now: Instant) {
        if subtree.acked <= self.in_force {
            return;
        }
        let first = self.in_force.0.max(subtree.acked.0.saturating_sub(KEPT_ACTIVATIONS as u64));
        for version in first + 1..=subtree.acked.0 {
            self.times.push_back(ActivationInstant { version: ListVersion(version), at: now });
        }
        let surplus = self.times.len().saturating_sub(KEPT_ACTIVATIONS);
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
    pub fn record_write_failure(&mut self) {
        self.written = None;
    }

    fn report(&self, zone: &ZoneView<'_>) -> StatusReport {
        let mut lagging: Vec<_> =
            zone.subtree.lagging.iter().filter_map(|member| zone.resolve_member(member)).collect();
        let unreachable = zone.unreachable_nodes();
        let lagging_count = zone.subtree.lagging_count + unreachable.len() as u32;
        lagging.extend(unreachable);
        lagging.truncate(MAX_LAGGING);
        StatusReport {
            in_force: self.in_force,
            newest: zone.newest,
            nodes: zone.children.members().len() as u32,
            lagging,
            lagging_count,
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
    fn resolve_member(&self, member: &LaggingMember) -> Option<LaggingNode> {
        let vm = self.vms.get(&member.node)?;
        Some(LaggingNode { node: vm.id.clone(), has: member.has, leaving: is_leaving(vm) })
    }

    fn unreachable_nodes(&self) -> Vec<LaggingNode> {
        let members = self.children.members();
        let unreachable = self.vms.iter().filter(|(node, _)| !members.contains(node));
        let nodes = unreachable.map(|(_, vm)| LaggingNode {
            node: vm.id.clone(),
            has: ListVersion(0),
            leaving: is_leaving(vm),
        });
        nodes.collect()
    }
}

fn is_leaving(vm: &VmEntry) -> bool {
    vm.state == VmState::Leaving
}
