//! Registration of this entry in the store, where the entries discover each other.

use std::net::SocketAddr;

use base::prelude::*;
use platform::{ObjectKind, PlatformStore, StoreError};
use tokio::time;

use crate::{fleet::Fleet, relisting::RelistDelays};

/// Delay before the next attempt after a failed registration.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The object that stands for this entry in the store.
#[derive(Clone)]
pub struct EntryRegistration {
    /// Client of the store.
    pub store: PlatformStore,
    /// VM of this entry, which names the object.
    pub vm: VmId,
    /// Address for datagrams, which is the contents of the object.
    pub address: SocketAddr,
}

impl EntryRegistration {
    /// Writes the object and adds the registered entries to `fleet`; retries until both succeed.
    pub async fn register(self, fleet: Fleet) {
        while let Err(error) = self.register_once(&fleet).await {
            log::warn!(
                "fleet: failed to register this entry in the store or to list the others, \
                 retrying: {error}"
            );
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Writes the object again if the store has lost it, and adds the registered entries to `fleet`;
    /// retries until both succeed or a planned stop begins.
    pub async fn renew(&self, fleet: &Fleet) {
        while !fleet.is_draining() {
            let Err(error) = self.renew_once(fleet).await else { return };
            log::warn!(
                "fleet: failed to register this entry again after a restore of the store, \
                 retrying: {error}"
            );
            time::sleep(RETRY_DELAY).await;
        }
    }

    async fn renew_once(&self, fleet: &Fleet) -> Result<(), StoreError> {
        let listed = self.store.list_system_objects(ObjectKind::EntryProcesses).await?.items;
        let contents = self.contents();
        let is_listed =
            listed.iter().any(|(name, listed)| name == self.vm.as_str() && *listed == contents);
        if !is_listed {
            self.write(&contents).await?;
        }
        add_entries(fleet, listed);
        Ok(())
    }

    fn contents(&self) -> String {
        format!("\"{}\"", self.address)
    }

    async fn write(&self, contents: &str) -> Result<(), StoreError> {
        self.store.write_system_object(ObjectKind::EntryProcesses, self.vm.as_str(), contents).await
    }

    async fn register_once(&self, fleet: &Fleet) -> Result<(), StoreError> {
        self.write(&self.contents()).await?;
        let mut delays = RelistDelays::default();
        loop {
            let listing = self.store.list_system_objects(ObjectKind::EntryProcesses).await?;
            add_entries(fleet, listing.items);
            let Some(gap) = listing.gap else { return Ok(()) };
            time::sleep(delays.after_gap(&gap)).await;
        }
    }

    /// Deletes the object once; a failure is logged and not retried.
    pub async fn deregister(self) {
        let deleted =
            self.store.delete_system_object(ObjectKind::EntryProcesses, self.vm.as_str()).await;
        if let Err(error) = deleted {
            log::warn!(
                "fleet: failed to remove this entry from the store, it may stay registered: {error}"
            );
        }
    }
}

fn add_entries(fleet: &Fleet, listed: Vec<(String, String)>) {
    for (name, contents) in listed {
        let address = contents.trim_matches('"').parse();
        match (name.parse(), address) {
            (Ok(vm), Ok(address)) => fleet.add_entry(vm, address),
            _ => log::warn!(
                "fleet: ignoring the entry {name:?} in the store: invalid name or address"
            ),
        }
    }
}
