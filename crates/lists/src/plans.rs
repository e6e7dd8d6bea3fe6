//! The list of plans: customers, the plan each holds and their keys.

use base::{
    ini::{FileFault, IniSection, SectionReader},
    prelude::*,
};

/// A customer and the plan it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerEntry {
    /// The customer.
    pub id: CustomerId,
    /// Plan held.
    pub plan: PlanName,
    /// Hashes of the keys that callers show.
    pub key_hashes: Vec<KeyHash>,
    /// Region that keeps the claims of the customer's idempotency keys.
    pub home_region: RegionName,
}

/// Reads the section of one customer.
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
