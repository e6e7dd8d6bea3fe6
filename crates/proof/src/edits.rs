//! Edits of the lists, and sampling of when each entry process applies them, as seen by callers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{
    clock::since_epoch,
    prelude::{OperatorName, ResultCode},
};
use lists::store::{EditOrder, EditOutcome, ListTexts, apply_edit, read_lists};
use object_api::{ClientSettings, PlatformClient};
use standin::load::{CallVerdict, EntryClient, ScriptedCall};
use tokio::{
    task::JoinHandle,
    time::{self, Instant},
};

use crate::{
    callers::CallerPool,
    fleet::{Fleet, Result},
    plan::{PROPAGATION_LIMIT, customer_key, plans_text, rights_text},
    records::{EditEvidence, EditSample},
};

/// Time between two attempts of an edit, and between two rounds of samples.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which an edit is retried.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(25);
/// Longest wait for the answer to a sample request.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Addresses of the sampled entry processes, by index; `None` for one that is not listed.
#[derive(Debug, Clone, Default)]
pub struct EntryAddresses {
    addresses: Arc<Mutex<Vec<Option<SocketAddr>>>>,
}

impl EntryAddresses {
    /// Updates the addresses to the entries in the VM list of `fleet`.
    pub fn refresh(&self, fleet: &Fleet) {
        let entries = fleet.entries.iter();
        let addresses = entries.map(|entry| entry.listed_state.map(|_| entry.http_address()));
        *self.addresses.lock().expect("no thread panics while holding the lock") =
            addresses.collect();
    }

    fn get(&self) -> Vec<Option<SocketAddr>> {
        self.addresses.lock().expect("no thread panics while holding the lock").clone()
    }
}

/// An edit of the lists by an operator.
#[derive(Debug, Clone, Copy)]
pub struct OperatorEdit {
    /// Address of the Object API.
    pub platform: SocketAddr,
    /// Edition to apply; it has the customers 0 to `edition`.
    pub edition: u32,
}

/// Outcome of one attempt of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditResult {
    /// The edit was accepted, or the current lists already had its texts.
    Accepted,
    /// The edit was not accepted, or its outcome is unknown; with the cause, which is `raced` if
    /// another edit was accepted first.
    Refused(String),
}

impl OperatorEdit {
    /// Reads the current lists and replaces them by those of the edition.
    pub async fn run(&self) -> EditResult {
        let store = PlatformClient::new(ClientSettings::new(self.platform));
        let current = match read_lists(&store).await {
            Ok(current) => current,
            Err(error) => return EditResult::Refused(error.to_string()),
        };
        let order = EditOrder {
            texts: ListTexts { plans: plans_text(self.edition), rights: rights_text() },
            read_at: current.head.version,
            operator: OperatorName::new("proof").expect("the name is valid"),
            note: format!("edition {}", self.edition),
        };
        match apply_edit(&store, &order).await {
            Ok(EditOutcome::Accepted(_) | EditOutcome::Unchanged(_)) => EditResult::Accepted,
            Ok(EditOutcome::Conflict { .. }) => EditResult::Refused("raced".to_owned()),
            Ok(EditOutcome::Unknown { .. }) => EditResult::Refused("unknown".to_owned()),
            Err(error) => EditResult::Refused(error.to_string()),
        }
    }
}

/// An edit that is retried in the background and sampled at the entries.
#[derive(Debug)]
pub struct EditWatch {
    /// Entries that are sampled.
    pub entries: EntryAddresses,
    operator: JoinHandle<Option<u64>>,
    accepted_ms: Option<u64>,
    edition: u32,
}

impl EditWatch {
    /// Starts to apply the lists of `edition`, with retries until they are accepted.
    ///
    /// # Errors
    ///
    /// Fails if the platform's address is unknown.
    pub async fn start(fleet: &Fleet, edition: u32) -> Result<Self> {
        let entries = EntryAddresses::default();
        entries.refresh(fleet);
        let operator = tokio::spawn(retry_edit(fleet.edit(edition)?));
        Ok(Self { entries, operator, accepted_ms: None, edition })
    }

    /// Waits until the edit is accepted or its retries have ended.
    pub async fn wait_accepted(&mut self) {
        if self.accepted_ms.is_none() {
            self.accepted_ms = (&mut self.operator).await.ok().flatten();
        }
    }

    /// Samples all entries until all of them have applied the edit in 5 rounds in a row, so that a
    /// revert shows, or until the time for propagation is over.
    ///
    /// `fault_duration` extends that time. Returns `None` if the edit was never accepted.
    pub async fn sample_until_applied(mut self, fault_duration: Duration) -> Option<EditEvidence> {
        self.wait_accepted().await;
        let accepted_ms = self.accepted_ms?;
        let client = EntryClient::new(SAMPLE_TIMEOUT);
        let began = Instant::now();
        let limit = PROPAGATION_LIMIT + fault_duration + SAMPLE_TIMEOUT;
        let mut samples = Vec::new();
        let mut stable_rounds = 0;
        while began.elapsed() < limit && stable_rounds < 5 {
            let entries = self.entries.get();
            let mut is_everywhere = true;
            for (entry, address) in entries.into_iter().enumerate() {
                let Some(address) = address else { continue };
                let sample = sample_entry(&client, entry, address, self.edition).await;
                is_everywhere &= sample.is_applied == Some(true);
                samples.push(sample);
            }
            stable_rounds = if is_everywhere { stable_rounds + 1 } else { 0 };
            time::sleep(RETRY_INTERVAL).await;
        }
        let fault_ms = fault_duration.as_millis() as u64;
        Some(EditEvidence { accepted_ms, samples, fault_ms })
    }
}

async fn retry_edit(edit: OperatorEdit) -> Option<u64> {
    let began = Instant::now();
    while began.elapsed() < OPERATOR_TIMEOUT {
        if matches!(edit.run().await, EditResult::Accepted) {
            return Some(since_epoch().as_millis() as u64);
        }
        time::sleep(RETRY_INTERVAL).await;
    }
    None
}

async fn sample_entry(
    client: &EntryClient,
    entry: usize,
    address: SocketAddr,
    edition: u32,
) -> EditSample {
    let kind = CallerPool::default().idempotent_call();
    let customer_key = customer_key(edition);
    let call = ScriptedCall { at: Duration::ZERO, customer_key, kind };
    let outcome = client.send(address, &call).await;
    let is_applied = match outcome.verdict {
        CallVerdict::Refused { code: ResultCode::UnknownCustomer, .. } => Some(false),
        CallVerdict::Refused { code: ResultCode::ListsMissing, .. } => None,
        CallVerdict::Complete | CallVerdict::Refused { .. } => Some(true),
        _ => None,
    };
    EditSample { entry, at_ms: since_epoch().as_millis() as u64, is_applied }
}
