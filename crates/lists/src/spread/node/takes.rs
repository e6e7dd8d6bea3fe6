//! Taking of lists from other nodes and from the store.

use base::prelude::*;

use super::{COPY_PAUSE, PULL_TIMEOUT, READ_TIMEOUT, SpreadNode};
use crate::spread::{
    copy::TakeOutcome,
    event::{SpreadAction, StoreNews},
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
        self.newest_heard = self.newest_heard.max(version);
        if version <= self.version() {
            return;
        }
        let is_waiting = now < self.timers.pull_until;
        if is_waiting && (self.timers.pull_from.as_ref() == Some(from) || self.version().0 == 0) {
            return;
        }
        self.pull(from, self.copy.pull(), actions, now);
    }

    pub(super) fn pull(
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

    pub(super) fn after_take(
        &mut self,
        from: &VmId,
        outcome: TakeOutcome,
        actions: &mut Vec<SpreadAction>,
        now: Instant,
    ) {
        match outcome {
            TakeOutcome::Taken => {
                self.timers.pull_until = now;
                self.spread_on(actions, now);
            }
            TakeOutcome::Waiting => {}
            TakeOutcome::Gap => {
                if now >= self.timers.pull_until {
                    self.pull(from, self.copy.pull(), actions, now);
                }
            }
            TakeOutcome::Misfit => {
                if now >= self.timers.next_copy {
                    self.timers.next_copy = now + COPY_PAUSE;
                    self.pull(from, PullMessage { version: 0, digest: 0 }, actions, now);
                }
            }
        }
    }

    pub(super) fn take_news(
        &mut self,
        news: StoreNews,
        actions: &mut Vec<SpreadAction>,
        now: Instant,
    ) {
        self.pulse = Some(now);
        self.timers.next_read = now;
        let outcome = match news {
            StoreNews::Edits(steps) => self.copy.take_steps(steps),
            StoreNews::Whole { version, image } => {
                self.newest_heard = self.newest_heard.max(version);
                self.copy.take_image(version, image)
            }
        };
        match outcome {
            TakeOutcome::Taken => self.spread_on(actions, now),
            TakeOutcome::Waiting => {}
            TakeOutcome::Gap | TakeOutcome::Misfit => {
                self.timers.next_read = now + READ_TIMEOUT;
                actions.push(SpreadAction::ReadLists { after: ListVersion(0) });
            }
        }
        self.read_if_behind(actions, now);
    }

    /// Tells lower nodes and the upper one about a version just taken.
    pub(super) fn spread_on(&mut self, actions: &mut Vec<SpreadAction>, now: Instant) {
        self.newest_heard = self.newest_heard.max(self.version());
        self.install_if_due(actions, now);
        for child in self.children.names().cloned().collect::<Vec<_>>() {
            self.offer(child, actions, now);
        }
        self.acknowledge(actions);
    }

    /// The first lists go into force once the nodes asked had time to tell of newer ones.
    pub(super) fn install_if_due(&mut self, actions: &mut Vec<SpreadAction>, now: Instant) {
        let Some(set) = self.copy.set() else { return };
        if set.version() == self.installed {
            return;
        }
        let has_asked = now >= self.timers.started + self.settings.gather_for;
        let is_from_store = self.head_seen > ListVersion(0) && self.head_seen <= set.version();
        let is_newest = set.version() >= self.newest_heard && (has_asked || is_from_store);
        if self.is_ready() || is_newest {
            self.installed = set.version();
            actions.push(SpreadAction::Install(set.clone()));
        }
    }
}
