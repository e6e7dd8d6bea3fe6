//! The fleet under test: names, lists and limits.

use std::{collections::BTreeMap, time::Duration};

use base::ids::KeyHash;

/// Entry processes.
pub const ENTRIES: usize = 2;
/// Model engines with their side processes.
pub const ENGINES: usize = 2;
/// Replicas of the plain service with their side processes.
pub const SERVICE_REPLICAS: usize = 2;
/// Service of the model engines.
pub const ENGINE_SERVICE: &str = "rosnatka";
/// Plain service whose unsafe calls may not be repeated.
pub const PLAIN_SERVICE: &str = "vrbovka";
/// Region of the fleet.
pub const REGION: &str = "cz-central";
/// Memory of one engine, in GiB.
pub const ENGINE_GIB: u64 = 80;
/// Memory of one model, in GiB; two fit into an engine.
pub const MODEL_GIB: u64 = 30;
/// Models in the lists, each with one decided replica.
pub const MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
/// Deadline of every request.
pub const DEADLINE: Duration = Duration::from_secs(12);
/// Time beyond the deadline within which the answer or refusal must have come.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(1_500);
/// Longest time until an accepted edit is in force everywhere.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(13);
/// Time after which a leaving backend server may get no new work.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(5);
/// Longest time until the fleet serves again after the faults have ended.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(30);
/// Crashes that one fatal request may cause before it is quarantined.
pub const QUARANTINE_CRASHES: usize = 2;
/// Text that crashes an engine when a fault says so.
pub const CRASH_MARKER: &str = "poison";

/// Key of the customer that is in the lists from the start.
pub fn first_key() -> String {
    customer_key(0)
}

/// Key of the customer added by edit `edition`.
pub fn customer_key(edition: u32) -> String {
    format!("key-of-customer-{edition}")
}

/// The list of plans with the customers of the editions up to `edition`.
pub fn plans_text(edition: u32) -> String {
    let customer = |number: u32| {
        let hash = KeyHash::of_key(&customer_key(number));
        format!(
            "[customer crew-{number}]\nplan = field\nkey-hash = {hash}\nhome-region = {REGION}\n\n"
        )
    };
    (0..=edition).map(customer).collect()
}

/// The list of rights.
pub fn rights_text() -> String {
    let deadline = DEADLINE.as_millis();
    let mut text = format!(
        "[plan field]\npriority = 0\nshare = 10\nmodels = *\nadapters = *\nservices = *\n\
         queue = 500\nshort-deadline = {deadline}ms\nlong-deadline = {deadline}ms\n\n\
         [service {ENGINE_SERVICE}]\nkind = engine\nreplicas = {ENGINES}\n\
         memory = {ENGINE_GIB}GiB\nslots = 16\nchecks-fencing = yes\n\n\
         [service {PLAIN_SERVICE}]\nkind = plain\nreplicas = {SERVICE_REPLICAS}\nslots = 32\n\
         repeatable = GET, HEAD\n\n"
    );
    for model in MODELS {
        text.push_str(&format!(
            "[model {model}]\nservice = {ENGINE_SERVICE}\nreplicas = 1\n\
             memory = {MODEL_GIB}GiB\nclass = short\n\n"
        ));
    }
    text
}

/// Decided number of replicas of each model.
pub fn configured_replicas() -> BTreeMap<String, usize> {
    MODELS.iter().map(|model| ((*model).to_owned(), 1)).collect()
}
