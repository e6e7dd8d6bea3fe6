//! Asks of this process that wait for an owner's grant.

use std::{collections::HashMap, sync::Mutex};

use base::{ids::AttemptId, prelude::*};
use tokio::sync::oneshot;
use wire::{
    PeerIdentity,
    ask::{AskRefusal, Grant},
};

/// What an owner answered.
#[derive(Debug, Clone, PartialEq)]
pub enum GrantReply {
    /// A credit on a backend server.
    Granted(Grant),
    /// A refusal; nothing was handed to a backend server.
    Refused(AskRefusal),
    /// The owner was lost before it answered.
    OwnerLost,
}

#[derive(Debug)]
struct Waiter {
    owner: VmId,
    reply: oneshot::Sender<GrantReply>,
}

/// All asks that wait.
#[derive(Debug, Default)]
pub struct GrantWaiters {
    waiters: Mutex<HashMap<AttemptId, Waiter>>,
}

impl GrantWaiters {
    /// Starts waiting for `owner`.
    pub fn register(&self, id: AttemptId, owner: VmId) -> oneshot::Receiver<GrantReply> {
        let (reply, replied) = oneshot::channel();
        let waiter = Waiter { owner, reply };
        self.waiters.lock().expect("no holder panics").insert(id, waiter);
        replied
    }

    /// Stops waiting.
    pub fn remove(&self, id: AttemptId) {
        self.waiters.lock().expect("no holder panics").remove(&id);
    }

    /// Delivers a grant.
    pub fn deliver_grant(&self, grant: Grant) {
        let id = AttemptId::from_wire(&grant.request, grant.attempt);
        self.deliver(id, GrantReply::Granted(grant));
    }

    /// Delivers a refusal.
    pub fn deliver_refusal(&self, refusal: AskRefusal) {
        let id = AttemptId::from_wire(&refusal.request, refusal.attempt);
        self.deliver(id, GrantReply::Refused(refusal));
    }

    /// Ends all asks that wait for a lost owner.
    pub fn handle_peer_loss(&self, peer: &PeerIdentity) {
        let mut waiters = self.waiters.lock().expect("no holder panics");
        let lost = waiters.extract_if(|_, waiter| waiter.owner == peer.vm);
        for (_, waiter) in lost {
            let _ = waiter.reply.send(GrantReply::OwnerLost);
        }
    }

    fn deliver(&self, id: Option<AttemptId>, reply: GrantReply) {
        let Some(id) = id else { return };
        let waiter = self.waiters.lock().expect("no holder panics").remove(&id);
        match waiter {
            Some(waiter) => {
                let _ = waiter.reply.send(reply);
            }
            None => log::debug!("asks: a reply for {} came late", id.request),
        }
    }
}
