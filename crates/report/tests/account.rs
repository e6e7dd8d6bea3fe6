//! Account of list edits, as text and as a page.

use base::prelude::*;
use lists::{
    spread::{StatusReport, status::ActivationInstant},
    store::{EditOrder, LaggingNode, ListTexts, apply_edit, write_status},
};
use object_api::MemoryStore;
use report::{ScrapeLog, account::AccountScope, gather_account, html::account_page};

fn texts(share: u32, replicas: u32) -> ListTexts {
    let plans = format!(
        "[customer crew]\nplan = field\nkey-hash = {}\nhome-region = r\n",
        KeyHash::of_key("k")
    );
    let rights = format!(
        "[plan field]\npriority = 1\nshare = {share}\nmodels = m\n\
         [service s]\nkind = engine\nreplicas = 12\nmemory = 80GiB\n\
         [model m]\nservice = s\nreplicas = {replicas}\nmemory = 1GiB\n"
    );
    ListTexts { plans, rights }
}

async fn store_with_edits() -> MemoryStore {
    let store = MemoryStore::new();
    for (read_at, texts) in [texts(30, 1), texts(30, 4), texts(50, 4)].into_iter().enumerate() {
        let order = EditOrder {
            texts,
            read_at: ListVersion(read_at as u64),
            operator: OperatorName::new("jana").unwrap(),
            note: String::from("<quarterly> reports"),
        };
        apply_edit(&store, &order).await.unwrap();
    }
    store
}

async fn acknowledge(store: &MemoryStore, version: u64) {
    let report = StatusReport {
        in_force: ListVersion(version),
        newest: ListVersion(3),
        nodes: 7,
        lagging: vec![LaggingNode {
            node: VmId::new("back-3").unwrap(),
            has: ListVersion(0),
            leaving: true,
        }],
        lagging_count: 1,
        times: (1..=version)
            .map(|version| ActivationInstant { version: ListVersion(version), at: Instant::now() })
            .collect(),
    };
    let zone = ZoneName::new("z0").unwrap();
    write_status(store, &zone, &VmId::new("entry-0").unwrap(), &report).await.unwrap();
}

fn scope(after: u64) -> AccountScope {
    let log = ScrapeLog::default();
    AccountScope { after: ListVersion(after), log, span: Duration::from_secs(3_600) }
}

#[tokio::test(start_paused = true)]
async fn account_lists_zones_and_edits() {
    let store = store_with_edits().await;
    tokio::time::advance(Duration::from_millis(250)).await;
    acknowledge(&store, 2).await;

    let account = gather_account(&store, &scope(1)).await.unwrap();

    let text = account.to_string();
    assert!(text.contains("zone z0: version 2 in force at 7 nodes, 1 lack 3"), "{text}");
    assert!(text.contains("back-3 (no version acknowledged, leaving)"), "{text}");
    assert!(text.contains("[model m] changed; replicas: \"1\" -> \"4\"; for crew"), "{text}");
    assert!(text.contains("in force in z0 after 250 ms"), "{text}");
    assert!(text.contains("[plan field] changed; share: \"30\" -> \"50\""), "{text}");
    assert!(text.contains("not known to be in force in z0"), "{text}");
    assert_eq!(account.edits.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn page_escapes_notes_of_operators() {
    let store = store_with_edits().await;

    let account = gather_account(&store, &scope(0)).await.unwrap();
    let page = account_page(&account);

    assert!(page.contains("&lt;quarterly&gt; reports"));
    assert!(!page.contains("<quarterly>"));
}
