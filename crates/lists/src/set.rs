//! The parsed lists at one version, with the look-ups that requests need.

use std::{collections::HashMap, sync::Arc};

use base::{
    ini::{FileFault, FileFaults, IniFile},
    prelude::*,
};

use crate::{
    entries::{ObjectiveSet, RequestPriority},
    image::{ListDelta, ListImage, SectionChange},
    plans::{CustomerEntry, read_customer},
    rights::{
        AdapterEntry, ModelEntry, PlanEntry, ServiceEntry, read_adapter, read_model, read_plan,
        read_service,
    },
    section::SectionKind,
};

/// Result of parsing sections.
pub type Result<T, E = FileFaults> = std::result::Result<T, E>;

/// Entries of one kind by name; versions that do not differ in them share the table.
type EntryTable<K, V> = Arc<HashMap<K, Arc<V>>>;

/// Both lists at one version. Clones share the tables.
#[derive(Debug, Clone, Default)]
pub struct ListSet {
    version: ListVersion,
    customers: EntryTable<CustomerId, CustomerEntry>,
    keys: EntryTable<KeyHash, CustomerEntry>,
    plans: EntryTable<PlanName, PlanEntry>,
    models: EntryTable<ModelId, ModelEntry>,
    adapters: EntryTable<AdapterId, AdapterEntry>,
    services: EntryTable<ServiceName, ServiceEntry>,
}

/// An authenticated caller: its customer and that customer's plan.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRights {
    /// Hash of the key that the caller presented.
    pub key: KeyHash,
    /// Customer whose key the caller presented.
    pub customer: Arc<CustomerEntry>,
    /// Plan of the customer.
    pub plan: Arc<PlanEntry>,
}

impl CallerRights {
    /// Priority of the caller's requests.
    pub fn priority(&self) -> RequestPriority {
        self.plan.priority
    }

    /// Weight of the customer among all customers of the same priority.
    pub fn share(&self) -> ShareWeight {
        self.plan.share
    }

    /// Service-level objectives of the customer.
    pub fn objectives(&self) -> ObjectiveSet {
        self.plan.objectives
    }
}

/// The target of a request: a model, or an adapter with its base model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestTarget {
    /// A model without an adapter.
    Model(Arc<ModelEntry>),
    /// An adapter on its base model.
    Adapter {
        /// Adapter that the request names.
        adapter: Arc<AdapterEntry>,
        /// Model on top of which the adapter is loaded.
        base: Arc<ModelEntry>,
    },
}

impl RequestTarget {
    /// The model itself, or the adapter's base model.
    pub fn model(&self) -> &Arc<ModelEntry> {
        match self {
            RequestTarget::Model(model) | RequestTarget::Adapter { base: model, .. } => model,
        }
    }
}

impl ListSet {
    /// Parses every section of `image`.
    ///
    /// # Errors
    ///
    /// Returns the faults of all malformed sections.
    pub fn from_image(version: ListVersion, image: &ListImage) -> Result<Self> {
        Self::default().updated(version, &image.as_delta())
    }

    /// Returns the set after the changes of `delta`; unchanged tables are shared with `self`.
    ///
    /// # Errors
    ///
    /// Returns the faults of all malformed sections.
    pub fn updated(&self, version: ListVersion, delta: &ListDelta) -> Result<Self> {
        let mut set = self.clone();
        set.version = version;
        let mut faults = Vec::new();
        for change in &delta.changes {
            set.apply_change(change).unwrap_or_else(|mut found| faults.append(&mut found));
        }
        if faults.is_empty() { Ok(set) } else { Err(FileFaults { faults }) }
    }

    /// Version of the lists; zero for the empty default.
    pub fn version(&self) -> ListVersion {
        self.version
    }

    /// Looks up the caller that presents a key with this hash.
    ///
    /// # Errors
    ///
    /// [`ResultCode::UnknownCustomer`] if no customer has the key or its plan does not exist.
    pub fn caller(&self, hash: &KeyHash) -> Result<CallerRights, ResultCode> {
        let customer = self.keys.get(hash).ok_or(ResultCode::UnknownCustomer)?;
        let plan = self.plans.get(&customer.plan).ok_or(ResultCode::UnknownCustomer)?;
        let (customer, plan) = (Arc::clone(customer), Arc::clone(plan));
        Ok(CallerRights { key: hash.clone(), customer, plan })
    }

    /// Looks up the model or adapter `name`, if the caller's plan permits it.
    ///
    /// # Errors
    ///
    /// [`ResultCode::UnknownModel`] if it does not exist, [`ResultCode::NotPermitted`] if the plan
    /// does not permit it.
    pub fn target(&self, caller: &CallerRights, name: &str) -> Result<RequestTarget, ResultCode> {
        if let Some(model) = ModelId::new(name).ok().and_then(|id| self.model(&id)) {
            let permitted = caller.plan.models.contains(name);
            return permit(permitted, RequestTarget::Model(Arc::clone(model)));
        }
        let adapter = AdapterId::new(name).ok().and_then(|id| self.adapter(&id));
        let adapter = adapter.ok_or(ResultCode::UnknownModel)?;
        let base = self.model(&adapter.base).ok_or(ResultCode::UnknownModel)?;
        let permitted = caller.plan.adapters.contains(name);
        let target =
            RequestTarget::Adapter { adapter: Arc::clone(adapter), base: Arc::clone(base) };
        permit(permitted, target)
    }

    /// Looks up the service `name`, if the caller's plan permits it.
    ///
    /// # Errors
    ///
    /// [`ResultCode::UnknownModel`] if it does not exist, [`ResultCode::NotPermitted`] if the plan
    /// does not permit it.
    pub fn plain_service(
        &self,
        caller: &CallerRights,
        name: &str,
    ) -> Result<Arc<ServiceEntry>, ResultCode> {
        let service = ServiceName::new(name).ok().and_then(|name| self.service(&name));
        let service = service.ok_or(ResultCode::UnknownModel)?;
        permit(caller.plan.services.contains(name), Arc::clone(service))
    }

    /// Looks up a customer.
    pub fn customer(&self, id: &CustomerId) -> Option<&Arc<CustomerEntry>> {
        self.customers.get(id)
    }

    /// Looks up a plan.
    pub fn plan(&self, name: &PlanName) -> Option<&Arc<PlanEntry>> {
        self.plans.get(name)
    }

    /// Looks up a model.
    pub fn model(&self, id: &ModelId) -> Option<&Arc<ModelEntry>> {
        self.models.get(id)
    }

    /// Looks up an adapter.
    pub fn adapter(&self, id: &AdapterId) -> Option<&Arc<AdapterEntry>> {
        self.adapters.get(id)
    }

    /// Looks up a service of either kind.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceEntry>> {
        self.services.get(name)
    }

    /// All customers, in no particular order.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<CustomerEntry>> {
        self.customers.values()
    }

    /// All plans, in no particular order.
    pub fn plans(&self) -> impl Iterator<Item = &Arc<PlanEntry>> {
        self.plans.values()
    }

    /// All models, in no particular order.
    pub fn models(&self) -> impl Iterator<Item = &Arc<ModelEntry>> {
        self.models.values()
    }

    /// All adapters, in no particular order.
    pub fn adapters(&self) -> impl Iterator<Item = &Arc<AdapterEntry>> {
        self.adapters.values()
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceEntry>> {
        self.services.values()
    }

    fn apply_change(&mut self, change: &SectionChange) -> Result<(), Vec<FileFault>> {
        let name = change.name.name.as_str();
        let file = IniFile::parse("lists", &section_source(change)).map_err(|e| e.faults)?;
        let section = change.text.as_ref().and_then(|_| file.sections.first());
        let file = "lists";
        match change.name.kind {
            SectionKind::Customer => {
                let entry = section.map(|s| read_customer(file, s, name)).transpose()?;
                self.set_customer(name, entry);
            }
            SectionKind::Plan => {
                let entry = section.map(|s| read_plan(file, s, name)).transpose()?;
                set_entry(&mut self.plans, PlanName::new(name).ok(), entry);
            }
            SectionKind::Model => {
                let entry = section.map(|s| read_model(file, s, name)).transpose()?;
                set_entry(&mut self.models, ModelId::new(name).ok(), entry);
            }
            SectionKind::Adapter => {
                let entry = section.map(|s| read_adapter(file, s, name)).transpose()?;
                set_entry(&mut self.adapters, AdapterId::new(name).ok(), entry);
            }
            SectionKind::Service => {
                let entry = section.map(|s| read_service(file, s, name)).transpose()?;
                set_entry(&mut self.services, ServiceName::new(name).ok(), entry);
            }
        }
        Ok(())
    }

    fn set_customer(&mut self, name: &str, entry: Option<CustomerEntry>) {
        let Ok(id) = CustomerId::new(name) else { return };
        let keys = Arc::make_mut(&mut self.keys);
        if let Some(former) = self.customers.get(&id) {
            for hash in &former.key_hashes {
                if keys.get(hash).is_some_and(|holder| holder.id == id) {
                    keys.remove(hash);
                }
            }
        }
        if let Some(entry) = &entry {
            let shared = Arc::new(entry.clone());
            for hash in &entry.key_hashes {
                keys.insert(hash.clone(), Arc::clone(&shared));
            }
        }
        set_entry(&mut self.customers, Some(id), entry);
    }
}

fn permit<T>(permitted: bool, target: T) -> Result<T, ResultCode> {
    if permitted { Ok(target) } else { Err(ResultCode::NotPermitted) }
}

fn section_source(change: &SectionChange) -> String {
    format!("[{}]\n{}", change.name, change.text.as_deref().unwrap_or_default())
}

fn set_entry<K, V>(table: &mut EntryTable<K, V>, key: Option<K>, entry: Option<V>)
where
    K: std::hash::Hash + Eq + Clone,
{
    let Some(key) = key else { return };
    let table = Arc::make_mut(table);
    match entry {
        Some(entry) => table.insert(key, Arc::new(entry)),
        None => table.remove(&key),
    };
}
