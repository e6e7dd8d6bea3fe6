//! Replica counts over separate processes: bursts, store outages, restarts and edits of the lists.

mod support;

use std::time::Duration;

use base::prelude::*;
use entry::owner::TargetReport;
use lists::store::{EditOrder, EditOutcome, ListTexts, apply_edit};
use object_api::http::{ClientSettings, PlatformClient};
use standin::load::{CallOutcome, CallScript, CallVerdict, ChatCall, LoadOptions, run_script};
use support::fleet::{Fleet, RIGHTS, get_json, plans, put_fault, start_fleet};

fn chat(model: &str) -> ChatCall {
    let prompt = "how full is the dam".to_owned();
    ChatCall { model: model.to_owned(), prompt, tokens: 4, is_stream: false }
}

/// A burst of concurrent requests for one model, sent to all entries.
fn burst(model: &str, count: u32) -> CallScript {
    let mut script = CallScript::default();
    let spread = Duration::from_millis(20);
    script.push_burst(Duration::ZERO, spread, count, "crew-key", &chat(model));
    script
}

async fn send(fleet: &Fleet, script: &CallScript) -> Vec<CallOutcome> {
    let options = LoadOptions { entries: fleet.addresses(), timeout: Duration::from_secs(60) };
    run_script(&options, script).await
}

fn count_complete(outcomes: &[CallOutcome]) -> usize {
    outcomes.iter().filter(|outcome| outcome.verdict == CallVerdict::Complete).count()
}

async fn reports(fleet: &Fleet, model: &str) -> Vec<TargetReport> {
    let target = format!("model/{model}");
    let mut found = Vec::new();
    for address in fleet.addresses() {
        let status = get_json(address, "/status").await;
        let all: Vec<TargetReport> = serde_json::from_value(status).unwrap();
        found.extend(all.into_iter().filter(|report| report.target == target));
    }
    found
}

async fn wait_for(fleet: &Fleet, model: &str, is_met: impl Fn(&TargetReport) -> bool) {
    for _ in 0..500 {
        if reports(fleet, model).await.iter().any(&is_met) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{:?}", reports(fleet, model).await);
}

/// Sums the records of both engines; counts loads of `model` only.
async fn engine_totals(fleet: &Fleet, model: &str) -> EngineTotals {
    let mut totals = EngineTotals::default();
    for number in 0..2 {
        let records = get_json(fleet.engine(number), "/admin/records").await;
        let orders = records["orders"].as_array().unwrap();
        let is_load = |order: &&serde_json::Value| {
            order["kind"] == "load" && order["key"]["model"] == model && order["accepted"] == true
        };
        totals.loads += orders.iter().filter(is_load).count();
        totals.overcommits += records["overcommits"].as_u64().unwrap();
    }
    totals
}

#[derive(Debug, Default, PartialEq, Eq)]
struct EngineTotals {
    /// Accepted loads of the model.
    loads: usize,
    /// Number of times that an engine overcommitted its memory.
    overcommits: u64,
}

#[tokio::test]
async fn burst_at_all_entries_loads_only_configured_replicas() {
    let fleet = start_fleet().await;

    let outcomes = send(&fleet, &burst("summary", 60)).await;

    assert_eq!(count_complete(&outcomes), 60, "{outcomes:?}");
    let expected = EngineTotals { loads: 1, overcommits: 0 };
    assert_eq!(engine_totals(&fleet, "summary").await, expected);
}

#[tokio::test]
async fn held_slots_permit_cold_starts_in_store_outage() {
    let fleet = start_fleet().await;
    wait_for(&fleet, "summary", |report| report.held == 1).await;
    wait_for(&fleet, "dam-check", |report| report.held == 2).await;
    put_fault(fleet.platform(), serde_json::json!({ "down": true })).await;

    let outcomes = send(&fleet, &burst("summary", 20)).await;

    assert_eq!(count_complete(&outcomes), 20, "{outcomes:?}");
    assert_eq!(engine_totals(&fleet, "summary").await.loads, 1);
}

#[tokio::test]
async fn replaced_side_process_keeps_loaded_models() {
    let mut fleet = start_fleet().await;
    assert_eq!(count_complete(&send(&fleet, &burst("dam-check", 10)).await), 10);
    assert_eq!(count_complete(&send(&fleet, &burst("summary", 10)).await), 10);

    fleet.replace_side(0);
    fleet.replace_side(1);
    let outcomes = send(&fleet, &burst("summary", 20)).await;

    assert_eq!(count_complete(&outcomes), 20, "{outcomes:?}");
    let expected = EngineTotals { loads: 1, overcommits: 0 };
    assert_eq!(engine_totals(&fleet, "summary").await, expected);
}

#[tokio::test]
async fn lower_replica_count_unloads_and_frees_slots() {
    let fleet = start_fleet().await;
    assert_eq!(count_complete(&send(&fleet, &burst("dam-check", 10)).await), 10);
    wait_for(&fleet, "dam-check", |report| report.held == 2 && report.loaded > 0).await;

    let store = PlatformClient::new(ClientSettings::new(fleet.platform()));
    let order = EditOrder {
        texts: ListTexts {
            plans: plans(),
            rights: RIGHTS.replace("replicas = 2\nmemory = 14GiB", "replicas = 0\nmemory = 14GiB"),
        },
        read_at: ListVersion(1),
        operator: "tester".parse().unwrap(),
        note: "no dam checks in winter".to_owned(),
    };
    let outcome = apply_edit(&store, &order).await.unwrap();

    assert!(matches!(outcome, EditOutcome::Accepted(_)));
    let is_free = |report: &TargetReport| report.decided == 0 && report.replicas.is_empty();
    wait_for(&fleet, "dam-check", is_free).await;
    for number in 0..2 {
        let listing = get_json(fleet.engine(number), "/admin/list").await;
        assert!(!listing["models"].to_string().contains("dam-check"), "{listing}");
    }
}
