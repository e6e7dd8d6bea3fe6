//! Tests of edits in the Object API: atomicity, conflicts, lost answers and large lists.

use std::fs;

use base::prelude::*;
use bytes::Bytes;
use lists::{
    load_lists, read_lists,
    store::{
        EditOrder, EditOutcome, ListTexts, apply_edit, edits_between,
        objects::{StoredRecord, decode_object, encode_object, head_key},
    },
};
use object_api::{MemoryStore, ObjectKey, ObjectStore, StoreFault, WriteCondition};

fn texts() -> ListTexts {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/slatina");
    let read = |list| fs::read_to_string(format!("{root}/{list}.ini")).unwrap();
    ListTexts { plans: read("plans"), rights: read("rights") }
}

fn order(texts: ListTexts, read_at: u64) -> EditOrder {
    let operator = OperatorName::new("jana").unwrap();
    EditOrder { texts, read_at: ListVersion(read_at), operator, note: String::from("test") }
}

fn with_share(share: u32) -> ListTexts {
    let mut texts = texts();
    texts.rights = texts.rights.replace("share = 40", &format!("share = {share}"));
    texts
}

fn with_queue(queue: u32) -> ListTexts {
    let mut texts = texts();
    texts.rights = texts.rights.replace("queue = 32", &format!("queue = {queue}"));
    texts
}

async fn store_with_lists() -> MemoryStore {
    let store = MemoryStore::new();
    accept(&store, texts(), 0).await;
    store
}

async fn accept(store: &MemoryStore, texts: ListTexts, read_at: u64) {
    let outcome = apply_edit(store, &order(texts, read_at)).await.unwrap();
    assert!(matches!(outcome, EditOutcome::Accepted(_)), "{outcome:?}");
}

async fn objects(store: &MemoryStore) -> usize {
    store.list("lists/").await.unwrap().len()
}

#[tokio::test(start_paused = true)]
async fn accepted_edit_is_read_back() {
    let store = store_with_lists().await;

    accept(&store, with_share(41), 1).await;
    let set = load_lists(&store).await.unwrap().unwrap();

    assert_eq!(set.version(), ListVersion(2));
    let plan = set.plan(&PlanName::new("grants").unwrap()).unwrap();
    assert_eq!(plan.share, ShareWeight(41));
}

#[tokio::test(start_paused = true)]
async fn empty_store_has_no_lists() {
    let store = MemoryStore::new();

    let set = load_lists(&store).await.unwrap();

    assert!(set.is_none());
}

#[tokio::test(start_paused = true)]
async fn conflicting_edit_returns_both_diffs() {
    let store = store_with_lists().await;
    accept(&store, with_share(41), 1).await;

    let outcome = apply_edit(&store, &order(with_queue(8), 1)).await.unwrap();

    let EditOutcome::Conflict { theirs, ours, current } = outcome else { panic!("{outcome:?}") };
    assert_eq!(theirs.len(), 1);
    assert!(theirs[0].delta.changes[0].text.as_ref().unwrap().contains("share = 41"));
    assert!(ours.changes[0].text.as_ref().unwrap().contains("queue = 8"));
    assert!(ours.changes[0].text.as_ref().unwrap().contains("share = 40"));
    assert_eq!(current.head.version, ListVersion(2));
}

#[tokio::test(start_paused = true)]
async fn one_of_concurrent_edits_is_accepted() {
    let store = store_with_lists().await;
    store.set_fault(StoreFault { delay: Duration::from_millis(5), ..StoreFault::default() });

    let orders: Vec<_> = (0..8).map(|n| order(with_share(50 + n), 1)).collect();
    let edits = orders.iter().map(|order| apply_edit(&store, order));
    let outcomes = futures::future::join_all(edits).await;

    let accepted =
        |o: &&lists::store::Result<EditOutcome>| matches!(o, Ok(EditOutcome::Accepted(_)));
    assert_eq!(outcomes.iter().filter(accepted).count(), 1);
    let lists = read_lists(&store).await.unwrap();
    assert_eq!(lists.head.version, ListVersion(2));
    let history = edits_between(&store, &lists.head, ListVersion(0)).await.unwrap();
    assert_eq!(history.len(), 2);
    assert_eq!(objects(&store).await, 1 + 2 + 2, "head, two parts and two records");
}

#[tokio::test(start_paused = true)]
async fn lost_answers_never_apply_edit_twice() {
    for lost in 1..=4 {
        let store = store_with_lists().await;
        store.set_fault(StoreFault { lost_answers: lost, ..StoreFault::default() });

        let outcome = apply_edit(&store, &order(with_share(41), 1)).await;

        store.set_fault(StoreFault::default());
        let lists = read_lists(&store).await.unwrap();
        let accepted = matches!(outcome, Ok(EditOutcome::Accepted(_)));
        assert!(accepted, "{lost} lost: {outcome:?}");
        assert_eq!(lists.head.version, ListVersion(2));
        let history = edits_between(&store, &lists.head, ListVersion(0)).await.unwrap();
        assert_eq!(history.len(), 2);
    }
}

#[tokio::test(start_paused = true)]
async fn outage_refuses_edit_without_effect() {
    let store = store_with_lists().await;
    store.set_fault(StoreFault { down: true, ..StoreFault::default() });

    let outcome = apply_edit(&store, &order(with_share(41), 1)).await;

    assert!(outcome.unwrap_err().is_outage());
    store.set_fault(StoreFault::default());
    assert_eq!(read_lists(&store).await.unwrap().head.version, ListVersion(1));
}

#[tokio::test(start_paused = true)]
async fn unchanged_texts_write_nothing() {
    let store = store_with_lists().await;
    let before = store.calls().writes;

    let outcome = apply_edit(&store, &order(texts(), 1)).await.unwrap();

    assert!(matches!(outcome, EditOutcome::Unchanged(ListVersion(1))));
    assert_eq!(store.calls().writes, before);
}

#[tokio::test(start_paused = true)]
async fn lists_above_a_megabyte_fit_one_edit() {
    let store = store_with_lists().await;
    let mut large = texts();
    for index in 0..30_000 {
        let section = format!("[adapter a-{index}]\nbase = grant-quarterly\nmemory = 100MiB\n");
        large.rights.push_str(&section);
    }
    assert!(large.rights.len() > 1 << 20);

    accept(&store, large.clone(), 1).await;
    let mut edited = large.clone();
    edited.rights.push_str("[adapter last]\nbase = grant-quarterly\nmemory = 100MiB\n");
    let before = store.calls().writes;
    accept(&store, edited.clone(), 2).await;
    let writes = store.calls().writes - before;

    let lists = read_lists(&store).await.unwrap();
    assert_eq!(lists.texts, edited);
    let history = edits_between(&store, &lists.head, ListVersion(1)).await.unwrap();
    assert_eq!(history[0].delta.changes.len(), 30_000);
    assert!(writes <= 4, "part, record, head and a deletion, not {writes} writes");
}

#[tokio::test(start_paused = true)]
async fn long_history_is_read_to_first_edit() {
    let store = store_with_lists().await;
    for version in 1..120 {
        accept(&store, with_share(100 + version as u32), version).await;
    }
    let lists = read_lists(&store).await.unwrap();

    let history = edits_between(&store, &lists.head, ListVersion(0)).await.unwrap();

    let versions: Vec<_> = history.iter().map(|edit| edit.version.0).collect();
    assert_eq!(versions, (1..=120).collect::<Vec<_>>());
}

#[tokio::test(start_paused = true)]
async fn malformed_head_is_no_outage() {
    let store = MemoryStore::new();
    let body = Bytes::from("{\"version\": \"x\"}");
    store.put(&head_key(), body, WriteCondition::Absent).await.unwrap();

    let error = load_lists(&store).await.unwrap_err();

    assert!(!error.is_outage());
}

/// Guards against edits that cannot be read because of an object beside their records.
#[tokio::test(start_paused = true)]
async fn odd_object_among_records_leaves_the_history_in_use() {
    let store = store_with_lists().await;
    for version in 1..20 {
        accept(&store, with_share(100 + version as u32), version).await;
    }
    let odd = ObjectKey::new("lists/history/000000000010-notes");
    store.put(&odd, Bytes::from("{}"), WriteCondition::Absent).await.unwrap();
    let lists = read_lists(&store).await.unwrap();

    let history = edits_between(&store, &lists.head, ListVersion(0)).await.unwrap();

    let versions: Vec<_> = history.iter().map(|edit| edit.version.0).collect();
    assert_eq!(versions, (1..=20).collect::<Vec<_>>());
}

/// Guards against a reader that follows records without end, because one of them names itself.
#[tokio::test(start_paused = true)]
async fn record_that_names_itself_is_refused() {
    let store = store_with_lists().await;
    accept(&store, with_share(41), 1).await;
    let lists = read_lists(&store).await.unwrap();
    let key = ObjectKey::new(&lists.head.edit);
    let object = store.get(&key).await.unwrap().unwrap();
    let mut record: StoredRecord = decode_object(&key, &object.body).unwrap();
    let StoredRecord::Inline(inline) = &mut record else { panic!("the record is small") };
    inline.previous = lists.head.edit.clone();
    let body = encode_object(&key, &record).unwrap();
    store.put(&key, body, WriteCondition::Version(object.version)).await.unwrap();

    let history = edits_between(&store, &lists.head, ListVersion(0)).await;

    assert!(history.is_err());
}
