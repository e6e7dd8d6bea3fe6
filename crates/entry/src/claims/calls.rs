//! Pending calls to owners of idempotency keys.

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
struct PendingCall {
    owner: PeerIdentity,
    reply: oneshot::Sender<ClaimReply>,
}

/// Calls that wait for a reply, by serial number.
#[derive(Debug, Default)]
pub struct CallTable {
    last: AtomicU64,
    pending: Mutex<HashMap<u64, PendingCall>>,
}

impl CallTable {
    /// Registers a call to `owner`; returns the serial number that the reply will carry.
    pub fn register(&self, owner: &PeerIdentity) -> (u64, oneshot::Receiver<ClaimReply>) {
        let serial = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        let (reply, replied) = oneshot::channel();
        let mut pending = self.lock();
        pending.retain(|_, call| !call.reply.is_closed());
        pending.insert(serial, PendingCall { owner: owner.clone(), reply });
        (serial, replied)
    }

    /// Delivers the reply to the call `serial`; ignored if the call is not pending.
    pub fn deliver_reply(&self, serial: u64, reply: ClaimReply) {
        if let Some(call) = self.lock().remove(&serial) {
            // The caller may have timed out and dropped the receiver.
            let _ = call.reply.send(reply);
        }
    }

    /// Fails all calls to an owner whose connection has ended.
    pub fn handle_peer_loss(&self, peer: &PeerIdentity) {
        self.lock().retain(|_, call| call.owner != *peer);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, PendingCall>> {
        self.pending.lock().expect("no thread panics while holding the lock")
    }
}
