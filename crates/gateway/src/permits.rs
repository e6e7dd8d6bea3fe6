//! Requests that ask side processes to be let in to their engines.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use base::prelude::*;
use dispatch::{Assignment, Generation};
use peers::{DatagramBody, PeerSocket, PermitDecision, PermitRelease, PermitReply, PermitRequest};
use tokio::{sync::mpsc, time};

/// Time after which a side process that has not answered is asked again; a way there and back
/// takes about two milliseconds, and longer while its VM is busy.
const FIRST_ANSWER: Duration = Duration::from_millis(35);
/// Times that it is asked before it counts as silent.
const FIRST_ASKS: usize = 3;
/// Time after which a request that waits tells that it still does; any datagram can be lost.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// What became of a request that asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitOutcome {
    /// It may go.
    Goes,
    /// The side process is silent; the engine itself will tell.
    Silent,
    /// The engine does not hold the model.
    Missing,
    /// It was not let in for a while.
    Later,
}

impl PermitOutcome {
    /// One word for logs.
    pub fn text(self) -> &'static str {
        match self {
            PermitOutcome::Goes => "goes",
            PermitOutcome::Silent => "silent",
            PermitOutcome::Missing => "missing",
            PermitOutcome::Later => "later",
        }
    }
}

type Pending = HashMap<u64, mpsc::UnboundedSender<PermitDecision>>;

/// All requests that ask; clones share them.
#[derive(Clone)]
pub struct Permits {
    socket: Arc<PeerSocket>,
    side_port: u16,
    pending: Arc<Mutex<Pending>>,
}

/// A request that was let in, until its prompt is read.
pub struct Permit {
    permits: Permits,
    side: SocketAddr,
    key: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let end = PermitRelease { key: self.key };
        self.permits.socket.send(self.side, DatagramBody::PermitRelease(end));
    }
}

impl Permits {
    /// Nobody asks yet.
    pub fn new(socket: Arc<PeerSocket>, side_port: u16) -> Self {
        Self { socket, side_port, pending: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().expect("no holder panics")
    }

    /// Takes in an answer.
    pub fn answer(&self, answer: PermitReply) {
        let Ok(verdict) = PermitDecision::try_from(answer.decision) else {
            log::warn!("permits: a side process answers with the number {}", answer.decision);
            return;
        };
        if let Some(sender) = self.lock().get(&answer.key) {
            // The request may have gone away in the meantime.
            let _ = sender.send(verdict);
        }
    }

    /// Asks for the request `key` to be let in.
    pub async fn ask(
        &self,
        key: u64,
        assignment: &Assignment,
        generation: &Generation,
        due: Instant,
    ) -> (PermitOutcome, Permit) {
        let side = SocketAddr::new(assignment.address.ip(), self.side_port);
        let permit = Permit { permits: self.clone(), side, key };
        let (sender, mut answers) = mpsc::unbounded_channel();
        self.lock().insert(key, sender);
        let asking = self.ask_again(key, side, assignment, generation, due, &mut answers);
        let outcome =
            time::timeout_at(assignment.let_in_by, asking).await.unwrap_or(PermitOutcome::Later);
        self.lock().remove(&key);
        (outcome, permit)
    }

    async fn ask_again(
        &self,
        key: u64,
        side: SocketAddr,
        assignment: &Assignment,
        generation: &Generation,
        due: Instant,
        answers: &mut mpsc::UnboundedReceiver<PermitDecision>,
    ) -> PermitOutcome {
        let mut asks = 0;
        let mut was_heard = false;
        loop {
            if asks >= FIRST_ASKS && !was_heard {
                return PermitOutcome::Silent;
            }
            asks += 1;
            let ask = run_ask(key, assignment, generation, due);
            self.socket.send(side, DatagramBody::PermitRequest(ask));
            let pause = if was_heard { ASK_AGAIN } else { FIRST_ANSWER };
            match time::timeout(pause, answers.recv()).await {
                Ok(Some(PermitDecision::Admitted)) => return PermitOutcome::Goes,
                Ok(Some(PermitDecision::ModelMissing)) => return PermitOutcome::Missing,
                Ok(Some(PermitDecision::Queued)) => {
                    was_heard = true;
                    match time::timeout(ASK_AGAIN, answers.recv()).await {
                        Ok(Some(PermitDecision::Admitted)) => return PermitOutcome::Goes,
                        Ok(Some(PermitDecision::ModelMissing)) => return PermitOutcome::Missing,
                        _ => {}
                    }
                }
                Ok(None) | Err(_) => {}
            }
        }
    }
}

fn run_ask(
    key: u64,
    assignment: &Assignment,
    generation: &Generation,
    due: Instant,
) -> PermitRequest {
    let left = due.saturating_duration_since(Instant::now());
    let adapter = generation.target.adapter.as_ref();
    PermitRequest {
        key,
        instance: assignment.server.to_string(),
        model: generation.target.model.to_string(),
        adapter: adapter.map(ToString::to_string).unwrap_or_default(),
        tokens: generation.prompt.0,
        due_in_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
    }
}
