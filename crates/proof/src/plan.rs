//! Size, lists and time limits of the fleet under test.

use std::{collections::BTreeMap, time::Duration};

use base::ids::KeyHash;

/// Number of entry processes.
pub const ENTRIES: usize = 2;
/// Number of model engines, each with a side process.
pub const ENGINES: usize = 2;
/// Number of replicas of the plain service, each with a side process.
pub const SERVICE_REPLICAS: usize = 2;
/// Name of the service of the model engines.
pub const ENGINE_SERVICE: &str = "rosnatka";
/// Name of the plain service; its calls other than GET and HEAD are non-idempotent.
pub const PLAIN_SERVICE: &str = "vrbovka";
/// Region of the fleet.
pub const REGION: &str = "cz-central";
/// Memory of one engine, in GiB.
pub const ENGINE_GIB: u64 = 80;
/// Memory of one model, in GiB; two fit into an engine.
pub const MODEL_GIB: u64 = 30;
/// Models in the lists, each with one configured replica.
pub const MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
/// Deadline of every request, set in the plan of its customer.
pub const DEADLINE: Duration = Duration::from_secs(12);
/// Tolerance beyond the deadline for the answer or refusal to reach its caller.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(1_500);
/// Longest time until all entries have applied an accepted edit, faults aside.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(13);
/// Time after which a leaving backend server must receive no new requests.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(5);
/// Longest time for the fleet to serve all probe requests, at start and after the faults.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(30);
/// Crashes that one request may cause before it is quarantined.
pub const QUARANTINE_CRASHES: usize = 2;
/// Prompt that crashes every engine while a `PoisonRequest` fault lasts.
pub const CRASH_MARKER: &str = "poison";

/// Key of customer 0, which is in the lists from the start.
pub fn first_key() -> String {
    customer_key(0)
}

/// Key of the customer added by edit `edition`.
pub fn customer_key(edition: u32) -> String {
    format!("key-of-customer-{edition}")
}

/// Text of the list of plans, with the customers of the editions 0 to `edition`.
pub fn plans_text(edition: u32) -> String {
    let customer = |number: u32| {
        let hash = KeyHash::of_key(&customer_key(number));
        format!(
            "[customer crew-{number}]\nplan = field\nkey-hash = {hash}\nhome-region = {REGION}\n\n"
        )
    };
    (0..=edition).map(customer).collect()
}

/// Text of the list of rights, the same for all editions.
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

/// Configured number of replicas of each model.
pub fn configured_replicas() -> BTreeMap<String, usize> {
    MODELS.iter().map(|model| ((*model).to_owned(), 1)).collect()
}
