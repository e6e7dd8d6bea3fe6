//! Heartbeats, offers and acknowledgements.

use base::prelude::*;

use super::SpreadNode;
use crate::spread::{
    event::SpreadAction,
    message::{HeartbeatMessage, LaggingMemberMessage, OfferMessage, SpreadBody},
};

impl SpreadNode {
    pub(super) fn send_heartbeats(&mut self, actions: &mut Vec<SpreadAction>, now: Instant) {
        if let Some(parent) = self.parent.current().cloned() {
            self.send_heartbeat(parent, false, actions);
        }
        if let Some(preferred) = self.parent.probe(&self.settings, now) {
            self.send_heartbeat(preferred, true, actions);
        }
        for peer in self.queried_peers() {
            self.send_heartbeat(peer, true, actions);
        }
    }

    /// Peers other than the parent that the node queries: a relay queries all other relays, a node
    /// without installed lists its first parent candidates.
    pub(super) fn queried_peers(&self) -> Vec<VmId> {
        let mut peers: Vec<VmId> = Vec::new();
        if self.is_relay() {
            peers.extend(self.other_relays.keys().cloned());
            peers.extend(self.roster.relays().iter().map(|relay| relay.vm.clone()));
        }
        if !self.is_ready() {
            peers.extend(
                self.parent.candidates().iter().take(self.settings.startup_queries).cloned(),
            );
        }
        peers.sort();
        peers.dedup();
        peers.retain(|peer| *peer != self.identity.vm && !self.parent.is_current(peer));
        peers
    }

    pub(super) fn send_heartbeat(
        &mut self,
        to: VmId,
        is_query: bool,
        actions: &mut Vec<SpreadAction>,
    ) {
        let subtree = self.children.subtree(self.version());
        if !is_query {
            self.acked_sent = subtree.acked;
        }
        let is_known = self.parent.known_members() == self.children.members_digest();
        let members = match is_query || is_known {
            true => Vec::new(),
            false => self.children.members().iter().map(|member| member.0).collect(),
        };
        let lagging = subtree.lagging.iter();
        let heartbeat = HeartbeatMessage {
            incarnation: self.identity.incarnation.0,
            version: self.version().0,
            acked: subtree.acked.0,
            roster_digest: self.roster.digest(),
            members_digest: self.children.members_digest(),
            members,
            lagging: lagging
                .map(|l| LaggingMemberMessage { node: l.node.0, has: l.has.0 })
                .collect(),
            lagging_count: subtree.lagging_count,
            is_query,
        };
        actions.push(SpreadAction::Send { to, body: SpreadBody::Heartbeat(heartbeat) });
    }

    pub(super) fn apply_heartbeat(
        &mut self,
        from: &VmId,
        heartbeat: HeartbeatMessage,
        actions: &mut Vec<SpreadAction>,
        now: Instant,
    ) {
        if self.is_relay() && self.is_other_relay(from) {
            self.relay_seen = Some(now);
        }
        let version = ListVersion(heartbeat.version);
        let is_of_zone = !self.other_relays.contains_key(from);
        if is_of_zone && heartbeat.roster_digest != self.roster.digest() && !self.roster.is_empty()
        {
            let body = SpreadBody::Roster(self.roster.to_message());
            actions.push(SpreadAction::Send { to: from.clone(), body });
        }
        let is_not_child = heartbeat.is_query || self.parent.is_current(from);
        if is_not_child || self.children.record(self.own, from, heartbeat, now) {
            self.send_offer(from.clone(), actions, now);
        }
        self.pull_if_newer(from, version, actions, now);
        self.acknowledge(actions);
    }

    pub(super) fn send_offer(&self, to: VmId, actions: &mut Vec<SpreadAction>, now: Instant) {
        let offer = OfferMessage {
            version: self.version().0,
            age_millis: self.age(now).as_millis().min(u128::from(u32::MAX)) as u32,
            roster_digest: self.roster.digest(),
            members_digest: self.children.child_members_digest(&to),
        };
        actions.push(SpreadAction::Send { to, body: SpreadBody::Offer(offer) });
    }

    pub(super) fn apply_offer(
        &mut self,
        from: &VmId,
        offer: OfferMessage,
        actions: &mut Vec<SpreadAction>,
        now: Instant,
    ) {
        let relay_seen = now.checked_sub(Duration::from_millis(u64::from(offer.age_millis)));
        let is_fresher = self.age(now) > Duration::from_millis(u64::from(offer.age_millis));
        if self.is_relay() {
            if self.is_other_relay(from) {
                self.relay_seen = Some(now);
            }
        } else if is_fresher || self.relay_seen.is_none() {
            self.relay_seen = relay_seen;
        }
        if self.parent.is_current(from) {
            self.parent.record_answer(offer.members_digest, now);
        } else if Duration::from_millis(u64::from(offer.age_millis)) < self.settings.max_staleness {
            self.parent.fail_back(from, now);
        }
        self.pull_if_newer(from, ListVersion(offer.version), actions, now);
    }

    pub(super) fn is_other_relay(&self, peer: &VmId) -> bool {
        self.other_relays.contains_key(peer)
            || self.roster.relays().iter().any(|relay| relay.vm == *peer)
    }

    /// Sends a heartbeat without delay if the acknowledged version has increased.
    pub(super) fn acknowledge(&mut self, actions: &mut Vec<SpreadAction>) {
        let acked = self.children.subtree(self.version()).acked;
        let parent = self.parent.current().cloned();
        match parent {
            Some(parent) if acked > self.acked_sent => self.send_heartbeat(parent, false, actions),
            _ => {}
        }
    }
}
