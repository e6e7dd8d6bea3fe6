//! Traffic between the relays and the platform, computed from the sizes of encoded objects.

use base::prelude::*;
use lists::{
    SectionKind, SectionName,
    image::SectionChange,
    spread::{SpreadSettings, VM_LIST_RATE},
    store::{
        EditRecord, HeadObject, LaggingNode, StatusObject,
        objects::{ActivationTime, KEPT_ACTIVATIONS, StoredRecord, edit_name, part_name},
    },
};

/// Lagging nodes that a zone's status names in ordinary operation.
const LAGGING_NODES: usize = 16;
/// Time between two answers of a watch of the head, in seconds.
const WATCH_SECONDS: f64 = 3.0;
/// Relays of one zone.
const RELAYS: f64 = 2.0;
/// VMs of the fleet.
const VMS: f64 = 12_600.0;

/// Store calls a second of all relays and operators.
pub struct CallRates {
    pub reads: f64,
    pub writes: f64,
}

/// Bytes a second between one relay and the platform.
pub fn relay_rate(edit_rate: f64) -> f64 {
    let status_period = SpreadSettings::default().status_interval.as_secs_f64();
    let status = 2.0 * encoded_size(&status()) / status_period;
    let edits = edit_rate * (2.0 * encoded_size(&head()) + encoded_size(&record()));
    VM_LIST_RATE as f64 + status + edits
}

/// Store calls a second of all relays and of the operators' edits.
pub fn relay_calls(edit_rate: f64, zones: usize) -> CallRates {
    let zones = zones as f64;
    let relays = zones * RELAYS;
    let status = zones / SpreadSettings::default().status_interval.as_secs_f64();
    let vm_period = VMS * lists::spread::VM_ENTRY_BYTES as f64 / VM_LIST_RATE as f64;
    let watches = relays * (1.0 / WATCH_SECONDS + edit_rate);
    let edits = relays * edit_rate * 2.0;
    // An edit reads the head and four parts, and writes a part, its record and the head.
    let operators = CallRates { reads: edit_rate * 6.0, writes: edit_rate * 4.0 };
    CallRates {
        reads: watches + edits + status + relays / vm_period + operators.reads,
        writes: status + edit_rate * zones / KEPT_ACTIVATIONS as f64 + operators.writes,
    }
}

fn encoded_size<T>(object: &T) -> f64
where
    T: serde::Serialize,
{
    serde_json::to_vec(object).expect("the object can be encoded").len() as f64
}

fn status() -> StatusObject {
    let node = VmId::new("backend-cz-central-1-1034").expect("a valid name");
    let time = ActivationTime { version: ListVersion(13_000_000), millis: 1_796_000_000_000 };
    let lagging_node = LaggingNode { node, has: ListVersion(13_000_000), leaving: false };
    StatusObject {
        zone: ZoneName::new("cz-central-1").expect("a valid name"),
        relay: VmId::new("entry-cz-central-1-12").expect("a valid name"),
        in_force: ListVersion(13_000_000),
        newest: ListVersion(13_000_000),
        nodes: 1_400,
        lacking: vec![lagging_node; LAGGING_NODES],
        lacking_count: LAGGING_NODES as u32,
        times: vec![time; 2 * KEPT_ACTIVATIONS],
    }
}

fn head() -> HeadObject {
    let version = ListVersion(13_000_000);
    HeadObject {
        version,
        plans: vec![part_name(version, 1, 0)],
        rights: vec![part_name(version, 1, 0); 4],
        edit: edit_name(version, 1),
        ..HeadObject::default()
    }
}

fn record() -> StoredRecord {
    let version = ListVersion(13_000_000);
    let name = SectionName::new(SectionKind::Adapter, "adapter-1000");
    let text = Some(String::from("base = model-100\nmemory = 120MiB\n"));
    let delta = lists::ListDelta { changes: vec![SectionChange { name, text }] };
    StoredRecord::Inline(Box::new(EditRecord {
        version,
        nonce: u64::MAX,
        digest: lists::ImageDigest(u64::MAX),
        previous: edit_name(version, 1),
        operator: OperatorName::new("jana.novakova").expect("a valid name"),
        note: String::from("more memory for the maps adapter"),
        sent_millis: 1_796_000_000_000,
        former: delta.clone(),
        delta,
    }))
}
