//! Attempts of this process that run at side processes.

use std::{collections::HashMap, sync::Mutex};

use base::{ids::AttemptId, prelude::*};
use tokio::sync::mpsc;
use wire::{
    Message, PeerIdentity,
    run::{AnswerChunk, AnswerEnd, AnswerHead},
};

/// Event of an attempt, from its side process.
#[derive(Debug, Clone, PartialEq)]
pub enum RunEvent {
    /// The side process did not pass it to the backend server.
    Refused(ResultCode),
    /// Head of the answer.
    Head(AnswerHead),
    /// Part of the answer.
    Chunk(AnswerChunk),
    /// End of the answer.
    End(AnswerEnd),
    /// Reply to a cancellation.
    CancelAck {
        /// Whether the backend server may have executed any part of the attempt.
        may_have_run: bool,
    },
    /// The connection to the side process has ended.
    Lost,
}

#[derive(Debug)]
struct RunningAttempt {
    vm: VmId,
    incarnation: ProcessIncarnation,
    events: mpsc::UnboundedSender<RunEvent>,
}

/// Running attempts, with the channels for their events.
#[derive(Debug, Default)]
pub struct RunTable {
    attempts: Mutex<HashMap<AttemptId, RunningAttempt>>,
}

impl RunTable {
    /// Registers the attempt `id`, whose events come from the side process `peer`.
    pub fn register(
        &self,
        id: AttemptId,
        peer: &PeerIdentity,
    ) -> mpsc::UnboundedReceiver<RunEvent> {
        let (events, received) = mpsc::unbounded_channel();
        let attempt = RunningAttempt { vm: peer.vm.clone(), incarnation: peer.incarnation, events };
        self.attempts.lock().expect("no thread panics while holding the lock").insert(id, attempt);
        received
    }

    /// Removes an attempt that has ended.
    pub fn remove(&self, id: AttemptId) {
        self.attempts.lock().expect("no thread panics while holding the lock").remove(&id);
    }

    /// Delivers a message to its attempt, if it comes from the side process that runs it.
    pub fn deliver(&self, peer: &PeerIdentity, message: Message) {
        let Some((id, event)) = parse_event(message) else { return };
        let attempts = self.attempts.lock().expect("no thread panics while holding the lock");
        let Some(attempt) = attempts.get(&id) else {
            log::debug!("runs: dropped a message for {}, which is not running", id.request);
            return;
        };
        if attempt.vm != peer.vm || attempt.incarnation != peer.incarnation {
            log::warn!(
                "runs: dropped a message for {} from {}, which does not run it",
                id.request,
                peer.vm
            );
            return;
        }
        let _ = attempt.events.send(event);
    }

    /// Ends all attempts at a side process whose connection has ended.
    pub fn handle_peer_loss(&self, peer: &PeerIdentity) {
        let mut attempts = self.attempts.lock().expect("no thread panics while holding the lock");
        let is_lost = |attempt: &RunningAttempt| {
            attempt.vm == peer.vm && attempt.incarnation == peer.incarnation
        };
        let lost = attempts.extract_if(|_, attempt| is_lost(attempt));
        for (_, attempt) in lost {
            let _ = attempt.events.send(RunEvent::Lost);
        }
    }
}

fn parse_event(message: Message) -> Option<(AttemptId, RunEvent)> {
    let (request, attempt, event) = match message {
        Message::RunRefusal(refusal) => {
            let code = ResultCode::from_number(refusal.code).unwrap_or(ResultCode::BackendFailed);
            (refusal.request, refusal.attempt, RunEvent::Refused(code))
        }
        Message::AnswerHead(head) => (head.request.clone(), head.attempt, RunEvent::Head(head)),
        Message::AnswerChunk(chunk) => {
            (chunk.request.clone(), chunk.attempt, RunEvent::Chunk(chunk))
        }
        Message::AnswerEnd(end) => (end.request.clone(), end.attempt, RunEvent::End(end)),
        Message::CancelAck(ack) => {
            let event = RunEvent::CancelAck { may_have_run: ack.may_have_run };
            (ack.request, ack.attempt, event)
        }
        _ => return None,
    };
    Some((AttemptId::from_wire(&request, attempt)?, event))
}
