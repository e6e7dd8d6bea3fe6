//! The weight store stand-in shares its rate among the transfers in flight.

use std::time::Duration;

use base::prelude::EventRate;
use bytes::Bytes;
use futures::future::join_all;
use http::StatusCode;
use http_body_util::{BodyExt, Empty};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use standin::{
    server::ServerHandle,
    weights::{WeightFault, WeightOptions, WeightServer, serve},
};
use tokio::{net::TcpListener, time::Instant};

async fn start_store() -> ServerHandle<WeightServer> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    serve(listener, WeightOptions { rate: EventRate(20.0), max_full_speed_transfers: 4 }).unwrap()
}

async fn transfer(server: &ServerHandle<WeightServer>, model: &str) -> StatusCode {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{}/weights/{model}", server.address);
    let response = client.get(uri.parse().unwrap()).await.unwrap();
    let status = response.status();
    response.into_body().collect().await.unwrap();
    status
}

async fn concurrent_transfer_time(count: usize) -> Duration {
    let server = start_store().await;
    let began = Instant::now();
    join_all((0..count).map(|_| transfer(&server, "a"))).await;
    assert_eq!(server.state.records().peak_in_flight as usize, count);
    began.elapsed()
}

#[tokio::test]
async fn transfers_beyond_limit_share_rate() {
    let one = concurrent_transfer_time(1).await;
    let four = concurrent_transfer_time(4).await;
    let eight = concurrent_transfer_time(8).await;

    assert!(one >= Duration::from_millis(199), "{one:?}");
    assert!(four < one * 2, "{four:?}");
    assert!(eight >= Duration::from_millis(395), "{eight:?}");
}

#[tokio::test]
async fn store_applies_faults() {
    let server = start_store().await;
    server.state.set_fault(WeightFault { slow_factor: 3.0, ..WeightFault::default() });

    let slow_status = transfer(&server, "base/a@1").await;
    server.state.set_fault(WeightFault { down: true, ..WeightFault::default() });
    let down_status = transfer(&server, "b").await;

    assert_eq!((slow_status, down_status), (StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE));
    let transfers = server.state.records().transfers;
    assert_eq!(transfers.len(), 1);
    assert_eq!(transfers[0].model, "base/a@1");
    assert!(transfers[0].took_ms.unwrap() >= 595);
}

#[tokio::test]
async fn aborted_transfer_frees_share() {
    let server = start_store().await;
    let aborted_transfer =
        tokio::time::timeout(Duration::from_millis(50), transfer(&server, "a")).await;

    let next_status = transfer(&server, "b").await;

    assert!(aborted_transfer.is_err());
    assert_eq!(next_status, StatusCode::OK);
    let records = server.state.records();
    assert_eq!(records.transfers[0].took_ms, None);
    assert!(records.transfers[1].took_ms.is_some());
}
