//! The in-memory Object API has the guarantees of the platform's.

use std::time::Duration;

use bytes::Bytes;
use object_api::{
    MemoryStore, ObjectKey, ObjectStore, ObjectVersion, StoreError, StoreFault, WriteCondition,
};

fn key() -> ObjectKey {
    ObjectKey::new("lists/plans")
}

async fn store_with_one_object() -> (MemoryStore, ObjectVersion) {
    let store = MemoryStore::new();
    let version = store.put(&key(), Bytes::from("a"), WriteCondition::Absent).await.unwrap();
    (store, version)
}

#[tokio::test(start_paused = true)]
async fn conditional_update_needs_the_current_version() {
    let (store, version) = store_with_one_object().await;

    let first = store.put(&key(), Bytes::from("b"), WriteCondition::Version(version)).await;
    let second = store.put(&key(), Bytes::from("c"), WriteCondition::Version(version)).await;

    assert!(first.is_ok());
    assert_eq!(second, Err(StoreError::ConditionFailed));
}

#[tokio::test(start_paused = true)]
async fn write_with_lost_answer_takes_effect() {
    let (store, version) = store_with_one_object().await;
    store.set_fault(StoreFault { lost_answers: 1, ..StoreFault::default() });

    let put = store.put(&key(), Bytes::from("b"), WriteCondition::Version(version)).await;

    assert_eq!(put, Err(StoreError::AnswerLost));
    assert_eq!(store.get(&key()).await.unwrap().unwrap().body, Bytes::from("b"));
}

#[tokio::test(start_paused = true)]
async fn watch_returns_on_a_change_under_its_prefix() {
    let (store, version) = store_with_one_object().await;
    let watcher = store.clone();
    let watch = tokio::spawn(async move {
        watcher.watch("lists/", version, Duration::from_secs(30)).await.unwrap()
    });
    tokio::task::yield_now().await;

    store.put(&ObjectKey::new("other/x"), Bytes::new(), WriteCondition::Absent).await.unwrap();
    store.put(&key(), Bytes::from("b"), WriteCondition::Version(version)).await.unwrap();

    let changes = watch.await.unwrap();
    assert_eq!(changes.len(), 1);
    assert!(changes[0].version() > version);
}

#[tokio::test(start_paused = true)]
async fn store_that_is_down_writes_nothing() {
    let (store, version) = store_with_one_object().await;
    store.set_fault(StoreFault { down: true, ..StoreFault::default() });

    let put = store.put(&key(), Bytes::from("b"), WriteCondition::Version(version)).await;

    assert_eq!(put, Err(StoreError::Unavailable));
    store.set_fault(StoreFault::default());
    assert_eq!(store.get(&key()).await.unwrap().unwrap().body, Bytes::from("a"));
}
