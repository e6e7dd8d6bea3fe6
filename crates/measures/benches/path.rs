//! Cost of the request path through real processes on loopback: CPU time for a request and for a
//! token at an entry and at a side process, memory, and the latency added to a direct call of the
//! backend server.
//!
//! The programs must have been built in release mode: `cargo build --release`.

mod support;

use std::{net::SocketAddr, time::Duration};

use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use measures::{
    figures::{FigureTarget, MeasuredFigure},
    usage::ProcessUsage,
};
use support::{Fleet, HttpClient, Process, http_client, start_fleet};
use tokio::time::Instant;

/// Requests sent to measure CPU time.
const REQUESTS: u32 = 20_000;
/// Requests or streams in flight at once.
const CONCURRENCY: u32 = 32;
/// Requests sent first and not counted.
const WARM_UP: u32 = 2_000;
/// Requests sent one after the other to measure latency.
const SERIAL_REQUESTS: u32 = 2_000;
/// Streams sent to measure the cost of tokens.
const STREAMS: u32 = 128;
/// Tokens of each stream.
const STREAM_TOKENS: u32 = 500;
/// Requests a second at the peak, over all entries.
const PEAK_RATE: f64 = 29_000.0;
/// Tokens a second at the peak, over all entries.
const PEAK_TOKENS: f64 = 13e6;
/// Entries at the design size.
const ENTRIES: f64 = 2_600.0;
/// Replicas at the design size.
const REPLICAS: f64 = 10_000.0;
/// Largest share of a core that control may take on a node.
const MAX_CORE_SHARE: f64 = 0.015;
/// Most memory that control may take on a node, in bytes.
const MAX_MEMORY_BYTES: f64 = 128e6;

/// Processes that a measurement observes, by role.
struct Roles<'a> {
    entry: &'a Process,
    owner: &'a Process,
    side: &'a Process,
}

/// CPU time of each role for one request or token, in microseconds.
#[derive(Clone, Copy)]
struct RoleCosts {
    entry: f64,
    owner: f64,
    side: f64,
}

impl Roles<'_> {
    fn usage(&self) -> [ProcessUsage; 3] {
        [self.entry.usage(), self.owner.usage(), self.side.usage()]
    }
}

fn costs(before: [ProcessUsage; 3], after: [ProcessUsage; 3], units: u32) -> RoleCosts {
    let cost = |role: usize| {
        let cpu_time = after[role].cpu_time - before[role].cpu_time;
        cpu_time.as_secs_f64() * 1e6 / f64::from(units)
    };
    RoleCosts { entry: cost(0), owner: cost(1), side: cost(2) }
}

/// Whether the entry at `address` owns `target`: only an owner knows the target's replicas and
/// names it in its status.
async fn is_owner(address: SocketAddr, target: &str) -> bool {
    let get = Request::get(format!("http://{address}/status")).body(Full::default());
    let answer =
        http_client().request(get.expect("a valid request")).await.expect("the entry answers");
    let body = answer.into_body().collect().await.expect("the status page is complete").to_bytes();
    String::from_utf8_lossy(&body).contains(target)
}

/// The roles for `target`; the entry is the one that doesn't own it.
async fn roles<'a>(fleet: &'a Fleet, target: &str, side: &'a Process) -> Roles<'a> {
    let [first, second] = &fleet.entries;
    match is_owner(second.address("http"), target).await {
        true => Roles { entry: first, owner: second, side },
        false => Roles { entry: second, owner: first, side },
    }
}

/// Calls the plain service at `address`; panics unless the answer is a success.
async fn call(client: &HttpClient, address: SocketAddr) {
    let request = Request::get(format!("http://{address}/services/vrbovka/levels"))
        .header("authorization", "Bearer bench-key")
        .body(Full::default())
        .expect("a valid request");
    let answer = client.request(request).await.expect("the server answers");
    assert!(answer.status().is_success(), "{}", answer.status());
    answer.into_body().collect().await.expect("the answer is complete");
}

/// Requests one streamed chat completion; panics unless it ends with `[DONE]`.
async fn stream(client: &HttpClient, address: SocketAddr, number: u32) {
    let body = serde_json::json!({
        "model": "summary", "stream": true, "max_tokens": STREAM_TOKENS,
        "messages": [{ "role": "user", "content": format!("stream {number}") }],
    });
    let request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", "Bearer bench-key")
        .body(Full::from(body.to_string()))
        .expect("a valid request");
    let answer = client.request(request).await.expect("the server answers");
    assert!(answer.status().is_success(), "{}", answer.status());
    let body = answer.into_body().collect().await.expect("the answer is complete").to_bytes();
    assert!(String::from_utf8_lossy(&body).contains("[DONE]"));
}

async fn send_calls(address: SocketAddr, count: u32) -> Duration {
    let client = http_client();
    let started = Instant::now();
    let workers = (0..CONCURRENCY).map(|_| {
        let client = client.clone();
        tokio::spawn(async move {
            for _ in 0..count / CONCURRENCY {
                call(&client, address).await;
            }
        })
    });
    for worker in workers.collect::<Vec<_>>() {
        worker.await.expect("all calls succeed");
    }
    started.elapsed()
}

async fn send_streams(address: SocketAddr, count: u32) {
    let client = http_client();
    let workers = (0..CONCURRENCY).map(|worker| {
        let client = client.clone();
        tokio::spawn(async move {
            for number in 0..count / CONCURRENCY {
                stream(&client, address, worker * count + number).await;
            }
        })
    });
    for worker in workers.collect::<Vec<_>>() {
        worker.await.expect("all streams succeed");
    }
}

async fn measure_latencies(address: SocketAddr) -> Histogram<u64> {
    let client = http_client();
    let mut histogram = Histogram::new(3).expect("three significant digits are valid");
    for _ in 0..SERIAL_REQUESTS {
        let started = Instant::now();
        call(&client, address).await;
        histogram.saturating_record(started.elapsed().as_micros() as u64);
    }
    histogram
}

async fn measure_requests(fleet: &Fleet) -> RoleCosts {
    for entry in &fleet.entries {
        send_calls(entry.address("http"), WARM_UP).await;
    }
    let roles = roles(fleet, "service/vrbovka", &fleet.service_side).await;
    let before = roles.usage();
    let took = send_calls(roles.entry.address("http"), REQUESTS).await;
    let costs = costs(before, roles.usage(), REQUESTS);
    println!("{REQUESTS} requests, {CONCURRENCY} in flight, took {took:?}");
    let through = measure_latencies(roles.entry.address("http")).await;
    let direct = measure_latencies(fleet.service.address("http")).await;
    for (name, quantile) in [("path-added-us-p50", 0.5), ("path-added-us-p99", 0.99)] {
        let [through, direct] = [&through, &direct].map(|h| h.value_at_quantile(quantile) as f64);
        print(name, through - direct, FigureTarget::Baseline);
    }
    costs
}

async fn measure_tokens(fleet: &Fleet) -> RoleCosts {
    for entry in &fleet.entries {
        send_streams(entry.address("http"), CONCURRENCY).await;
    }
    let roles = roles(fleet, "model/summary", &fleet.engine_side).await;
    let before = roles.usage();
    send_streams(roles.entry.address("http"), STREAMS).await;
    costs(before, roles.usage(), STREAMS * STREAM_TOKENS)
}

fn print(name: &str, value: f64, target: FigureTarget) {
    MeasuredFigure::new(name, value, target).print();
}

#[tokio::main]
async fn main() {
    let fleet = start_fleet().await;
    let request = measure_requests(&fleet).await;
    let token = measure_tokens(&fleet).await;
    print("path-entry-us-per-request", request.entry, FigureTarget::Baseline);
    print("path-owner-us-per-ask", request.owner, FigureTarget::Baseline);
    print("path-side-us-per-request", request.side, FigureTarget::Baseline);
    print("path-entry-us-per-token", token.entry, FigureTarget::Baseline);
    print("path-side-us-per-token", token.side, FigureTarget::Baseline);
    let at_entry = PEAK_RATE / ENTRIES * (request.entry + request.owner) * 1e-6;
    let at_side = PEAK_RATE / REPLICAS * request.side * 1e-6;
    print("path-entry-core-share", at_entry, FigureTarget::AtMost(MAX_CORE_SHARE));
    print("path-side-core-share", at_side, FigureTarget::AtMost(MAX_CORE_SHARE));
    print(
        "path-entry-token-cores",
        PEAK_TOKENS / ENTRIES * token.entry * 1e-6,
        FigureTarget::Baseline,
    );
    print(
        "path-side-token-cores",
        PEAK_TOKENS / REPLICAS * token.side * 1e-6,
        FigureTarget::Baseline,
    );
    let [entry, side] = [&fleet.entries[0], &fleet.service_side].map(Process::usage);
    let bytes = |usage: ProcessUsage| usage.resident.0 as f64;
    print("path-entry-resident-bytes", bytes(entry), FigureTarget::AtMost(MAX_MEMORY_BYTES));
    print("path-side-resident-bytes", bytes(side), FigureTarget::AtMost(MAX_MEMORY_BYTES));
}
