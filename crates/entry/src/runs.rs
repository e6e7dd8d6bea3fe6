//! Attempts of this process that run at side processes.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use base::{ids::AttemptId, prelude::*};
use tokio::sync::mpsc;
use wire::{
    Message, PeerIdentity,
    run::{AnswerChunk, AnswerEnd, AnswerHead},
};

use crate::answer_memory::{AnswerCharge, AnswerMemory};

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
    /// The answer was not read, and there is no memory for more of it.
    Unread,
    /// The connection to the side process has ended.
    Lost,
}

#[derive(Debug)]
struct RunningAttempt {
    vm: VmId,
    incarnation: ProcessIncarnation,
    events: mpsc::UnboundedSender<RunEvent>,
    charge: Arc<AnswerCharge>,
}

/// Running attempts, with the channels for their events.
#[derive(Debug)]
pub struct RunTable {
    memory: AnswerMemory,
    attempts: Mutex<HashMap<AttemptId, RunningAttempt>>,
}

impl RunTable {
    /// An empty table; `memory` keeps parts of answers until they are read.
    pub fn new(memory: AnswerMemory) -> Self {
        Self { memory, attempts: Mutex::default() }
    }

    /// Registers the attempt `id`, whose events come from the side process `peer`.
    pub fn register(
        &self,
        id: AttemptId,
        peer: &PeerIdentity,
    ) -> mpsc::UnboundedReceiver<RunEvent> {
        let (events, received) = mpsc::unbounded_channel();
        let charge = self.memory.open();
        let attempt =
            RunningAttempt { vm: peer.vm.clone(), incarnation: peer.incarnation, events, charge };
        self.attempts.lock().expect("no thread panics while holding the lock").insert(id, attempt);
        received
    }

    /// Removes an attempt that has ended.
    pub fn remove(&self, id: AttemptId) {
        self.attempts.lock().expect("no thread panics while holding the lock").remove(&id);
    }

    /// Delivers a message to its attempt, if it comes from the side process that runs it.
    pub fn deliver(&self, peer: &PeerIdentity, message: Message) {
        let Some((id, mut event)) = parse_event(message) else { return };
        let mut attempts = self.attempts.lock().expect("no thread panics while holding the lock");
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
        if let RunEvent::Chunk(chunk) = &mut event {
            let Some(kept) = attempt.charge.keep(&chunk.data) else {
                log::info!("runs: ending {}: its answer is not read fast enough", id.request);
                let _ = attempt.events.send(RunEvent::Unread);
                attempts.remove(&id);
                return;
            };
            chunk.data = kept;
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
