//! This entry's own object in the store, by which the entries find each other.

use std::net::SocketAddr;

use base::prelude::*;
use platform::{ObjectKind, PlatformStore, StoreError};
use tokio::time;

use crate::fleet::Fleet;

/// Time between two tries.
const RETRY: Duration = Duration::from_secs(1);

/// This entry as it stands in the store.
#[derive(Clone)]
pub struct OwnEntry {
    /// Store.
    pub store: PlatformStore,
    /// VM of this entry; the name of the object.
    pub vm: VmId,
    /// Address for datagrams; the contents of the object.
    pub address: SocketAddr,
}

impl OwnEntry {
    /// Writes the object and meets the entries that are there.
    pub async fn join(self, fleet: Fleet) {
        while let Err(error) = self.write_and_meet(&fleet).await {
            log::warn!("fleet: the entry is not in the store yet: {error}");
            time::sleep(RETRY).await;
        }
    }

    async fn write_and_meet(&self, fleet: &Fleet) -> Result<(), StoreError> {
        let contents = format!("\"{}\"", self.address);
        self.store
            .write_system_object(ObjectKind::EntryProcesses, self.vm.as_str(), &contents)
            .await?;
        for (name, contents) in self.store.list_system_objects(ObjectKind::EntryProcesses).await? {
            let address = contents.trim_matches('"').parse();
            match (name.parse(), address) {
                (Ok(vm), Ok(address)) => fleet.meet(vm, address),
                _ => log::warn!("fleet: the entry {name:?} in the store cannot be read"),
            }
        }
        Ok(())
    }

    /// Deletes the object.
    pub async fn leave(self) {
        let deleted =
            self.store.delete_system_object(ObjectKind::EntryProcesses, self.vm.as_str()).await;
        if let Err(error) = deleted {
            log::warn!("fleet: the entry stays in the store: {error}");
        }
    }
}
