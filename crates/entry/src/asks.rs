//! Asks of this process that wait for an owner's grant.

use std::{collections::HashMap, sync::Mutex};

use base::{ids::AttemptId, prelude::*};
use tokio::sync::oneshot;
use wire::{
    PeerIdentity,
    credit::{CreditRefusal, Grant},
};

/// What an owner answered.
#[derive(Debug, Clone, PartialEq)]
pub enum AskReply {
    /// A credit on a backend server.
    Granted(Grant),
    /// A refusal; nothing was handed to a backend server.
    Refused(CreditRefusal),
    /// The owner was lost before it answered.
    OwnerLost,
}

#[derive(Debug)]
struct AskSlot {
    owner: VmId,
    reply: oneshot::Sender<AskReply>,
}

/// All asks that wait.
#[derive(Debug, Default)]
pub struct AskTable {
    slots: Mutex<HashMap<AttemptId, AskSlot>>,
}

impl AskTable {
    /// Starts waiting for `owner`.
    pub fn wait(&self, id: AttemptId, owner: VmId) -> oneshot::Receiver<AskReply> {
        let (reply, replied) = oneshot::channel();
        let slot = AskSlot { owner, reply };
        self.slots.lock().expect("no holder panics").insert(id, slot);
        replied
    }

    /// Stops waiting.
    pub fn forget(&self, id: AttemptId) {
        self.slots.lock().expect("no holder panics").remove(&id);
    }

    /// Delivers a grant.
    pub fn grant(&self, grant: Grant) {
        let id = AttemptId::from_wire(&grant.request, grant.attempt);
        self.answer(id, AskReply::Granted(grant));
    }

    /// Delivers a refusal.
    pub fn refuse(&self, refusal: CreditRefusal) {
        let id = AttemptId::from_wire(&refusal.request, refusal.attempt);
        self.answer(id, AskReply::Refused(refusal));
    }

    /// Ends all asks that wait for a lost owner.
    pub fn lose(&self, peer: &PeerIdentity) {
        let mut slots = self.slots.lock().expect("no holder panics");
        let lost = slots.extract_if(|_, slot| slot.owner == peer.vm);
        for (_, slot) in lost {
            let _ = slot.reply.send(AskReply::OwnerLost);
        }
    }

    fn answer(&self, id: Option<AttemptId>, reply: AskReply) {
        let Some(id) = id else { return };
        let slot = self.slots.lock().expect("no holder panics").remove(&id);
        match slot {
            Some(slot) => {
                let _ = slot.reply.send(reply);
            }
            None => log::debug!("asks: a reply for {} came late", id.request),
        }
    }
}
