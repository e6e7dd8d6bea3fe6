//! The lists in force at this process.

use std::sync::Arc;

use base::prelude::*;
use lists::{ListSet, load_lists};
use platform::{ObjectStore, ObjectVersion};
use tokio::{sync::watch, time};

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Objects whose changes mean new lists.
const HEAD_PREFIX: &str = "lists/head";

/// Follows the lists in the store; never goes back to an older version.
pub async fn follow(store: Arc<dyn ObjectStore>, current: watch::Sender<Option<ListSet>>) {
    let mut since = ObjectVersion::default();
    loop {
        match load_lists(&*store).await {
            Ok(Some(lists)) => adopt(&current, lists),
            Ok(None) => log::warn!("lists: the store holds no lists yet"),
            Err(error) => {
                log::warn!("lists: {error}");
                time::sleep(RETRY_PAUSE).await;
                continue;
            }
        }
        since = wait_for_change(&*store, since).await;
    }
}

fn adopt(current: &watch::Sender<Option<ListSet>>, lists: ListSet) {
    let version = lists.version();
    let is_new = current.send_if_modified(|held| {
        let is_newer = held.as_ref().is_none_or(|held| held.version() < version);
        if is_newer {
            *held = Some(lists);
        }
        is_newer
    });
    if is_new {
        log::info!("lists: version {version} is in force here");
    }
}

async fn wait_for_change(store: &dyn ObjectStore, since: ObjectVersion) -> ObjectVersion {
    loop {
        match store.watch(HEAD_PREFIX, since, WATCH_WAIT).await {
            Ok(changes) => {
                if let Some(last) = changes.last() {
                    return last.version();
                }
            }
            Err(error) => {
                log::warn!("lists: the watch failed: {error}");
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
