//! Activation of versions in a zone, and the nodes that lag behind.
//!
//! A version is active in a zone once every reachable node has acknowledged it.

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

/// The time at which a relay saw a version acknowledged by all reachable nodes of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ActivationInstant {
    /// Version that became active.
    pub version: ListVersion,
    /// When the relay saw the last acknowledgement, on its own clock.
    pub at: Instant,
}

/// Status of a zone as its relay reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusReport {
    /// Version that every reachable node has acknowledged.
    pub in_force: ListVersion,
    /// Version that the relay has.
    pub newest: ListVersion,
    /// Number of reachable nodes, including the relay.
    pub nodes: u32,
    /// Nodes with an older version than the relay, and unreachable nodes; at most [`MAX_LAGGING`].
    pub lagging: Vec<LaggingNode>,
    /// Number of all such nodes.
    pub lagging_count: u32,
    /// Activations of recent versions, oldest first.
    pub times: Vec<ActivationInstant>,
}

/// Tracks the acknowledgements of a zone and decides when its status is written.
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
    /// Records the acknowledgements of the whole zone.
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

    /// Returns the report to write, if it differs from the last one and `pause` has passed since.
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

    /// Discards the last report, so that the next one is written without delay.
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

/// The state of a zone as its relay knows it.
#[derive(Debug)]
pub struct ZoneView<'a> {
    /// Version that the relay has.
    pub newest: ListVersion,
    /// Acknowledgements of the relay's subtree, which spans the zone.
    pub subtree: &'a SubtreeReport,
    /// Children of the relay; their members are the reachable nodes.
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
