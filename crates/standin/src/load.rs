//! Load generator: sends scripted requests to entry processes, verifies every answer and summarizes
//! the results.

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
    verdict::{CallVerdict, parse_refusal, verify_chat, verify_service, verify_stream},
};

/// Targets and timeout of a run.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Addresses of the entry processes; requests are sent to them round-robin. Must not be empty.
    pub entries: Vec<SocketAddr>,
    /// Time limit of each request, from sending it to the end of its answer.
    pub timeout: Duration,
}

/// Sends every call of `script` at its time and returns the outcomes in script order.
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
