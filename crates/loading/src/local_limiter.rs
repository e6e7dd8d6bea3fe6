//! Client side of the weight load limiter in a side process. While the limiter's owner does not
//! answer, loads start without a permit, up to a local limit.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::weight_limiter::{LimiterAction, LimiterEvent, WeightLoadId, WeightLoadRequest};

/// Time within which the limiter's owner has to decide or to report the load as queued.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest number of loads that one process runs without a permit.
const MAX_UNPERMITTED_LOADS: usize = 1;

/// Input of a [`LocalLoadLimiter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalLimiterEvent {
    /// A load needs to read from the weight store.
    Requested(WeightLoadRequest),
    /// The limiter's owner permitted or refused a load.
    Decided(LimiterAction),
    /// The limiter's owner reports that a load waits for a permit.
    Queued(WeightLoadId),
    /// A load ended or was cancelled.
    Ended(WeightLoadId),
    /// Periodic resend of requests and renewals.
    Tick,
}

/// Output of a [`LocalLoadLimiter`], to be carried out by the side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalLimiterAction {
    /// Send this event to the limiter's owner.
    Send(LimiterEvent),
    /// Start the load.
    Start(WeightLoadId),
    /// Abandon the load.
    Refuse(WeightLoadId),
}

#[derive(Debug, Clone, Copy)]
struct TrackedLoad {
    request: WeightLoadRequest,
    last_reply: Instant,
    has_started: bool,
    is_unpermitted: bool,
}

/// Tracks the loads of one side process that wait for a permit or hold one.
#[derive(Debug, Default)]
pub struct LocalLoadLimiter {
    loads: BTreeMap<WeightLoadId, TrackedLoad>,
}

impl LocalLoadLimiter {
    /// Creates a limiter without loads.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one event and returns the resulting actions, in order.
    pub fn step(&mut self, event: LocalLimiterEvent, now: Instant) -> Vec<LocalLimiterAction> {
        let mut actions = Vec::new();
        match event {
            LocalLimiterEvent::Requested(request) => self.request_load(request, now, &mut actions),
            LocalLimiterEvent::Decided(LimiterAction::Permit(id)) => {
                self.start(id, false, &mut actions);
            }
            LocalLimiterEvent::Decided(LimiterAction::Refuse(id)) => self.refuse(id, &mut actions),
            LocalLimiterEvent::Queued(id) => self.record_queued(id, now),
            LocalLimiterEvent::Ended(id) => self.end(id, &mut actions),
            LocalLimiterEvent::Tick => self.resend_events(&mut actions),
        }
        self.start_unanswered(now, &mut actions);
        actions
    }

    /// Number of loads that run without a permit.
    pub fn unpermitted_count(&self) -> usize {
        self.loads.values().filter(|load| load.is_unpermitted).count()
    }

    fn request_load(
        &mut self,
        request: WeightLoadRequest,
        now: Instant,
        actions: &mut Vec<LocalLimiterAction>,
    ) {
        let load =
            TrackedLoad { request, last_reply: now, has_started: false, is_unpermitted: false };
        self.loads.entry(request.id).or_insert(load);
        actions.push(LocalLimiterAction::Send(LimiterEvent::Requested(request)));
    }

    fn start(
        &mut self,
        id: WeightLoadId,
        is_unpermitted: bool,
        actions: &mut Vec<LocalLimiterAction>,
    ) {
        match self.loads.get_mut(&id) {
            Some(load) if load.has_started => {}
            Some(load) => {
                load.has_started = true;
                load.is_unpermitted = is_unpermitted;
                actions.push(LocalLimiterAction::Start(id));
            }
            None => actions.push(LocalLimiterAction::Send(LimiterEvent::Ended(id))),
        }
    }

    fn refuse(&mut self, id: WeightLoadId, actions: &mut Vec<LocalLimiterAction>) {
        if self.loads.get(&id).is_some_and(|load| !load.has_started) {
            self.loads.remove(&id);
            actions.push(LocalLimiterAction::Refuse(id));
        }
    }

    fn record_queued(&mut self, id: WeightLoadId, now: Instant) {
        if let Some(load) = self.loads.get_mut(&id) {
            load.last_reply = now;
        }
    }

    fn end(&mut self, id: WeightLoadId, actions: &mut Vec<LocalLimiterAction>) {
        if self.loads.remove(&id).is_some() {
            actions.push(LocalLimiterAction::Send(LimiterEvent::Ended(id)));
        }
    }

    fn resend_events(&self, actions: &mut Vec<LocalLimiterAction>) {
        for load in self.loads.values() {
            let event = match load.has_started {
                true => LimiterEvent::Renewed(load.request.id),
                false => LimiterEvent::Requested(load.request),
            };
            actions.push(LocalLimiterAction::Send(event));
        }
    }

    /// Starts loads whose requests the limiter's owner left unanswered, up to
    /// [`MAX_UNPERMITTED_LOADS`].
    fn start_unanswered(&mut self, now: Instant, actions: &mut Vec<LocalLimiterAction>) {
        let is_unanswered =
            |load: &&TrackedLoad| !load.has_started && now >= load.last_reply + ANSWER_TIMEOUT;
        while self.unpermitted_count() < MAX_UNPERMITTED_LOADS {
            let unanswered = self.loads.values().filter(is_unanswered);
            let Some(first) = unanswered.min_by_key(|load| load.request.deadline) else { return };
            self.start(first.request.id, true, actions);
        }
    }
}
