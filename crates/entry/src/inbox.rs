//! Delivers messages of peers to the part that waits for them.

use std::sync::{Arc, atomic::Ordering};

use lists::spread::WireLinks;
use tokio::sync::mpsc;
use wire::Message;

use crate::{
    claims::ClaimMessage,
    grants::GrantWaiters,
    owner::{OwnerEvent, ReplyPath},
    peers::PeerHandle,
    runs::RunTable,
};

/// Where messages go; cloning is cheap.
#[derive(Debug, Clone)]
pub struct PeerInbox {
    /// Asks of this process that wait for an owner.
    pub grant_waiters: Arc<GrantWaiters>,
    /// Requests handed over to side processes.
    pub runs: Arc<RunTable>,
    /// The owner's duty of this process.
    pub owner: mpsc::Sender<OwnerEvent>,
    /// The spread of the lists.
    pub spread: Arc<WireLinks>,
    /// Claims of idempotency keys.
    pub claims: mpsc::Sender<ClaimMessage>,
}

impl PeerInbox {
    /// Delivers one message; a message for nobody is dropped.
    pub async fn deliver(&self, handle: &PeerHandle, message: Message) {
        match message {
            Message::Grant(grant) => self.grant_waiters.deliver_grant(grant),
            Message::AskRefusal(refusal) => self.grant_waiters.deliver_refusal(refusal),
            Message::RunRefusal(_)
            | Message::AnswerHead(_)
            | Message::AnswerChunk(_)
            | Message::AnswerEnd(_)
            | Message::CancelAck(_) => self.runs.deliver(&handle.peer, message),
            Message::ClaimExchange(bytes) => {
                // The desk lives as long as the process.
                let _ = self.claims.send(ClaimMessage::Received(handle.clone(), bytes)).await;
            }
            Message::EpochNotice(notice) => {
                handle.epoch.store(notice.epoch, Ordering::Relaxed);
            }
            Message::Ask(ask) => {
                let reply = ReplyPath::Peer(handle.sender.clone());
                let from = handle.peer.clone();
                self.notify_owner(OwnerEvent::Request { from, ask, reply }).await;
            }
            Message::CreditReturn(returned) => {
                self.notify_owner(OwnerEvent::CreditReturn(returned)).await;
            }
            Message::OrderOutcome(outcome) => {
                let peer = handle.peer.clone();
                self.notify_owner(OwnerEvent::OrderOutcome { peer, outcome }).await;
            }
            Message::BackendReport(report) => {
                let peer = handle.peer.clone();
                self.notify_owner(OwnerEvent::BackendReport { peer, report }).await;
            }
            Message::ListSpread(frame) => {
                self.spread.accept(&handle.peer, &handle.sender, frame).await;
            }
            other => log::warn!("peers: a message has no place here: {other:?}"),
        }
    }

    /// Tells everybody that the connection has ended.
    pub async fn handle_peer_loss(&self, handle: &PeerHandle) {
        self.grant_waiters.handle_peer_loss(&handle.peer);
        self.runs.handle_peer_loss(&handle.peer);
        let _ = self.claims.send(ClaimMessage::Lost(handle.peer.clone())).await;
        self.notify_owner(OwnerEvent::PeerLost(handle.peer.clone())).await;
    }

    async fn notify_owner(&self, event: OwnerEvent) {
        let _ = self.owner.send(event).await;
    }
}
