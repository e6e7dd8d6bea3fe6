//! An edit of the lists, watched from the callers' side.

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
    plan::{IN_FORCE_LIMIT, customer_key, plans_text, rights_text},
    records::{EditEvidence, EditLook},
};

/// Time between two attempts of the operator, and between two looks.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest time for which the operator tries.
const OPERATOR_LIMIT: Duration = Duration::from_secs(25);
/// Longest wait for an answer to a look.
const LOOK_TIMEOUT: Duration = Duration::from_secs(3);

/// Entry processes that are looked at; an entry that is gone has no address.
#[derive(Debug, Clone, Default)]
pub struct EntryAddresses {
    addresses: Arc<Mutex<Vec<Option<SocketAddr>>>>,
}

impl EntryAddresses {
    /// Takes the addresses of the entries that are listed and run.
    pub fn refresh(&self, fleet: &Fleet) {
        let entries = fleet.entries.iter();
        let addresses = entries.map(|entry| entry.listed.map(|_| entry.http_address()));
        *self.addresses.lock().expect("no holder panics") = addresses.collect();
    }

    fn get(&self) -> Vec<Option<SocketAddr>> {
        self.addresses.lock().expect("no holder panics").clone()
    }
}

/// An operator's edit of the lists.
#[derive(Debug, Clone, Copy)]
pub struct OperatorEdit {
    /// Address of the Object API.
    pub platform: SocketAddr,
    /// Edition to put into force.
    pub edition: u32,
}

/// What became of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditResult {
    /// The edit was accepted, or its texts were in force already.
    Accepted,
    /// The edit was not accepted or its fate is unknown.
    Refused(String),
}

impl OperatorEdit {
    /// Reads the lists in force and replaces them by those of the edition.
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

/// An edit under way.
#[derive(Debug)]
pub struct EditWatch {
    /// Entries looked at.
    pub entries: EntryAddresses,
    operator: JoinHandle<Option<u64>>,
    accepted_ms: Option<u64>,
    edition: u32,
}

impl EditWatch {
    /// Starts an operator who applies the lists of `edition` until they are accepted.
    ///
    /// # Errors
    ///
    /// Fails if the lists cannot be written.
    pub async fn start(fleet: &Fleet, edition: u32) -> Result<Self> {
        let entries = EntryAddresses::default();
        entries.refresh(fleet);
        let operator = tokio::spawn(operate(fleet.edit(edition)?));
        Ok(Self { entries, operator, accepted_ms: None, edition })
    }

    /// Waits until the edit was accepted or the operator gave up.
    pub async fn accepted(&mut self) {
        if self.accepted_ms.is_none() {
            self.accepted_ms = (&mut self.operator).await.ok().flatten();
        }
    }

    /// Looks at all entries until the edit is in force at each, and then a little longer.
    ///
    /// Returns `None` if the edit was never accepted.
    pub async fn watch(mut self, disturbed: Duration) -> Option<EditEvidence> {
        self.accepted().await;
        let accepted_ms = self.accepted_ms?;
        let client = EntryClient::new(LOOK_TIMEOUT);
        let began = Instant::now();
        let limit = IN_FORCE_LIMIT + disturbed + LOOK_TIMEOUT;
        let mut looks = Vec::new();
        let mut calm = 0;
        while began.elapsed() < limit && calm < 5 {
            let entries = self.entries.get();
            let mut everywhere = true;
            for (entry, address) in entries.into_iter().enumerate() {
                let Some(address) = address else { continue };
                let look = look(&client, entry, address, self.edition).await;
                everywhere &= look.is_in_force == Some(true);
                looks.push(look);
            }
            calm = if everywhere { calm + 1 } else { 0 };
            time::sleep(PAUSE).await;
        }
        let disturbed_ms = disturbed.as_millis() as u64;
        Some(EditEvidence { accepted_ms, looks, disturbed_ms })
    }
}

async fn operate(edit: OperatorEdit) -> Option<u64> {
    let began = Instant::now();
    while began.elapsed() < OPERATOR_LIMIT {
        if matches!(edit.run().await, EditResult::Accepted) {
            return Some(since_epoch().as_millis() as u64);
        }
        time::sleep(PAUSE).await;
    }
    None
}

async fn look(client: &EntryClient, entry: usize, address: SocketAddr, edition: u32) -> EditLook {
    let kind = CallerPool::default().reading();
    let customer_key = customer_key(edition);
    let call = ScriptedCall { at: Duration::ZERO, customer_key, kind };
    let outcome = client.send(address, &call).await;
    let is_in_force = match outcome.verdict {
        CallVerdict::Refused { code: ResultCode::UnknownCustomer, .. } => Some(false),
        CallVerdict::Refused { code: ResultCode::ListsMissing, .. } => None,
        CallVerdict::Whole | CallVerdict::Refused { .. } => Some(true),
        _ => None,
    };
    EditLook { entry, at_ms: since_epoch().as_millis() as u64, is_in_force }
}
