//! Requests that this process has handed over to side processes.

use std::{collections::HashMap, sync::Mutex};

use base::{ids::AttemptId, prelude::*};
use tokio::sync::mpsc;
use wire::{
    Message, PeerIdentity,
    run::{AnswerChunk, AnswerEnd, AnswerHead},
};

/// What a side process told about an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum RunEvent {
    /// It was not handed to the backend server.
    Refused(ResultCode),
    /// Head of the answer.
    Head(AnswerHead),
    /// Part of the answer.
    Chunk(AnswerChunk),
    /// End of the answer.
    End(AnswerEnd),
    /// What became of a withdrawal.
    CancelAck {
        /// Whether the backend server may have executed any part.
        may_have_run: bool,
    },
    /// The side process was lost.
    Lost,
}

#[derive(Debug)]
struct RunSlot {
    vm: VmId,
    incarnation: ProcessIncarnation,
    events: mpsc::UnboundedSender<RunEvent>,
}

/// All attempts handed over and not ended.
#[derive(Debug, Default)]
pub struct RunTable {
    slots: Mutex<HashMap<AttemptId, RunSlot>>,
}

impl RunTable {
    /// Starts listening to the side process `peer` about `id`.
    pub fn register(
        &self,
        id: AttemptId,
        peer: &PeerIdentity,
    ) -> mpsc::UnboundedReceiver<RunEvent> {
        let (events, received) = mpsc::unbounded_channel();
        let slot = RunSlot { vm: peer.vm.clone(), incarnation: peer.incarnation, events };
        self.slots.lock().expect("no holder panics").insert(id, slot);
        received
    }

    /// Stops listening.
    pub fn remove(&self, id: AttemptId) {
        self.slots.lock().expect("no holder panics").remove(&id);
    }

    /// Delivers a message to the attempt it is about, if it comes from the right process.
    pub fn deliver(&self, peer: &PeerIdentity, message: Message) {
        let Some((id, event)) = parse_event(message) else { return };
        let slots = self.slots.lock().expect("no holder panics");
        let Some(slot) = slots.get(&id) else {
            log::debug!("runs: a message for {} came late", id.request);
            return;
        };
        if slot.vm != peer.vm || slot.incarnation != peer.incarnation {
            log::warn!("runs: a message for {} came from {}", id.request, peer.vm);
            return;
        }
        let _ = slot.events.send(event);
    }

    /// Ends all attempts at a lost side process.
    pub fn handle_peer_loss(&self, peer: &PeerIdentity) {
        let mut slots = self.slots.lock().expect("no holder panics");
        let is_lost = |slot: &RunSlot| slot.vm == peer.vm && slot.incarnation == peer.incarnation;
        let lost = slots.extract_if(|_, slot| is_lost(slot));
        for (_, slot) in lost {
            let _ = slot.events.send(RunEvent::Lost);
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
