//! The list of plans: customers, the plan of each and their API keys.

use base::{
    ini::{FileFault, IniSection, SectionReader},
    prelude::*,
};

/// A customer's section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerEntry {
    /// Name of the customer.
    pub id: CustomerId,
    /// Name of the plan, which the list of rights defines.
    pub plan: PlanName,
    /// Hashes of the API keys that callers present; at least one.
    pub key_hashes: Vec<KeyHash>,
    /// Region that stores the claims of the customer's idempotency keys.
    pub home_region: RegionName,
}

pub(crate) fn read_customer(
    file: &str,
    section: &IniSection,
    name: &str,
) -> Result<CustomerEntry, Vec<FileFault>> {
    let mut reader = SectionReader::new(file, section);
    let plan = reader.required("plan", "the name of a plan");
    let key_hashes: Vec<KeyHash> = reader.values("key-hash", "SHA-256 hashes of 64 hex digits");
    let home_region = reader.required("home-region", "the name of a region");
    if key_hashes.is_empty() {
        reader.fault(section.line, "key-hash", "at least one SHA-256 hash of 64 hex digits");
    }
    let faults = reader.finish();
    match (CustomerId::new(name), plan, home_region) {
        (Ok(id), Some(plan), Some(home_region)) if faults.is_empty() => {
            Ok(CustomerEntry { id, plan, key_hashes, home_region })
        }
        _ => Err(faults),
    }
}
