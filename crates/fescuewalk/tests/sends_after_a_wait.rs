//! Requests that wait at `fescuewalk entry` for room at their backend server while what let them pass
//! changes.

mod support;

use std::{net::SocketAddr, time::Duration};

use base::prelude::*;
use http::Request;
use http_body_util::{BodyExt, Full};
use lists::store::{EditOrder, ListTexts, apply_edit};
use object_api::{
    ObjectStore, WriteCondition,
    http::{ClientSettings, PlatformClient},
};
use once::{CrashId, CrashRecord, RequestFingerprint, quarantine::admin::record_key};
use rstest::rstest;
use serde_json::Value;
use support::fleet::{FleetSetup, RIGHTS, client, plans, start_fleet_with};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::{mpsc, watch},
    time,
};

/// Room for one body of a request, but not for two.
const SETTINGS: &str = "[limits]\nserver-bytes = 1MiB\n";
const BODY_BYTES: usize = 700_000;

/// What changes while a request waits.
#[derive(Debug, Clone, Copy)]
enum Change {
    KeyRemoved,
    RequestQuarantined,
}

async fn remove_key(store: &PlatformClient) {
    let hash = |key| KeyHash::of_key(key).to_string();
    let plans = plans().replace(&hash("crew-key"), &hash("other-key"));
    let order = EditOrder {
        texts: ListTexts { plans, rights: RIGHTS.to_owned() },
        read_at: ListVersion(1),
        operator: "tester".parse().unwrap(),
        note: "withdrawn".to_owned(),
    };
    apply_edit(store, &order).await.unwrap();
}

async fn quarantine(store: &PlatformClient, body: &[u8]) {
    let fingerprint = RequestFingerprint::of_request(&"crew".parse().unwrap(), "vrbovka//", body);
    let crash = |number| CrashId { incarnation: ProcessIncarnation(7), number };
    let record = CrashRecord {
        customer: "crew".to_owned(),
        model: "vrbovka".to_owned(),
        crashes: vec![crash(1), crash(2)],
        latest: base::clock::since_epoch(),
    };
    store.put(&record_key(fingerprint), record.encode(), WriteCondition::Absent).await.unwrap();
}

/// A service that reports each request that reaches it and answers once it is released.
async fn held_service() -> (SocketAddr, mpsc::UnboundedReceiver<()>, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (arrived, arrivals) = mpsc::unbounded_channel();
    let (release, released) = watch::channel(false);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (arrived, mut released) = (arrived.clone(), released.clone());
            tokio::spawn(async move {
                let mut received = vec![0; BODY_BYTES];
                stream.read_exact(&mut received).await.unwrap();
                arrived.send(()).unwrap();
                released.wait_for(|is_released| *is_released).await.unwrap();
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
                stream.write_all(answer).await.unwrap();
                // Reads the rest, so that the answer is not lost with a reset.
                while stream.read(&mut received).await.is_ok_and(|length| length > 0) {}
            });
        }
    });
    (address, arrivals, release)
}

/// Sends a request; returns the code of its refusal, or 0 if it was served.
async fn send(entry: SocketAddr, body: Vec<u8>, limit: Duration) -> u64 {
    let request = Request::post(format!("http://{entry}/services/vrbovka/orders"))
        .header("authorization", "Bearer crew-key")
        .header("x-deadline-ms", limit.as_millis().to_string())
        .body(Full::from(body))
        .unwrap();
    let answer = client().request(request).await.unwrap();
    let bytes = answer.into_body().collect().await.unwrap().to_bytes();
    let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    body["error"]["code"].as_u64().unwrap_or_default()
}

/// Guards against a request that reaches a backend server although what permitted it was withdrawn
/// while it waited.
#[rstest]
#[case(Change::KeyRemoved, ResultCode::UnknownCustomer)]
#[case(Change::RequestQuarantined, ResultCode::RequestQuarantined)]
#[tokio::test]
async fn request_is_checked_after_its_wait(#[case] change: Change, #[case] code: ResultCode) {
    let (service, mut arrivals, release) = held_service().await;
    let entry_settings = SETTINGS.to_owned();
    let setup = FleetSetup { service: Some(service), entry_settings, ..FleetSetup::default() };
    let fleet = start_fleet_with(&setup).await;
    let entry = fleet.addresses()[0];
    let long = Duration::from_secs(30);
    let first = tokio::spawn(send(entry, vec![b'a'; BODY_BYTES], long));
    arrivals.recv().await.unwrap();
    let waiting = tokio::spawn(send(entry, vec![b'b'; BODY_BYTES], long));
    time::sleep(Duration::from_millis(100)).await;

    let store = PlatformClient::new(ClientSettings::new(fleet.platform()));
    match change {
        Change::KeyRemoved => remove_key(&store).await,
        Change::RequestQuarantined => quarantine(&store, &[b'b'; BODY_BYTES]).await,
    }
    let refused = u64::from(code.number());
    // The entry knows of the change once it refuses the same request as it arrives.
    while send(entry, vec![b'b'; BODY_BYTES], Duration::from_millis(60)).await != refused {}
    release.send_replace(true);

    assert_eq!((first.await.unwrap(), waiting.await.unwrap()), (0, refused));
    assert!(arrivals.try_recv().is_err(), "it reached the service");
}
