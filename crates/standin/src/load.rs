//! Sends scripted requests to an entry process, verifies every answer and sums up the result.

mod client;
mod script;
mod summary;
mod verdict;

use std::{net::SocketAddr, sync::Arc};

use base::prelude::*;
use futures::future::join_all;
use tokio::time;

pub use self::{
    client::{CallOutcome, EntryClient},
    script::{CallKind, CallScript, ChatCall, ScriptedCall, ServiceCall},
    summary::{LatencySummary, RunSummary},
    verdict::{CallVerdict, read_chat, read_refusal, read_service, read_stream},
};

/// Where requests are sent and how long their answers are waited for.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Entry processes; requests go to them in turn.
    pub entries: Vec<SocketAddr>,
    /// Longest wait for a whole answer.
    pub timeout: Duration,
}

/// Sends every call of `script` at its time and returns the outcomes in the order of the script.
pub async fn run_script(options: &LoadOptions, script: &CallScript) -> Vec<CallOutcome> {
    let client = Arc::new(EntryClient::new(options.timeout));
    let began = Instant::now();
    let calls = script.calls.iter().enumerate().map(|(index, call)| {
        let entry = options.entries[index % options.entries.len()];
        let client = client.clone();
        let call = call.clone();
        tokio::spawn(async move {
            time::sleep_until(began + call.at).await;
            client.send(entry, &call).await
        })
    });
    let outcomes = join_all(calls.collect::<Vec<_>>()).await;
    outcomes.into_iter().map(|outcome| outcome.expect("a call does not panic")).collect()
}
