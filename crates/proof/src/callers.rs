//! Callers that send requests to entry processes and record the outcomes.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use base::clock::since_epoch;
use standin::load::{
    CallKind, CallOutcome, CallVerdict, ChatCall, EntryClient, ScriptedCall, ServiceCall,
};
use tokio::{task::JoinSet, time};

use crate::plan::{DEADLINE, DEADLINE_MARGIN, PLAIN_SERVICE, first_key};

/// Client timeout; longer than [`DEADLINE`], so that late answers are recorded and not cut off.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// A request and the outcome at its caller.
#[derive(Debug, Clone)]
pub struct ObservedCall {
    /// The request as it was sent.
    pub call: ScriptedCall,
    /// Index of the entry process it was sent to.
    pub entry: usize,
    /// When it was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// Verified answer, refusal or failure.
    pub outcome: CallOutcome,
}

impl ObservedCall {
    /// Whether the answer or refusal arrived within [`DEADLINE`] plus [`DEADLINE_MARGIN`].
    pub fn is_within_deadline(&self) -> bool {
        self.outcome.took <= DEADLINE + DEADLINE_MARGIN
    }
}

/// Concurrent requests whose outcomes are collected later.
#[derive(Debug)]
pub struct CallerPool {
    client: EntryClient,
    calls: JoinSet<ObservedCall>,
    sequence: u64,
}

impl Default for CallerPool {
    fn default() -> Self {
        Self { client: EntryClient::new(CALLER_TIMEOUT), calls: JoinSet::new(), sequence: 0 }
    }
}

impl CallerPool {
    /// Returns the next request number, starting at 1.
    pub fn next_number(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Sends `kind` with the first customer's key to entry process `entry` after `delay`.
    pub fn send(&mut self, entry: usize, address: SocketAddr, delay: Duration, kind: CallKind) {
        self.send_as(&first_key(), entry, address, delay, kind);
    }

    /// Sends `kind` with `customer_key` to entry process `entry` after `delay`.
    pub fn send_as(
        &mut self,
        customer_key: &str,
        entry: usize,
        address: SocketAddr,
        delay: Duration,
        kind: CallKind,
    ) {
        let client = self.client.clone();
        let call = ScriptedCall { at: delay, customer_key: customer_key.to_owned(), kind };
        self.calls.spawn(async move {
            time::sleep(delay).await;
            let sent_ms = since_epoch().as_millis() as u64;
            let outcome = client.send(address, &call).await;
            ObservedCall { call, entry, sent_ms, outcome }
        });
    }

    /// Waits for all requests and returns them in the order of their send times.
    pub async fn collect(&mut self) -> Vec<ObservedCall> {
        let mut observed = Vec::new();
        while let Some(call) = self.calls.join_next().await {
            observed.extend(call.ok());
        }
        observed.sort_by_key(|call| call.sent_ms);
        observed
    }

    /// Creates a chat completion with a unique prompt.
    pub fn chat_call(&mut self, model: &str, tokens: u32, is_stream: bool) -> CallKind {
        let prompt = format!("prompt {}", self.next_number());
        CallKind::Chat(ChatCall { model: model.to_owned(), prompt, tokens, is_stream })
    }

    /// Creates a non-idempotent service call with a unique body, and with an idempotency key if
    /// `has_key`.
    pub fn non_idempotent_call(&mut self, has_key: bool) -> CallKind {
        let number = self.next_number();
        let key = has_key.then(|| format!("order-{number}"));
        let body = format!("open sluice {number}");
        CallKind::Service(service_call("POST", "/orders", key, body))
    }

    /// Creates an idempotent service call with a unique path.
    pub fn idempotent_call(&mut self) -> CallKind {
        let path = format!("/readings/{}", self.next_number());
        CallKind::Service(service_call("GET", &path, None, String::new()))
    }
}

fn service_call(method: &str, path: &str, key: Option<String>, body: String) -> ServiceCall {
    ServiceCall {
        service: PLAIN_SERVICE.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        key,
        body,
    }
}

/// Indexes of the entry processes that a fault kills or suspends; their callers may lose
/// connections.
pub type FaultedEntries = BTreeSet<usize>;

/// Whether there are requests and each got its complete, correct answer.
pub fn all_answered(calls: &[ObservedCall]) -> bool {
    !calls.is_empty() && calls.iter().all(|call| call.outcome.verdict == CallVerdict::Complete)
}
