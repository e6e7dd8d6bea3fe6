//! Updates of the lists from other nodes and from the store.

use base::prelude::*;

use super::{FULL_COPY_INTERVAL, PULL_TIMEOUT, READ_TIMEOUT, SpreadNode};
use crate::spread::{
    copy::ApplyOutcome,
    event::{SpreadAction, StoreUpdate},
    message::{PullMessage, SpreadBody},
};

impl SpreadNode {
    pub(super) fn pull_if_newer(
        &mut self,
        from: &VmId,
        version: ListVersion,
        actions: &mut Vec<SpreadAction>,
        now: Instant,
    ) {
        self.newest_known = self.newest_known.max(version);
        if version <= self.version() {
            return;
        }
        let is_waiting = now < self.timers.pull_until;
        if is_waiting && (self.timers.pull_from.as_ref() == Some(from) || self.version().0 == 0) {
            return;
        }
        self.send_pull(from, self.copy.pull_message(), actions, now);
    }

    pub(super) fn send_pull(
        &mut self,
        from: &VmId,
        pull: PullMessage,
        actions: &mut Vec<SpreadAction>,
        now: Instant,
    ) {
        self.timers.pull_until = now + PULL_TIMEOUT;
        self.timers.pull_from = Some(from.clone());
        actions.push(SpreadAction::Send { to: from.clone(), body: SpreadBody::Pull(pull) });
    }

    pub(super) fn handle_apply_outcome(
        &mut self,
        from: &VmId,
        outcome: ApplyOutcome,
        actions: &mut Vec<SpreadAction>,
        now: Instant,
    ) {
        match outcome {
            ApplyOutcome::Applied => {
                self.timers.pull_until = now;
                self.announce_version(actions, now);
            }
            ApplyOutcome::Unchanged => {}
            ApplyOutcome::Gap => {
                if now >= self.timers.pull_until {
                    self.send_pull(from, self.copy.pull_message(), actions, now);
                }
            }
            ApplyOutcome::Mismatch => {
                if now >= self.timers.next_copy {
                    self.timers.next_copy = now + FULL_COPY_INTERVAL;
                    self.send_pull(from, PullMessage { version: 0, digest: 0 }, actions, now);
                }
            }
        }
    }

    pub(super) fn apply_store_update(
        &mut self,
        update: StoreUpdate,
        actions: &mut Vec<SpreadAction>,
        now: Instant,
    ) {
        self.relay_seen = Some(now);
        self.timers.next_read = now;
        let outcome = match update {
            StoreUpdate::Edits(steps) => self.copy.apply_steps(steps),
            StoreUpdate::Whole { version, image } => {
                self.newest_known = self.newest_known.max(version);
                self.copy.apply_image(version, image)
            }
        };
        match outcome {
            ApplyOutcome::Applied => self.announce_version(actions, now),
            ApplyOutcome::Unchanged => {}
            ApplyOutcome::Gap | ApplyOutcome::Mismatch => {
                self.timers.next_read = now + READ_TIMEOUT;
                actions.push(SpreadAction::ReadLists { after: ListVersion(0) });
            }
        }
        self.read_if_behind(actions, now);
    }

    /// Offers a newly applied version to the children and acknowledges it to the parent.
    pub(super) fn announce_version(&mut self, actions: &mut Vec<SpreadAction>, now: Instant) {
        self.newest_known = self.newest_known.max(self.version());
        self.install_if_due(actions, now);
        for child in self.children.names().cloned().collect::<Vec<_>>() {
            self.send_offer(child, actions, now);
        }
        self.acknowledge(actions);
    }

    /// Installs the lists held. The first ones wait until the queried nodes had time to offer newer
    /// lists, or the store's head shows that there are none.
    pub(super) fn install_if_due(&mut self, actions: &mut Vec<SpreadAction>, now: Instant) {
        let Some(set) = self.copy.set() else { return };
        if set.version() == self.installed {
            return;
        }
        let has_queried = now >= self.timers.started + self.settings.startup_query_time;
        let is_from_store = self.known_head > ListVersion(0) && self.known_head <= set.version();
        let is_newest = set.version() >= self.newest_known && (has_queried || is_from_store);
        if self.is_ready() || is_newest {
            self.installed = set.version();
            actions.push(SpreadAction::Install(set.clone()));
        }
    }
}
