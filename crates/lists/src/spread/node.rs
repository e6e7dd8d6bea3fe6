//! The decisions of one node of the spread.

mod beats;
mod members;
mod takes;

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
        copy::{CopyGuards, ListCopy},
        event::{NodeIdentity, SpreadAction, SpreadEvent},
        message::SpreadBody,
        roster::{EntryRoster, NodeHash, RELAYS_PER_ZONE, RosterEntry},
        status::{StatusKeeper, ZoneView},
        upper::UpperChoice,
    },
};

/// Time after which an unanswered pull is repeated.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest time between two requests for a full copy.
const COPY_PAUSE: Duration = Duration::from_secs(5);
/// Time between two reads of the VM list by a node that knows no entry.
const FIRST_VMS_PAUSE: Duration = Duration::from_millis(500);
/// Time after which an unanswered read of the store is repeated.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// One node: an entry or a side process.
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
    upper: UpperChoice,
    keeper: StatusKeeper,
    timers: NodeTimers,
    pulse: Option<Instant>,
    newest_heard: ListVersion,
    head_seen: ListVersion,
    acked_sent: ListVersion,
    is_watching: bool,
    installed: ListVersion,
}

#[derive(Debug)]
struct NodeTimers {
    started: Instant,
    next_beat: Instant,
    next_vms: Instant,
    next_fallback: Instant,
    next_read: Instant,
    next_copy: Instant,
    pull_until: Instant,
    pull_from: Option<VmId>,
}

impl SpreadNode {
    /// A node that starts with the entries known from its settings, none of which need be alive.
    pub fn new(
        identity: NodeIdentity,
        settings: SpreadSettings,
        seeds: Vec<RosterEntry>,
        now: Instant,
    ) -> Self {
        Self::with_guards(identity, settings, seeds, CopyGuards::ALL, now)
    }

    /// A node with some checks off; for tests of the checks.
    pub fn with_guards(
        identity: NodeIdentity,
        settings: SpreadSettings,
        seeds: Vec<RosterEntry>,
        guards: CopyGuards,
        now: Instant,
    ) -> Self {
        let own = NodeHash::of(&identity.vm);
        let roster = EntryRoster::new(&identity.zone, seeds);
        let spread = settings.fallback_every.as_millis() as u64;
        let jitter = Duration::from_millis(own.0 % spread.max(1));
        let timers = NodeTimers {
            started: now,
            next_beat: now,
            next_vms: now,
            next_fallback: now + settings.stale_after + jitter,
            next_read: now,
            next_copy: now,
            pull_until: now,
            pull_from: None,
        };
        let mut node = Self {
            own,
            settings,
            copy: ListCopy::with_guards(guards),
            children: ChildTable::new(own),
            roster,
            zone_vms: BTreeMap::new(),
            other_relays: HashMap::new(),
            upper: UpperChoice::new(now),
            keeper: StatusKeeper::default(),
            timers,
            pulse: None,
            newest_heard: ListVersion(0),
            head_seen: ListVersion(0),
            acked_sent: ListVersion(0),
            is_watching: false,
            installed: ListVersion(0),
            identity,
        };
        node.choose_uppers(now);
        node
    }

    /// Version held; zero if none.
    pub fn version(&self) -> ListVersion {
        self.copy.version()
    }

    /// Whether lists are in force here; before that the node must not serve.
    pub fn is_ready(&self) -> bool {
        self.installed > ListVersion(0)
    }

    /// Checksum of the lists held.
    pub fn digest(&self) -> ImageDigest {
        self.copy.digest()
    }

    /// Who the node is.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Number of lower nodes.
    pub fn lower_count(&self) -> usize {
        self.children.len()
    }

    /// The upper node in use.
    pub fn upper(&self) -> Option<&VmId> {
        self.upper.current()
    }

    /// Whether the node is a relay by what it knows.
    pub fn is_relay(&self) -> bool {
        self.roster.rank(&self.identity.vm).is_some_and(|rank| rank < RELAYS_PER_ZONE)
    }

    /// Address of an entry to which the node may have to connect.
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.roster.address(vm).or_else(|| self.other_relays.get(vm).copied())
    }

    /// Decides on one event.
    pub fn handle(&mut self, event: SpreadEvent, now: Instant) -> Vec<SpreadAction> {
        let mut actions = Vec::new();
        match event {
            SpreadEvent::Tick => self.tick(&mut actions, now),
            SpreadEvent::Received { from, body } => self.receive(&from, body, &mut actions, now),
            SpreadEvent::Disconnected { peer } => {
                if self.upper.is_current(&peer) {
                    self.upper.advance(now);
                }
            }
            SpreadEvent::VmsRead(vms) => self.take_vms(&vms, &mut actions, now),
            SpreadEvent::HeadSeen(version) => {
                self.pulse = Some(now);
                self.head_seen = self.head_seen.max(version);
                self.newest_heard = self.newest_heard.max(version);
                self.read_if_behind(&mut actions, now);
            }
            SpreadEvent::ListsRead(news) => self.take_news(news, &mut actions, now),
            SpreadEvent::StatusFailed => self.keeper.write_failed(),
        }
        actions
    }

    fn tick(&mut self, actions: &mut Vec<SpreadAction>, now: Instant) {
        if let Some(deadline) = now.checked_sub(self.settings.silent_after) {
            self.children.drop_silent(self.own, deadline);
        }
        self.watch_if_relay(actions);
        self.read_vms_if_due(actions, now);
        self.read_if_behind(actions, now);
        self.fall_back(actions, now);
        if !self.is_relay() {
            self.upper.check(self.age(now), &self.settings, now);
        }
        if now >= self.timers.next_beat {
            self.timers.next_beat = now + self.settings.beat_every;
            self.beat_all(actions, now);
        }
        self.install_if_due(actions, now);
        self.report_status(actions, now);
    }

    /// Time since a relay was alive, as far as the node knows.
    fn age(&self, now: Instant) -> Duration {
        match self.pulse {
            Some(pulse) => now.saturating_duration_since(pulse),
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
        if is_needed && now >= self.timers.next_vms {
            let pause = match self.roster.is_empty() {
                true => FIRST_VMS_PAUSE,
                false => self.settings.vms_every,
            };
            self.timers.next_vms = now + pause;
            actions.push(SpreadAction::ReadVms);
        }
    }

    fn read_if_behind(&mut self, actions: &mut Vec<SpreadAction>, now: Instant) {
        if self.head_seen > self.version() && now >= self.timers.next_read {
            self.timers.next_read = now + READ_TIMEOUT;
            actions.push(SpreadAction::ReadLists { after: self.version() });
        }
    }

    /// A node that hears from no relay asks the store itself, seldom.
    fn fall_back(&mut self, actions: &mut Vec<SpreadAction>, now: Instant) {
        let is_cut_off = self.age(now) > self.settings.stale_after * 2;
        if self.is_relay() || !is_cut_off || now < self.timers.next_fallback {
            return;
        }
        let jitter = Duration::from_millis(self.own.0 % 1_000) * 10;
        self.timers.next_fallback = now + self.settings.fallback_every + jitter;
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
            SpreadBody::Beat(beat) => self.take_beat(from, beat, actions, now),
            SpreadBody::Offer(offer) => self.take_offer(from, offer, actions, now),
            SpreadBody::Pull(pull) => {
                for body in self.copy.answer(&pull) {
                    actions.push(SpreadAction::Send { to: from.clone(), body });
                }
            }
            SpreadBody::Edits(edits) => {
                let outcome = self.copy.take_edits(edits);
                self.after_take(from, outcome, actions, now);
            }
            SpreadBody::Copy(piece) => {
                let outcome = self.copy.take_piece(piece);
                self.after_take(from, outcome, actions, now);
            }
            SpreadBody::Roster(message) => self.take_roster(from, &message, now),
        }
    }

    /// The first relay reports; the second one does while the first is silent.
    fn report_status(&mut self, actions: &mut Vec<SpreadAction>, now: Instant) {
        let is_reporter = match self.roster.rank(&self.identity.vm) {
            Some(0) => true,
            Some(1) => !self.upper.is_alive(&self.settings, now),
            _ => false,
        };
        let subtree: SubtreeReport = self.children.subtree(self.version());
        if !is_reporter || subtree.acked == ListVersion(0) {
            return;
        }
        self.keeper.observe(&subtree, now);
        let view = ZoneView {
            newest: self.copy.version(),
            subtree: &subtree,
            children: &self.children,
            vms: &self.zone_vms,
        };
        if let Some(report) = self.keeper.due_report(&view, self.settings.status_every, now) {
            actions.push(SpreadAction::WriteStatus(report));
        }
    }
}
