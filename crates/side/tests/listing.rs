//! Odd entries in the engine's list of models.

use loading::CacheTier;
use rstest::rstest;
use side::{
    backend::{BackendClient, BackendError},
    listing::EngineListing,
    settings::BackendKind,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// A listing with `odd` before a sound model.
fn listing_with(odd: &str) -> String {
    format!(r#"{{"life":7,"models":[{odd},{{"model":"a","state":"loaded","bytes":5}}]}}"#)
}

/// Guards against an engine of whose models none is known because of one that cannot be read, and
/// against models that count as absent because their entries are odd.
#[rstest]
#[case::new_state(r#"{"model":"b","state":"asleep","bytes":9}"#, "b", 9)]
#[case::no_state(r#"{"model":"b","bytes":9}"#, "b", 9)]
#[case::mistyped_size(r#"{"model":"b","state":"loaded","bytes":"9"}"#, "b", 0)]
#[case::negative_size(r#"{"model":"b","state":"loaded","bytes":-9}"#, "b", 0)]
#[case::no_size(r#"{"model":"b","state":"loaded"}"#, "b", 0)]
#[case::foreign_name(r#"{"model":"a/b?c=%41 d","state":"loaded","bytes":9}"#, "a/b?c=%41 d", 9)]
fn odd_model_leaves_the_listing_in_use(#[case] odd: &str, #[case] name: &str, #[case] bytes: u64) {
    let listing = EngineListing::read(listing_with(odd).as_bytes()).unwrap();

    assert_eq!(listing.incarnation, 7);
    let models = listing.models.iter().map(|listed| (listed.model.as_str(), listed.bytes));
    assert_eq!(models.collect::<Vec<_>>(), [(name, bytes), ("a", 5)]);
}

/// Guards against loads that are ordered beside a model which only its entry's name would show.
#[rstest]
#[case(r#"{"state":"loaded","bytes":9}"#)]
#[case(r#"{"model":7,"state":"loaded","bytes":9}"#)]
#[case(r#"{"model":"b","adapter":7,"bytes":9}"#)]
#[case("null")]
fn model_without_a_name_refuses_the_listing(#[case] odd: &str) {
    let listing = EngineListing::read(listing_with(odd).as_bytes());

    assert!(matches!(listing, Err(BackendError::BadAnswer)));
}

#[test]
fn odd_cached_checkpoint_leaves_the_listing_in_use() {
    let body = br#"{"models":[],"cached":{"a":"disk","b":"tape","c":7,"d":"memory"}}"#;

    let listing = EngineListing::read(body).unwrap();

    let cached = [("a".to_owned(), CacheTier::Disk), ("d".to_owned(), CacheTier::Memory)];
    assert_eq!(listing.cached.into_iter().collect::<Vec<_>>(), cached);
}

/// Client of an engine that answers each call with `body`.
async fn client_of(body: &'static str) -> BackendClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1024];
            let _bytes = stream.read(&mut request).await.unwrap();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(body.as_bytes()).await.unwrap();
        }
    });
    BackendClient::new(address)
}

/// Guards against an engine that counts as crashed, with all requests that run on it, because its
/// listing cannot be read.
#[rstest]
#[case(r#"{"models":[null]}"#)]
#[case("[]")]
#[case("busy")]
#[tokio::test]
async fn engine_with_an_unreadable_listing_is_reachable(#[case] body: &'static str) {
    let client = client_of(body).await;

    let probed = client.probe(BackendKind::Engine).await;

    assert!(matches!(probed, Ok(None)), "{probed:?}");
}
