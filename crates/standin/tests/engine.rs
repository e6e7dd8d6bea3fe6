//! The engine stand-in serves, loads and fails as configured, and its records are correct.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use base::prelude::ByteSize;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use standin::{
    engine::{
        CacheTier, EngineFault, EngineListing, EngineOptions, EngineRecords, EngineServer,
        ExecutionEnd, LoadReport, ModelState, serve,
    },
    load::{CallKind, CallScript, CallVerdict, ChatCall, LoadOptions, RunSummary, run_script},
    server::ServerHandle,
    weights::{self, WeightOptions},
};
use tokio::{net::TcpListener, time};

const MODEL: &str = "llama-7b";

async fn bind_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

fn options() -> EngineOptions {
    EngineOptions {
        memory: ByteSize(100),
        token_time: Duration::from_millis(1),
        memory_load: Duration::from_millis(5),
        disk_load: Duration::from_millis(50),
        report_lag: Duration::from_millis(150),
        restart_time: Duration::from_millis(100),
        ..EngineOptions::default()
    }
}

async fn start_engine(options: EngineOptions) -> ServerHandle<EngineServer> {
    serve(bind_listener().await, options).unwrap()
}

async fn call(address: SocketAddr, method: Method, path: &str, body: &impl Serialize) -> Answer {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("x-request-id", "r1")
        .body(Full::from(serde_json::to_vec(body).unwrap()))
        .unwrap();
    let response = client.request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, body))
}

type Answer = Option<(StatusCode, Bytes)>;

fn status(answer: &Answer) -> Option<StatusCode> {
    answer.as_ref().map(|(status, _)| *status)
}

async fn send_order(
    address: SocketAddr,
    path: &str,
    model: &str,
    bytes: u64,
    fencing: u64,
) -> Answer {
    let order = json!({ "model": model, "bytes": bytes, "fencing": fencing });
    call(address, Method::POST, path, &order).await
}

async fn load(server: &ServerHandle<EngineServer>, model: &str) {
    let answer = send_order(server.address, "/admin/load", model, 40, 1).await;
    assert_eq!(status(&answer), Some(StatusCode::OK));
}

async fn get_json<T: DeserializeOwned>(server: &ServerHandle<EngineServer>, path: &str) -> T {
    let (_, body) = call(server.address, Method::GET, path, &Value::Null).await.unwrap();
    serde_json::from_slice(&body).unwrap()
}

fn chat_script(count: u32, tokens: u32, is_stream: bool) -> CallScript {
    let chat = ChatCall { model: MODEL.to_owned(), prompt: "draft".to_owned(), tokens, is_stream };
    let mut script = CallScript::default();
    script.push_burst(Duration::ZERO, Duration::ZERO, count, "secret", &chat);
    script
}

async fn verdicts(server: &ServerHandle<EngineServer>, script: &CallScript) -> Vec<CallVerdict> {
    let entries = vec![server.address];
    let options = LoadOptions { entries, timeout: Duration::from_secs(5) };
    let outcomes = run_script(&options, script).await;
    outcomes.into_iter().map(|outcome| outcome.verdict).collect()
}

#[tokio::test]
async fn batched_answers_are_complete() {
    let server = start_engine(options()).await;
    load(&server, MODEL).await;
    let mut script = chat_script(10, 12, false);
    script.calls.extend(chat_script(10, 12, true).calls);

    let entries = vec![server.address];
    let load = LoadOptions { entries, timeout: Duration::from_secs(5) };
    let summary = RunSummary::of(&run_script(&load, &script).await);

    assert_eq!(summary.count(CallVerdict::Complete), 20, "{summary}");
    let records = server.state.records();
    assert_eq!(records.executions.len(), 20);
    assert!(records.executions.iter().all(|e| e.end == Some(ExecutionEnd::Finished)));
}

#[tokio::test]
async fn request_without_loaded_model_is_not_executed() {
    let server = start_engine(options()).await;

    let verdicts = verdicts(&server, &chat_script(1, 4, false)).await;

    assert_eq!(verdicts, vec![CallVerdict::InvalidRefusal]);
    assert!(server.state.records().executions.is_empty());
}

#[tokio::test]
async fn old_fencing_number_is_refused_if_checked() {
    let checking_engine = start_engine(options()).await;
    let ignoring_engine = start_engine(EngineOptions { checks_fencing: false, ..options() }).await;
    send_order(checking_engine.address, "/admin/load", MODEL, 40, 5).await;
    send_order(ignoring_engine.address, "/admin/load", MODEL, 40, 5).await;

    let refused = send_order(checking_engine.address, "/admin/unload", MODEL, 40, 4).await;
    let accepted = send_order(ignoring_engine.address, "/admin/unload", MODEL, 40, 4).await;

    assert_eq!(status(&refused), Some(StatusCode::CONFLICT));
    assert_eq!(status(&accepted), Some(StatusCode::OK));
    assert_eq!(get_json::<EngineListing>(&checking_engine, "/admin/list").await.models.len(), 1);
    assert_eq!(get_json::<EngineListing>(&ignoring_engine, "/admin/list").await.models.len(), 0);
}

#[tokio::test]
async fn overcommit_is_recorded_or_refused() {
    let recording_engine = start_engine(options()).await;
    let refusing_engine =
        start_engine(EngineOptions { refuses_overcommit: true, ..options() }).await;

    for server in [&recording_engine, &refusing_engine] {
        for model in ["a", "b", "c"] {
            send_order(server.address, "/admin/load", model, 40, 1).await;
        }
    }

    let recorded = recording_engine.state.records();
    assert_eq!((recorded.peak_bytes, recorded.overcommits), (120, 1));
    let refused = refusing_engine.state.records();
    assert_eq!((refused.peak_bytes, refused.overcommits), (80, 0));
    assert_eq!(refused.orders.iter().filter(|order| order.accepted).count(), 2);
}

#[tokio::test]
async fn remote_checkpoint_is_fetched_once() {
    let store = weights::serve(bind_listener().await, WeightOptions::default()).unwrap();
    let cached = BTreeMap::from([("near".to_owned(), CacheTier::Disk)]);
    let weights = Some(store.address);
    let server = start_engine(EngineOptions { weights, cached, ..options() }).await;

    load(&server, "near").await;
    load(&server, MODEL).await;
    send_order(server.address, "/admin/unload", MODEL, 40, 1).await;
    load(&server, MODEL).await;

    let transfers = store.state.records().transfers;
    assert_eq!(transfers.len(), 1);
    assert_eq!(transfers[0].model, MODEL);
}

#[tokio::test]
async fn load_continues_after_disconnect() {
    let server = start_engine(options()).await;
    let abandoned_load = send_order(server.address, "/admin/load", MODEL, 40, 1);

    let abandoned_load = time::timeout(Duration::from_millis(10), abandoned_load).await;

    assert!(abandoned_load.is_err());
    let listing = get_json::<EngineListing>(&server, "/admin/list").await;
    assert_eq!(listing.models[0].state, ModelState::Loading);
    load(&server, MODEL).await;
    assert_eq!(server.state.records().orders.len(), 1);
}

#[tokio::test]
async fn aborted_load_frees_memory() {
    let server = start_engine(EngineOptions { loads_survive_disconnect: false, ..options() }).await;
    let abandoned_load = send_order(server.address, "/admin/load", MODEL, 40, 1);

    let abandoned_load = time::timeout(Duration::from_millis(10), abandoned_load).await;
    time::sleep(Duration::from_millis(20)).await;

    assert!(abandoned_load.is_err());
    assert_eq!(get_json::<EngineListing>(&server, "/admin/list").await.used_bytes, 0);
}

#[tokio::test]
async fn crash_marker_crashes_engine() {
    let server = start_engine(options()).await;
    load(&server, MODEL).await;
    let crash_marker = Some("poison".to_owned());
    server.state.set_fault(EngineFault { crash_marker, ..EngineFault::default() });
    let streams = chat_script(3, 1000, true);
    let mut script = streams.clone();
    let crash_call = ChatCall {
        model: MODEL.to_owned(),
        prompt: "poison".to_owned(),
        tokens: 4,
        is_stream: false,
    };
    script.push(Duration::from_millis(100), "secret", CallKind::Chat(crash_call));

    let verdicts = verdicts(&server, &script).await;

    assert_eq!(verdicts[..3], [CallVerdict::Interrupted; 3]);
    assert_eq!(verdicts[3], CallVerdict::NoAnswer);
    let records = server.state.records();
    assert_eq!(records.crashes.len(), 1);
    assert_eq!(records.crashes[0].in_flight.len(), 4);
    time::sleep(Duration::from_millis(150)).await;
    let listing = get_json::<EngineListing>(&server, "/admin/list").await;
    assert_eq!((listing.incarnation, listing.models.len()), (1, 0));
}

// Guards against a stream that ends without an error in a crash, so that it looks complete: the
// task that drops the connection runs on another thread and can come after the end of the stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crash_never_truncates_stream_silently() {
    let options = EngineOptions { restart_time: Duration::from_millis(1), ..options() };
    let server = start_engine(options).await;
    let mut all_verdicts = Vec::new();

    for _ in 0..40 {
        load(&server, MODEL).await;
        let streams = chat_script(8, 1000, true);
        let (verdicts, ()) = futures::join!(verdicts(&server, &streams), async {
            time::sleep(Duration::from_millis(30)).await;
            server.state.crash("r1");
        });
        all_verdicts.extend(verdicts);
        time::sleep(Duration::from_millis(5)).await;
    }

    let truncated_count =
        all_verdicts.iter().filter(|verdict| **verdict == CallVerdict::Truncated).count();
    assert_eq!(truncated_count, 0, "of {} streams", all_verdicts.len());
}

#[tokio::test]
async fn restarting_engine_drops_connections_and_keeps_records() {
    let server = start_engine(options()).await;
    server.state.crash("r1");

    let list_answer = call(server.address, Method::GET, "/admin/list", &Value::Null).await;
    let records = get_json::<EngineRecords>(&server, "/admin/records").await;

    assert_eq!(list_answer, None);
    assert_eq!(records.crashes.len(), 1);
}

#[tokio::test]
async fn injected_answer_faults_are_detected() {
    let server = start_engine(options()).await;
    load(&server, MODEL).await;

    server.state.set_fault(EngineFault { cut_answers: 2, ..EngineFault::default() });
    let truncated_answer = verdicts(&server, &chat_script(1, 8, false)).await;
    let truncated_stream = verdicts(&server, &chat_script(1, 8, true)).await;
    server.state.set_fault(EngineFault { lost_answers: 1, ..EngineFault::default() });
    let dropped_answer = verdicts(&server, &chat_script(1, 8, false)).await;

    assert_eq!(truncated_answer, vec![CallVerdict::Truncated]);
    assert_eq!(truncated_stream, vec![CallVerdict::Truncated]);
    assert_eq!(dropped_answer, vec![CallVerdict::NoAnswer]);
    assert_eq!(server.state.records().executions.len(), 3);
}

#[tokio::test]
async fn cancel_reports_request_state() {
    let server = start_engine(EngineOptions { batch_size: 1, ..options() }).await;
    load(&server, MODEL).await;
    let address = server.address;
    let body = |text: &str| {
        json!({
            "model": MODEL,
            "messages": [{ "role": "user", "content": text }],
            "max_tokens": 1000,
        })
    };
    let long_chat = body("long");
    let running = tokio::spawn(async move {
        call(address, Method::POST, "/v1/chat/completions", &long_chat).await
    });
    time::sleep(Duration::from_millis(50)).await;
    let order = json!({ "request_id": "r1" });

    let cancelled = call(address, Method::POST, "/v1/cancel", &order).await.unwrap();
    let again = call(address, Method::POST, "/v1/cancel", &order).await.unwrap();

    assert_eq!(cancelled.1, Bytes::from("{\"state\":\"running\"}"));
    assert_eq!(again.1, Bytes::from("{\"state\":\"unknown\"}"));
    assert_eq!(status(&running.await.unwrap()), Some(StatusCode::INTERNAL_SERVER_ERROR));
    assert_eq!(server.state.records().executions[0].end, Some(ExecutionEnd::Cancelled));
}

#[tokio::test]
async fn unload_truncates_running_stream() {
    let server = start_engine(options()).await;
    load(&server, MODEL).await;
    let address = server.address;
    let unload = tokio::spawn(async move {
        time::sleep(Duration::from_millis(50)).await;
        send_order(address, "/admin/unload", MODEL, 40, 1).await
    });

    let verdicts = verdicts(&server, &chat_script(1, 1000, true)).await;

    assert_eq!(verdicts, vec![CallVerdict::Truncated]);
    assert_eq!(status(&unload.await.unwrap()), Some(StatusCode::OK));
    assert_eq!(server.state.records().executions[0].end, Some(ExecutionEnd::Unloaded));
}

#[tokio::test]
async fn load_report_lags() {
    let server = start_engine(options()).await;
    load(&server, MODEL).await;

    let early_report = get_json::<LoadReport>(&server, "/admin/load_report").await;
    time::sleep(Duration::from_millis(300)).await;
    let late_report = get_json::<LoadReport>(&server, "/admin/load_report").await;

    assert_eq!(early_report.used_bytes, 0);
    assert_eq!(late_report.used_bytes, 40);
}

#[tokio::test]
async fn adapter_is_served_by_name() {
    let server = start_engine(options()).await;
    load(&server, MODEL).await;
    let order = json!({ "model": MODEL, "adapter": "grants", "bytes": 1, "fencing": 1 });

    let loaded = call(server.address, Method::POST, "/admin/load", &order).await;
    let mut script = chat_script(1, 4, false);
    if let CallKind::Chat(chat) = &mut script.calls[0].kind {
        chat.model = "grants".to_owned();
    }

    assert_eq!(status(&loaded), Some(StatusCode::OK));
    assert_eq!(verdicts(&server, &script).await, vec![CallVerdict::Complete]);
}

#[tokio::test]
async fn holdings_cover_memory_use() {
    let server = start_engine(options()).await;
    load(&server, MODEL).await;
    send_order(server.address, "/admin/unload", MODEL, 40, 1).await;
    server.state.set_fault(EngineFault { failed_loads: 1, ..EngineFault::default() });
    send_order(server.address, "/admin/load", MODEL, 40, 1).await;
    load(&server, MODEL).await;
    server.state.crash("r1");

    let holdings = server.state.records().holdings;

    assert_eq!(holdings.len(), 3);
    assert!(holdings.iter().all(|holding| holding.until_ms >= Some(holding.from_ms)));
}
