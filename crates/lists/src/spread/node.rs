//! The state machine of one distribution node: turns events into actions, without I/O.

mod heartbeats;
mod members;
mod updates;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use base::prelude::*;
use object_api::vms::VmEntry;

use crate::{
    image::ImageDigest,
    spread::{
        SpreadSettings,
        children::{ChildTable, SubtreeReport},
        copy::{CopyChecks, ListCopy},
        event::{NodeIdentity, SpreadAction, SpreadEvent},
        message::SpreadBody,
        parent::ParentSelector,
        roster::{EntryRoster, NodeHash, RELAYS_PER_ZONE, RosterEntry},
        status::{StatusTracker, ZoneView},
    },
};

/// Time after which an unanswered pull is retried.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest time between two requests for a full copy.
const FULL_COPY_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which a node that knows no entry reads the VM list.
const EMPTY_ROSTER_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an unanswered read of the store is retried.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A distribution node: an entry or a side process.
#[derive(Debug)]
pub struct SpreadNode {
    identity: NodeIdentity,
    own: NodeHash,
    settings: SpreadSettings,
    copy: ListCopy,
    children: ChildTable,
    roster: EntryRoster,
    zone_vms: BTreeMap<NodeHash, VmEntry>,
    other_relays: HashMap<VmId, SocketAddr>,
    parent: ParentSelector,
    status_tracker: StatusTracker,
    timers: NodeTimers,
    /// When a relay was last known to be alive.
    relay_seen: Option<Instant>,
    /// Highest version known from peers and the store.
    newest_known: ListVersion,
    /// Highest version of the head as read from the store.
    known_head: ListVersion,
    /// Acknowledged version in the last heartbeat to a parent.
    acked_sent: ListVersion,
    is_watching: bool,
    installed: ListVersion,
}

#[derive(Debug)]
struct NodeTimers {
    started: Instant,
    next_heartbeat: Instant,
    next_vm_list: Instant,
    next_fallback: Instant,
    next_read: Instant,
    next_copy: Instant,
    /// End of the wait for an answer to the last pull.
    pull_until: Instant,
    /// Peer that got the last pull.
    pull_from: Option<VmId>,
}

impl SpreadNode {
    /// Creates a node; `seeds` are entries from its settings, none of which need be alive.
    pub fn new(
        identity: NodeIdentity,
        settings: SpreadSettings,
        seeds: Vec<RosterEntry>,
        now: Instant,
    ) -> Self {
        Self::with_checks(identity, settings, seeds, CopyChecks::ALL, now)
    }

    /// Creates a node with the given checks; only tests switch any off.
    pub fn with_checks(
        identity: NodeIdentity,
        settings: SpreadSettings,
        seeds: Vec<RosterEntry>,
        checks: CopyChecks,
        now: Instant,
    ) -> Self {
        let own = NodeHash::of(&identity.vm);
        let roster = EntryRoster::new(&identity.zone, seeds);
        let max_jitter = settings.fallback_interval.as_millis() as u64;
        let jitter = Duration::from_millis(own.0 % max_jitter.max(1));
        let timers = NodeTimers {
            started: now,
            next_heartbeat: now,
            next_vm_list: now,
            next_fallback: now + settings.max_staleness + jitter,
            next_read: now,
            next_copy: now,
            pull_until: now,
            pull_from: None,
        };
        let mut node = Self {
            own,
            settings,
            copy: ListCopy::with_checks(checks),
            children: ChildTable::new(own),
            roster,
            zone_vms: BTreeMap::new(),
            other_relays: HashMap::new(),
            parent: ParentSelector::new(now),
            status_tracker: StatusTracker::default(),
            timers,
            relay_seen: None,
            newest_known: ListVersion(0),
            known_head: ListVersion(0),
            acked_sent: ListVersion(0),
            is_watching: false,
            installed: ListVersion(0),
            identity,
        };
        node.choose_parent(now);
        node
    }

    /// Version held; zero if none.
    pub fn version(&self) -> ListVersion {
        self.copy.version()
    }

    /// Whether lists were installed; before that the process must not serve requests.
    pub fn is_ready(&self) -> bool {
        self.installed > ListVersion(0)
    }

    /// Checksum of the lists held.
    pub fn digest(&self) -> ImageDigest {
        self.copy.digest()
    }

    /// Identity of the node.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Number of children.
    pub fn child_count(&self) -> usize {
        self.children.len()
    }

    /// The current parent; `None` for the first relay and for a node that knows no other entry.
    pub fn parent(&self) -> Option<&VmId> {
        self.parent.current()
    }

    /// Whether the node is a relay according to its roster.
    pub fn is_relay(&self) -> bool {
        self.roster.rank(&self.identity.vm).is_some_and(|rank| rank < RELAYS_PER_ZONE)
    }

    /// Address of an entry of the node's zone or of another zone's relay; `None` if unknown.
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.roster.address(vm).or_else(|| self.other_relays.get(vm).copied())
    }

    /// Handles one event and returns the actions to run, in order.
    pub fn handle(&mut self, event: SpreadEvent, now: Instant) -> Vec<SpreadAction> {
        let mut actions = Vec::new();
        match event {
            SpreadEvent::Tick => self.tick(&mut actions, now),
            SpreadEvent::Received { from, body } => self.receive(&from, body, &mut actions, now),
            SpreadEvent::Disconnected { peer } => {
                if self.parent.is_current(&peer) {
                    self.parent.advance(now);
                }
            }
            SpreadEvent::VmsRead(vms) => self.apply_vm_list(&vms, &mut actions, now),
            SpreadEvent::HeadRead(version) => {
                self.relay_seen = Some(now);
                self.known_head = self.known_head.max(version);
                self.newest_known = self.newest_known.max(version);
                self.read_if_behind(&mut actions, now);
            }
            SpreadEvent::ListsRead(update) => self.apply_store_update(update, &mut actions, now),
            SpreadEvent::StatusWriteFailed => self.status_tracker.record_write_failure(),
        }
        actions
    }

    fn tick(&mut self, actions: &mut Vec<SpreadAction>, now: Instant) {
        if let Some(deadline) = now.checked_sub(self.settings.heartbeat_timeout) {
            self.children.remove_expired(self.own, deadline);
        }
        self.watch_if_relay(actions);
        self.read_vms_if_due(actions, now);
        self.read_if_behind(actions, now);
        self.read_store_if_cut_off(actions, now);
        if !self.is_relay() {
            self.parent.check(self.age(now), &self.settings, now);
        }
        if now >= self.timers.next_heartbeat {
            self.timers.next_heartbeat = now + self.settings.heartbeat_interval;
            self.send_heartbeats(actions, now);
        }
        self.install_if_due(actions, now);
        self.report_status(actions, now);
    }

    /// Time since a relay was last known to be alive, or since the start if none ever was.
    fn age(&self, now: Instant) -> Duration {
        match self.relay_seen {
            Some(seen) => now.saturating_duration_since(seen),
            None => now.saturating_duration_since(self.timers.started),
        }
    }

    fn watch_if_relay(&mut self, actions: &mut Vec<SpreadAction>) {
        let is_relay = self.is_relay();
        if self.is_watching != is_relay {
            self.is_watching = is_relay;
            actions.push(SpreadAction::WatchHead(is_relay));
        }
    }

    fn read_vms_if_due(&mut self, actions: &mut Vec<SpreadAction>, now: Instant) {
        let is_needed = self.is_relay() || self.roster.is_empty();
        if is_needed && now >= self.timers.next_vm_list {
            let pause = match self.roster.is_empty() {
                true => EMPTY_ROSTER_INTERVAL,
                false => self.settings.vm_list_interval,
            };
            self.timers.next_vm_list = now + pause;
            actions.push(SpreadAction::ReadVms);
        }
    }

    fn read_if_behind(&mut self, actions: &mut Vec<SpreadAction>, now: Instant) {
        if self.known_head > self.version() && now >= self.timers.next_read {
            self.timers.next_read = now + READ_TIMEOUT;
            actions.push(SpreadAction::ReadLists { after: self.version() });
        }
    }

    /// Lets a node that no relay reaches read the store itself, at the fallback interval.
    fn read_store_if_cut_off(&mut self, actions: &mut Vec<SpreadAction>, now: Instant) {
        let is_cut_off = self.age(now) > self.settings.max_staleness * 2;
        if self.is_relay() || !is_cut_off || now < self.timers.next_fallback {
            return;
        }
        let jitter = Duration::from_millis(self.own.0 % 1_000) * 10;
        self.timers.next_fallback = now + self.settings.fallback_interval + jitter;
        actions.push(SpreadAction::ReadHead);
        actions.push(SpreadAction::ReadVms);
    }

    fn receive(
        &mut self,
        from: &VmId,
        body: SpreadBody,
        actions: &mut Vec<SpreadAction>,
        now: Instant,
    ) {
        match body {
            SpreadBody::Heartbeat(heartbeat) => self.apply_heartbeat(from, heartbeat, actions, now),
            SpreadBody::Offer(offer) => self.apply_offer(from, offer, actions, now),
            SpreadBody::Pull(pull) => {
                for body in self.copy.answer_pull(&pull) {
                    actions.push(SpreadAction::Send { to: from.clone(), body });
                }
            }
            SpreadBody::Edits(edits) => {
                let outcome = self.copy.apply_edits(edits);
                self.handle_apply_outcome(from, outcome, actions, now);
            }
            SpreadBody::Copy(piece) => {
                let outcome = self.copy.apply_piece(piece);
                self.handle_apply_outcome(from, outcome, actions, now);
            }
            SpreadBody::Roster(message) => self.apply_roster(from, &message, now),
        }
    }

    /// Reports the zone's status: from the first relay, and from the second while the first does
    /// not answer.
    fn report_status(&mut self, actions: &mut Vec<SpreadAction>, now: Instant) {
        let is_reporter = match self.roster.rank(&self.identity.vm) {
            Some(0) => true,
            Some(1) => !self.parent.is_alive(&self.settings, now),
            _ => false,
        };
        let subtree: SubtreeReport = self.children.subtree(self.version());
        if !is_reporter || subtree.acked == ListVersion(0) {
            return;
        }
        self.status_tracker.observe(&subtree, now);
        let view = ZoneView {
            newest: self.copy.version(),
            subtree: &subtree,
            children: &self.children,
            vms: &self.zone_vms,
        };
        if let Some(report) =
            self.status_tracker.due_report(&view, self.settings.status_interval, now)
        {
            actions.push(SpreadAction::WriteStatus(report));
        }
    }
}
