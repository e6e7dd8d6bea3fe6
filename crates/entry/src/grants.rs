//! Requests of this process that wait for a grant from another entry.

use std::{collections::HashMap, sync::Mutex};

use base::{ids::AttemptId, prelude::*};
use tokio::sync::oneshot;
use wire::{
    PeerIdentity,
    credit::{CreditRefusal, Grant},
};

/// Result of a grant request.
#[derive(Debug, Clone, PartialEq)]
pub enum GrantReply {
    /// A credit on a backend server.
    Granted(Grant),
    /// A refusal; nothing was handed to a backend server.
    Refused(CreditRefusal),
    /// The connection to the owner ended before it replied.
    OwnerLost,
}

#[derive(Debug)]
struct Waiter {
    owner: VmId,
    reply: oneshot::Sender<GrantReply>,
}

/// Grant requests that wait for a reply, by attempt.
#[derive(Debug, Default)]
pub struct GrantWaiters {
    waiters: Mutex<HashMap<AttemptId, Waiter>>,
}

impl GrantWaiters {
    /// Registers an attempt that waits for the reply of `owner`.
    pub fn register(&self, id: AttemptId, owner: VmId) -> oneshot::Receiver<GrantReply> {
        let (reply, replied) = oneshot::channel();
        let waiter = Waiter { owner, reply };
        self.waiters.lock().expect("no thread panics while holding the lock").insert(id, waiter);
        replied
    }

    /// Removes an attempt that no longer waits.
    pub fn remove(&self, id: AttemptId) {
        self.waiters.lock().expect("no thread panics while holding the lock").remove(&id);
    }

    /// Delivers a grant to the attempt that waits for it.
    pub fn deliver_grant(&self, grant: Grant) {
        let id = AttemptId::from_wire(&grant.request, grant.attempt);
        self.deliver(id, GrantReply::Granted(grant));
    }

    /// Delivers a refusal to the attempt that waits for it.
    pub fn deliver_refusal(&self, refusal: CreditRefusal) {
        let id = AttemptId::from_wire(&refusal.request, refusal.attempt);
        self.deliver(id, GrantReply::Refused(refusal));
    }

    /// Fails all attempts that wait for an owner whose connection has ended.
    pub fn handle_peer_loss(&self, peer: &PeerIdentity) {
        let mut waiters = self.waiters.lock().expect("no thread panics while holding the lock");
        let lost = waiters.extract_if(|_, waiter| waiter.owner == peer.vm);
        for (_, waiter) in lost {
            let _ = waiter.reply.send(GrantReply::OwnerLost);
        }
    }

    fn deliver(&self, id: Option<AttemptId>, reply: GrantReply) {
        let Some(id) = id else { return };
        let waiter =
            self.waiters.lock().expect("no thread panics while holding the lock").remove(&id);
        match waiter {
            Some(waiter) => {
                let _ = waiter.reply.send(reply);
            }
            None => log::debug!("grants: dropped a late reply for {}", id.request),
        }
    }
}
