//! Statuses of the zones, stored in the Object API.

use std::collections::BTreeMap;

use base::{clock, prelude::*};
use object_api::{ObjectKey, ObjectStore, StoreError, StoredObject, WriteCondition};
use snafu::ResultExt;

use crate::{
    spread::StatusReport,
    store::{
        Result, StoreCallSnafu,
        objects::{
            ActivationTime, KEPT_ACTIVATIONS, STATUS_PREFIX, StatusObject, TIMES_BLOCK,
            decode_object, encode_object, status_key, times_key, times_prefix,
        },
    },
};

/// Activations of versions in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneActivations {
    /// Zone in which the versions became active.
    pub zone: ZoneName,
    /// Activations, sorted by version.
    pub times: Vec<ActivationTime>,
}

/// A status to write, and the activations that no longer fit into it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MergedStatus {
    /// Status with the newest activations.
    pub status: StatusObject,
    /// Older activations, which go to an object of their own; empty if all fit.
    pub older: Vec<ActivationTime>,
}

/// Merges the report of `relay` into the status of `zone` in the store.
///
/// # Errors
///
/// Fails if a call to the store fails; with [`StoreError::ConditionFailed`] if another relay wrote
/// concurrently.
pub async fn write_status(
    store: &dyn ObjectStore,
    zone: &ZoneName,
    relay: &VmId,
    report: &StatusReport,
) -> Result<()> {
    let key = status_key(zone);
    let former = store.get(&key).await.context(StoreCallSnafu { key: key.clone() })?;
    let condition = match &former {
        Some(object) => WriteCondition::Version(object.version),
        None => WriteCondition::Absent,
    };
    let former = former.and_then(|object| decode_object(&key, &object.body).ok());
    let merged = merge_status(zone, relay, report, former.as_ref(), Instant::now());
    write_older_times(store, zone, &merged.older).await?;
    let body = encode_object(&key, &merged.status)?;
    store.put(&key, body, condition).await.map(drop).context(StoreCallSnafu { key })
}

/// Merges a report into the status in the store, `former`.
///
/// Known activations keep their times and the active version never decreases, even if another relay
/// wrote the former status. `now` converts the report's instants to wall-clock time.
pub fn merge_status(
    zone: &ZoneName,
    relay: &VmId,
    report: &StatusReport,
    former: Option<&StatusObject>,
    now: Instant,
) -> MergedStatus {
    let wall = clock::since_epoch();
    let known = former.map(|status| status.times.as_slice()).unwrap_or_default();
    let mut times: Vec<ActivationTime> = known.to_vec();
    let newest_known = times.last().map_or(ListVersion(0), |time| time.version);
    for time in report.times.iter().filter(|time| time.version > newest_known) {
        let millis = (wall - now.saturating_duration_since(time.at)).as_millis() as u64;
        times.push(ActivationTime { version: time.version, millis });
    }
    let surplus = if times.len() > 2 * KEPT_ACTIVATIONS { KEPT_ACTIVATIONS } else { 0 };
    let older = times.drain(..surplus).collect();
    let former_version = former.map_or(ListVersion(0), |status| status.in_force);
    let status = StatusObject {
        zone: zone.clone(),
        relay: relay.clone(),
        in_force: report.in_force.max(former_version),
        newest: report.newest,
        nodes: report.nodes,
        lacking: report.lagging.clone(),
        lacking_count: report.lagging_count,
        times,
    };
    MergedStatus { status, older }
}

/// Reads the statuses of all zones. Objects under the same prefix that cannot be decoded, or have
/// another name than their zone's status, are logged and skipped.
///
/// # Errors
///
/// Fails if the store fails the call.
pub async fn read_statuses(store: &dyn ObjectStore) -> Result<Vec<StatusObject>> {
    let key = ObjectKey::new(STATUS_PREFIX);
    let objects = store.list(STATUS_PREFIX).await.context(StoreCallSnafu { key })?;
    let status_of = |object: &StoredObject| match decode_object(&object.key, &object.body) {
        Ok(status) if is_named_for(&object.key, &status) => Some(status),
        Ok(status) => {
            log::warn!("lists: leaving out {}, a status of {}", object.key, status.zone);
            None
        }
        Err(error) => {
            log::warn!("lists: leaving out a status: {error}");
            None
        }
    };
    Ok(objects.iter().filter_map(status_of).collect())
}

fn is_named_for(key: &ObjectKey, status: &StatusObject) -> bool {
    *key == status_key(&status.zone)
}

/// Reads when the versions after `after` became active in each zone.
///
/// # Errors
///
/// Fails if the store fails a call.
pub async fn activation_times(
    store: &dyn ObjectStore,
    statuses: &[StatusObject],
    after: ListVersion,
) -> Result<Vec<ZoneActivations>> {
    let mut zones = Vec::new();
    for status in statuses {
        let mut times: BTreeMap<ListVersion, ActivationTime> = BTreeMap::new();
        times.extend(status.times.iter().map(|time| (time.version, *time)));
        let first = status.times.first().map_or(status.in_force, |first| first.version);
        if first > after.next() {
            let older = read_older_times(store, &status.zone, after, first).await?;
            times.extend(older.into_iter().map(|time| (time.version, time)));
        }
        let newer = times.into_values().filter(|time| time.version > after);
        zones.push(ZoneActivations { zone: status.zone.clone(), times: newer.collect() });
    }
    Ok(zones)
}

async fn write_older_times(
    store: &dyn ObjectStore,
    zone: &ZoneName,
    older: &[ActivationTime],
) -> Result<()> {
    let Some(first) = older.first() else { return Ok(()) };
    let key = times_key(zone, first.version);
    let body = encode_object(&key, &older)?;
    match store.put(&key, body, WriteCondition::Absent).await {
        Ok(_) | Err(StoreError::ConditionFailed) => Ok(()),
        Err(source) => Err(source).context(StoreCallSnafu { key }),
    }
}

/// Reads activations stored outside the status, up to the block of `first`. Objects that cannot be
/// decoded are logged and skipped.
///
/// An object is named after its first version, so an object in the block before that of `after` may
/// hold versions after `after`.
async fn read_older_times(
    store: &dyn ObjectStore,
    zone: &ZoneName,
    after: ListVersion,
    first: ListVersion,
) -> Result<Vec<ActivationTime>> {
    let mut times = Vec::new();
    let earliest = after.0.saturating_sub(2 * KEPT_ACTIVATIONS as u64) / TIMES_BLOCK;
    for block in earliest..=first.0 / TIMES_BLOCK {
        let prefix = times_prefix(zone, ListVersion(block * TIMES_BLOCK));
        let key = ObjectKey::new(&prefix);
        let objects = store.list(&prefix).await.context(StoreCallSnafu { key })?;
        for object in objects {
            match decode_object::<Vec<ActivationTime>>(&object.key, &object.body) {
                Ok(older) => times.extend(older),
                Err(error) => log::warn!("lists: leaving out activations: {error}"),
            }
        }
    }
    Ok(times)
}
