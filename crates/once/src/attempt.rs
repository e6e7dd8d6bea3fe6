//! The entry process's account of the deliveries of one request.
//!
//! A request may be refused as not run only if every delivery of it was acknowledged as not run
//! by the side process it went to; whatever stays unacknowledged may have run.

use base::prelude::*;

use crate::run::RunGrant;

/// What is known of one delivery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DeliveryState {
    /// Sent; no word has come back.
    Sent,
    /// The side process acknowledged that it did not run and will not.
    NotRun,
    /// It ran, or nobody can tell.
    MayHaveRun,
}

#[derive(Debug, Clone)]
struct RunDelivery {
    server: VmId,
    grant: RunGrant,
    state: DeliveryState,
}

/// All deliveries of one request.
#[derive(Debug, Clone, Default)]
pub struct AttemptRecord {
    repeatable: bool,
    deliveries: Vec<RunDelivery>,
}

impl AttemptRecord {
    /// The record of a request that was not delivered yet.
    pub fn new(repeatable: bool) -> Self {
        Self { repeatable, deliveries: Vec::new() }
    }

    /// Whether the request may be delivered (again).
    pub fn may_deliver(&self) -> bool {
        self.repeatable || self.run_state() == RunState::NotRun
    }

    /// Notes a delivery just before it is sent; false if it must not be sent.
    ///
    /// No request is sent twice to the same life of a side process.
    pub fn deliver(&mut self, server: &VmId, grant: RunGrant) -> bool {
        let known = self.deliveries.iter().any(|delivery| delivery.is_to(server, grant));
        if known || !self.may_deliver() {
            return false;
        }
        let (server, state) = (server.clone(), DeliveryState::Sent);
        self.deliveries.push(RunDelivery { server, grant, state });
        true
    }

    /// Notes the word of a side process about a delivery; the first word stands.
    pub fn settle(&mut self, server: &VmId, grant: RunGrant, state: RunState) {
        let mut deliveries = self.deliveries.iter_mut();
        let delivery = deliveries.find(|delivery| delivery.is_to(server, grant));
        if let Some(delivery) = delivery
            && delivery.state == DeliveryState::Sent
        {
            delivery.state = match state {
                RunState::NotRun => DeliveryState::NotRun,
                RunState::MayHaveRun => DeliveryState::MayHaveRun,
            };
        }
    }

    /// Deliveries on which no word has come back.
    pub fn unsettled(&self) -> usize {
        self.deliveries.iter().filter(|delivery| delivery.state == DeliveryState::Sent).count()
    }

    /// What may truthfully be said of the request as a whole.
    pub fn run_state(&self) -> RunState {
        let not_run = |delivery: &RunDelivery| delivery.state == DeliveryState::NotRun;
        match self.deliveries.iter().all(not_run) {
            true => RunState::NotRun,
            false => RunState::MayHaveRun,
        }
    }

    /// The code to refuse with when `code` is the reason; never says not run untruthfully.
    pub fn refusal(&self, code: ResultCode) -> ResultCode {
        if code.run_state() == RunState::MayHaveRun || self.run_state() == RunState::NotRun {
            return code;
        }
        match code {
            ResultCode::DeadlinePassed | ResultCode::DeadlineUnmeetable => {
                ResultCode::AnswerTimeout
            }
            _ => ResultCode::BackendLost,
        }
    }
}

impl RunDelivery {
    fn is_to(&self, server: &VmId, grant: RunGrant) -> bool {
        self.server == *server && self.grant.incarnation == grant.incarnation
    }
}
