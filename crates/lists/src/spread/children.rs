//! The children of a node, and the versions acknowledged in its subtree.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use crate::spread::{
    MAX_CHILDREN,
    message::{HeartbeatMessage, LaggingMemberMessage},
    roster::NodeHash,
};

/// Lagging nodes named in one heartbeat; the rest are counted.
const MAX_NAMED_LAGGING: usize = 32;

/// Contents of a child's last heartbeat.
#[derive(Debug, Clone)]
struct ChildReport {
    received_at: Instant,
    incarnation: ProcessIncarnation,
    version: ListVersion,
    acked: ListVersion,
    members_digest: u64,
    members: Vec<NodeHash>,
    lagging: Vec<LaggingMemberMessage>,
    lagging_count: u32,
}

/// Versions acknowledged by a node and all nodes below it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SubtreeReport {
    /// Lowest version among them; nodes without lists do not count.
    pub acked: ListVersion,
    /// Some of the nodes with an older version than the node itself, oldest versions first.
    pub lagging: Vec<LaggingMember>,
    /// Number of all such nodes.
    pub lagging_count: u32,
}

/// A node whose version is older than that of a node above it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaggingMember {
    /// Hash of the node's name.
    pub node: NodeHash,
    /// Version that the node has.
    pub has: ListVersion,
}

/// The children of one node and the members of its subtree.
#[derive(Debug, Default)]
pub struct ChildTable {
    children: BTreeMap<VmId, ChildReport>,
    members: BTreeSet<NodeHash>,
    members_digest: u64,
}

impl ChildTable {
    /// Creates a table whose only member is the node itself.
    pub fn new(own: NodeHash) -> Self {
        let mut table = Self::default();
        table.rebuild_members(own);
        table
    }

    /// Records a child's heartbeat; `false` if it is new and [`MAX_CHILDREN`] are reached.
    pub fn record(
        &mut self,
        own: NodeHash,
        child: &VmId,
        heartbeat: HeartbeatMessage,
        now: Instant,
    ) -> bool {
        if !self.children.contains_key(child) && self.children.len() >= MAX_CHILDREN {
            return false;
        }
        let former = self.children.remove(child);
        let incarnation = ProcessIncarnation(heartbeat.incarnation);
        let former = former.filter(|report| report.incarnation == incarnation);
        let (members, members_digest) = match former {
            Some(report) if heartbeat.members.is_empty() => (report.members, report.members_digest),
            _ => (
                hashes(&heartbeat.members),
                if heartbeat.members.is_empty() { 0 } else { heartbeat.members_digest },
            ),
        };
        let is_changed = !members.iter().all(|member| self.members.contains(member))
            || members_digest != heartbeat.members_digest;
        let report = ChildReport {
            received_at: now,
            incarnation,
            version: ListVersion(heartbeat.version),
            acked: ListVersion(heartbeat.acked),
            members_digest,
            members,
            lagging: heartbeat.lagging,
            lagging_count: heartbeat.lagging_count,
        };
        self.children.insert(child.clone(), report);
        if is_changed || !heartbeat.members.is_empty() {
            self.rebuild_members(own);
        }
        true
    }

    /// Removes children whose last heartbeat arrived before `deadline`.
    pub fn remove_expired(&mut self, own: NodeHash, deadline: Instant) {
        let before = self.children.len();
        self.children.retain(|_, report| report.received_at >= deadline);
        if self.children.len() != before {
            self.rebuild_members(own);
        }
    }

    /// Names of the children.
    pub fn names(&self) -> impl Iterator<Item = &VmId> {
        self.children.keys()
    }

    /// Number of children.
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Whether there are no children.
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }

    /// The node itself and all nodes below it.
    pub fn members(&self) -> &BTreeSet<NodeHash> {
        &self.members
    }

    /// Checksum of [`ChildTable::members`].
    pub fn members_digest(&self) -> u64 {
        self.members_digest
    }

    /// Checksum of the members that `child` reported last; zero if it reported none.
    pub fn child_members_digest(&self, child: &VmId) -> u64 {
        self.children.get(child).map_or(0, |report| report.members_digest)
    }

    /// Returns the acknowledgements of the subtree of a node that has `version`.
    ///
    /// Nodes without any lists serve no requests and do not reduce the acknowledged version.
    pub fn subtree(&self, version: ListVersion) -> SubtreeReport {
        let mut report = SubtreeReport { acked: version, ..SubtreeReport::default() };
        for (name, child) in &self.children {
            if child.acked > ListVersion(0) {
                report.acked = report.acked.min(child.acked);
            }
            if child.version < version {
                let node = NodeHash::of(name);
                report.lagging.push(LaggingMember { node, has: child.version });
                report.lagging_count += 1;
            }
            report.lagging_count += child.lagging_count;
            report.lagging.extend(child.lagging.iter().map(|member| LaggingMember {
                node: NodeHash(member.node),
                has: ListVersion(member.has),
            }));
        }
        report.lagging.sort_by_key(|member| (member.has, member.node));
        report.lagging.truncate(MAX_NAMED_LAGGING);
        report
    }

    fn rebuild_members(&mut self, own: NodeHash) {
        let below = self.children.values().flat_map(|report| report.members.iter().copied());
        self.members = below.chain([own]).collect();
        let hashes = self.members.iter().map(|member| member.0);
        self.members_digest = hashes.fold(0, u64::wrapping_add);
    }
}

fn hashes(members: &[u64]) -> Vec<NodeHash> {
    members.iter().copied().map(NodeHash).collect()
}
