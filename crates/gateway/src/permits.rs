//! Permits of side processes: a request obtains one before it is sent to an engine.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use base::{locks, prelude::*};
use dispatch::{Assignment, Generation};
use peers::{DatagramBody, PeerSocket, PermitDecision, PermitRelease, PermitReply, PermitRequest};
use tokio::{sync::mpsc, time};

/// Time after which a permit request without any reply is sent again; a round trip takes about two
/// milliseconds, and longer while the VM of the side process is busy.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(35);
/// Permit requests without any reply after which the side process counts as unreachable.
const MAX_UNANSWERED_REQUESTS: usize = 3;
/// Time after which a queued permit request is sent again, because any datagram can be lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Outcome of a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The request may be sent.
    Admitted,
    /// The side process does not reply; the request is sent, and the engine accepts or refuses it.
    SideUnreachable,
    /// The model is not resident at the engine.
    ModelMissing,
    /// No permit was given by [`Assignment::permit_deadline`].
    TimedOut,
    /// No permit was given before the process ends.
    Aborted,
}

impl PermitOutcome {
    /// Value in the decision log.
    pub fn text(self) -> &'static str {
        match self {
            PermitOutcome::Admitted => "goes",
            PermitOutcome::SideUnreachable => "silent",
            PermitOutcome::ModelMissing => "missing",
            PermitOutcome::TimedOut => "later",
            PermitOutcome::Aborted => "aborted",
        }
    }
}

type Pending = HashMap<u64, mpsc::UnboundedSender<PermitDecision>>;

/// Sends permit requests to side processes and receives their replies; clones share state.
#[derive(Clone)]
pub struct PermitClient {
    socket: Arc<PeerSocket>,
    side_port: u16,
    pending: Arc<Mutex<Pending>>,
}

/// A permit, valid until the prompt is prefilled. Dropping it sends the release to the side
/// process, which also cancels a permit request that is still queued there.
pub struct Permit {
    client: PermitClient,
    side: SocketAddr,
    key: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let release = PermitRelease { key: self.key };
        self.client.socket.send(self.side, DatagramBody::PermitRelease(release));
    }
}

impl PermitClient {
    /// A client that reaches side processes at `side_port` of the engines' addresses.
    pub fn new(socket: Arc<PeerSocket>, side_port: u16) -> Self {
        Self { socket, side_port, pending: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        locks::lock(&self.pending)
    }

    /// Passes a reply to the request that waits for it.
    pub fn apply_reply(&self, reply: PermitReply) {
        let Ok(decision) = PermitDecision::try_from(reply.decision) else {
            log::warn!(
                "permits: ignoring a reply with the unknown decision code {}",
                reply.decision
            );
            return;
        };
        if let Some(sender) = self.lock().get(&reply.key) {
            // The request may have been dropped in the meantime.
            let _ = sender.send(decision);
        }
    }

    /// Requests a permit for the request `key`, whose first byte is due at `due`, until `aborted`.
    /// Returns the outcome and the permit, which is dropped at the first byte of the answer, or at
    /// once if the request is not sent.
    pub async fn request(
        &self,
        key: u64,
        assignment: &Assignment,
        generation: &Generation,
        due: Instant,
        aborted: impl Future<Output = ()>,
    ) -> (PermitOutcome, Permit) {
        let side = SocketAddr::new(assignment.address.ip(), self.side_port);
        let permit = Permit { client: self.clone(), side, key };
        let (sender, mut replies) = mpsc::unbounded_channel();
        self.lock().insert(key, sender);
        let requesting =
            self.request_until_decided(key, side, assignment, generation, due, &mut replies);
        let outcome = tokio::select! {
            biased;
            () = aborted => PermitOutcome::Aborted,
            outcome = time::timeout_at(assignment.permit_deadline, requesting) => {
                outcome.unwrap_or(PermitOutcome::TimedOut)
            }
        };
        self.lock().remove(&key);
        (outcome, permit)
    }

    async fn request_until_decided(
        &self,
        key: u64,
        side: SocketAddr,
        assignment: &Assignment,
        generation: &Generation,
        due: Instant,
        replies: &mut mpsc::UnboundedReceiver<PermitDecision>,
    ) -> PermitOutcome {
        let mut sent = 0;
        let mut has_reply = false;
        loop {
            if sent >= MAX_UNANSWERED_REQUESTS && !has_reply {
                return PermitOutcome::SideUnreachable;
            }
            sent += 1;
            let request = permit_request(key, assignment, generation, due);
            self.socket.send(side, DatagramBody::PermitRequest(request));
            let timeout = if has_reply { RESEND_INTERVAL } else { FIRST_REPLY_TIMEOUT };
            match time::timeout(timeout, replies.recv()).await {
                Ok(Some(PermitDecision::Admitted)) => return PermitOutcome::Admitted,
                Ok(Some(PermitDecision::ModelMissing)) => return PermitOutcome::ModelMissing,
                Ok(Some(PermitDecision::Queued)) => {
                    has_reply = true;
                    match time::timeout(RESEND_INTERVAL, replies.recv()).await {
                        Ok(Some(PermitDecision::Admitted)) => return PermitOutcome::Admitted,
                        Ok(Some(PermitDecision::ModelMissing)) => {
                            return PermitOutcome::ModelMissing;
                        }
                        _ => {}
                    }
                }
                Ok(None) | Err(_) => {}
            }
        }
    }
}

fn permit_request(
    key: u64,
    assignment: &Assignment,
    generation: &Generation,
    due: Instant,
) -> PermitRequest {
    let remaining = due.saturating_duration_since(Instant::now());
    let adapter = generation.target.adapter.as_ref();
    PermitRequest {
        key,
        instance: assignment.server.to_string(),
        model: generation.target.model.to_string(),
        adapter: adapter.map(ToString::to_string).unwrap_or_default(),
        tokens: generation.prompt.0,
        due_in_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
    }
}
