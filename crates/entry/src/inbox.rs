//! Dispatches messages from peers to the components that handle them.

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

/// Receivers of messages from peers; cloning is cheap.
#[derive(Debug, Clone)]
pub struct PeerInbox {
    /// Requests of this process that wait for a grant.
    pub grant_waiters: Arc<GrantWaiters>,
    /// Attempts of this process that run at side processes.
    pub runs: Arc<RunTable>,
    /// Events for the owner task of this process.
    pub owner: mpsc::Sender<OwnerEvent>,
    /// Links over which the lists are distributed.
    pub spread: Arc<WireLinks>,
    /// Messages about claims of idempotency keys.
    pub claims: mpsc::Sender<ClaimMessage>,
}

impl PeerInbox {
    /// Delivers one message; a message of an unexpected type is logged and dropped.
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
                // The receiver lives as long as the process, so the send cannot fail.
                let _ = self.claims.send(ClaimMessage::Received(handle.clone(), bytes)).await;
            }
            Message::EpochNotice(notice) => {
                handle.epoch.store(notice.epoch, Ordering::Relaxed);
            }
            Message::Ask(request) => {
                let reply = ReplyPath::Peer(handle.sender.clone());
                let from = handle.peer.clone();
                self.notify_owner(OwnerEvent::Request { from, request, reply }).await;
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
            other => log::warn!("peers: dropped an unexpected message: {other:?}"),
        }
    }

    /// Notifies all components that the connection has ended.
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
