//! Asks that wait for an owner and credits that an owner granted; both are given back when dropped.

use std::sync::Arc;

use base::{ids::AttemptId, prelude::*};
use tokio::sync::oneshot;
use wire::{
    LinkSender, Message,
    credit::{CreditRequest, CreditReturn, CreditUse, Grant},
};

use crate::{
    asks::AskReply,
    owner::{AskReplyPath, OwnerEvent},
    process::EntryState,
};

/// An ask that has been sent; withdrawn if it is dropped unanswered.
pub(super) struct PendingAsk {
    state: Arc<EntryState>,
    id: AttemptId,
    ask: CreditRequest,
    owner: Option<LinkSender>,
    pub(super) replied: oneshot::Receiver<AskReply>,
    pub(super) is_open: bool,
}

impl PendingAsk {
    pub(super) async fn send(
        state: &Arc<EntryState>,
        owner: &VmId,
        ask: CreditRequest,
    ) -> Option<Self> {
        let id = AttemptId::from_wire(&ask.request, ask.attempt)?;
        if *owner == state.identity.vm {
            let (reply, replied) = oneshot::channel();
            let from = state.identity.clone();
            let reply = AskReplyPath::Local(reply);
            let event = OwnerEvent::Ask { from, ask: ask.clone(), reply };
            state.owner.send(event).await.ok()?;
            return Some(Self::new(state, id, ask, None, replied));
        }
        let address = state.fleet.borrow().address(owner)?;
        let handle = state.peers.link(address).await.ok()?;
        let replied = state.asks.wait(id, owner.clone());
        if handle.sender.send(Message::Ask(ask.clone())).await.is_err() {
            state.asks.forget(id);
            return None;
        }
        Some(Self::new(state, id, ask, Some(handle.sender), replied))
    }

    fn new(
        state: &Arc<EntryState>,
        id: AttemptId,
        ask: CreditRequest,
        owner: Option<LinkSender>,
        replied: oneshot::Receiver<AskReply>,
    ) -> Self {
        Self { state: Arc::clone(state), id, ask, owner, replied, is_open: true }
    }

    pub(super) fn granted(mut self, grant: Grant) -> HeldCredit {
        self.is_open = false;
        HeldCredit {
            state: Arc::clone(&self.state),
            owner: self.owner.clone(),
            ask: self.ask.clone(),
            grant,
            started: Instant::now(),
            used: CreditUse::Unused,
        }
    }
}

impl Drop for PendingAsk {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        self.state.asks.forget(self.id);
        let returned = CreditReturn {
            request: self.ask.request.clone(),
            attempt: self.ask.attempt,
            target: self.ask.target.clone(),
            ..CreditReturn::default()
        };
        return_credit(&self.state, self.owner.as_ref(), returned);
    }
}

/// A credit; given back when it is dropped.
pub(super) struct HeldCredit {
    state: Arc<EntryState>,
    owner: Option<LinkSender>,
    ask: CreditRequest,
    pub(super) grant: Grant,
    started: Instant,
    pub(super) used: CreditUse,
}

impl Drop for HeldCredit {
    fn drop(&mut self) {
        let returned = CreditReturn {
            request: self.ask.request.clone(),
            attempt: self.ask.attempt,
            target: self.ask.target.clone(),
            vm: self.grant.vm.clone(),
            service_us: self.started.elapsed().as_micros() as u64,
            used: self.used.into(),
        };
        return_credit(&self.state, self.owner.as_ref(), returned);
    }
}

fn return_credit(state: &EntryState, owner: Option<&LinkSender>, returned: CreditReturn) {
    let is_sent = match owner {
        Some(sender) => sender.offer(Message::CreditReturn(returned)),
        None => state.owner.try_send(OwnerEvent::CreditReturn(returned)).is_ok(),
    };
    if !is_sent {
        log::debug!("requests: a credit could not be returned");
    }
}
