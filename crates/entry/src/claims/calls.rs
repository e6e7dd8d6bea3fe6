//! Calls to owners of keys that wait for their replies.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use once::ClaimReply;
use tokio::sync::oneshot;
use wire::PeerIdentity;

#[derive(Debug)]
struct CallSlot {
    owner: PeerIdentity,
    reply: oneshot::Sender<ClaimReply>,
}

/// All calls that wait.
#[derive(Debug, Default)]
pub struct CallTable {
    last: AtomicU64,
    slots: Mutex<HashMap<u64, CallSlot>>,
}

impl CallTable {
    /// Starts waiting for `owner`; returns the number that its reply will have.
    pub fn register(&self, owner: &PeerIdentity) -> (u64, oneshot::Receiver<ClaimReply>) {
        let serial = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        let (reply, replied) = oneshot::channel();
        let mut slots = self.lock();
        slots.retain(|_, slot| !slot.reply.is_closed());
        slots.insert(serial, CallSlot { owner: owner.clone(), reply });
        (serial, replied)
    }

    /// Delivers a reply.
    pub fn deliver_reply(&self, serial: u64, reply: ClaimReply) {
        if let Some(slot) = self.lock().remove(&serial) {
            // A call that is given up needs no reply.
            let _ = slot.reply.send(reply);
        }
    }

    /// Ends all calls to a lost owner.
    pub fn handle_peer_loss(&self, peer: &PeerIdentity) {
        self.lock().retain(|_, slot| slot.owner != *peer);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, CallSlot>> {
        self.slots.lock().expect("no holder panics")
    }
}
