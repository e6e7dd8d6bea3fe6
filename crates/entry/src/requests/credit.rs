//! Pending grant requests and granted credits. Dropping the former withdraws the request, dropping
//! the latter returns the credit.

use std::sync::Arc;

use base::{ids::AttemptId, prelude::*};
use tokio::sync::oneshot;
use wire::{
    LinkSender, Message,
    credit::{CreditRequest, CreditReturn, CreditUse, Grant},
};

use crate::{
    grants::GrantReply,
    owner::{OwnerEvent, ReplyPath},
    process::EntryState,
};

/// A grant request sent to an owner; withdrawn if it is dropped without a reply.
pub(super) struct PendingGrant {
    state: Arc<EntryState>,
    id: AttemptId,
    credit_request: CreditRequest,
    owner: Option<LinkSender>,
    pub(super) replied: oneshot::Receiver<GrantReply>,
    pub(super) is_open: bool,
}

impl PendingGrant {
    pub(super) async fn send(
        state: &Arc<EntryState>,
        owner: &VmId,
        credit_request: CreditRequest,
    ) -> Option<Self> {
        let id = AttemptId::from_wire(&credit_request.request, credit_request.attempt)?;
        if *owner == state.identity.vm {
            let (reply, replied) = oneshot::channel();
            let from = state.identity.clone();
            let reply = ReplyPath::Local(reply);
            let event = OwnerEvent::Request { from, request: credit_request.clone(), reply };
            state.owner.send(event).await.ok()?;
            return Some(Self::new(state, id, credit_request, None, replied));
        }
        let address = state.fleet.borrow().address(owner)?;
        let handle = state.peers.link(address).await.ok()?;
        let replied = state.grant_waiters.register(id, owner.clone());
        if handle.sender.send(Message::Ask(credit_request.clone())).await.is_err() {
            state.grant_waiters.remove(id);
            return None;
        }
        Some(Self::new(state, id, credit_request, Some(handle.sender), replied))
    }

    fn new(
        state: &Arc<EntryState>,
        id: AttemptId,
        credit_request: CreditRequest,
        owner: Option<LinkSender>,
        replied: oneshot::Receiver<GrantReply>,
    ) -> Self {
        Self { state: Arc::clone(state), id, credit_request, owner, replied, is_open: true }
    }

    pub(super) fn into_credit(mut self, grant: Grant) -> HeldCredit {
        self.is_open = false;
        HeldCredit {
            state: Arc::clone(&self.state),
            owner: self.owner.clone(),
            credit_request: self.credit_request.clone(),
            grant,
            started: Instant::now(),
            used: CreditUse::Unused,
        }
    }
}

impl Drop for PendingGrant {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        self.state.grant_waiters.remove(self.id);
        let returned = CreditReturn {
            request: self.credit_request.request.clone(),
            attempt: self.credit_request.attempt,
            target: self.credit_request.target.clone(),
            ..CreditReturn::default()
        };
        return_credit(&self.state, self.owner.as_ref(), returned);
    }
}

/// A granted credit; returned to the owner when it is dropped.
pub(super) struct HeldCredit {
    state: Arc<EntryState>,
    owner: Option<LinkSender>,
    credit_request: CreditRequest,
    pub(super) grant: Grant,
    started: Instant,
    pub(super) used: CreditUse,
}

impl Drop for HeldCredit {
    fn drop(&mut self) {
        let returned = CreditReturn {
            request: self.credit_request.request.clone(),
            attempt: self.credit_request.attempt,
            target: self.credit_request.target.clone(),
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
        log::debug!(
            "requests: failed to return a credit: the queue to the owner is full or closed"
        );
    }
}
