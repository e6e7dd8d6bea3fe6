//! Call ids of callers by which an answer cannot be told from that of another request.

mod support;

use rstest::rstest;
use support::{HOST, TestFleet};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Guards against a request that runs although its answer cannot be passed on.
#[rstest]
#[case::utf8(&[b"caf\xc3\xa9".as_slice()], 400)]
#[case::latin1(&[b"caf\xe9".as_slice()], 400)]
#[case::two(&[b"c-1".as_slice(), b"c-2"], 400)]
#[case::ascii_and_other(&[b"c-1".as_slice(), b"caf\xe9"], 400)]
#[case::repeated(&[b"c-1".as_slice(), b"c-1"], 200)]
#[case::ascii(&[b"c 1~".as_slice()], 200)]
#[case::empty(&[b"".as_slice()], 200)]
#[case::none(&[], 200)]
#[tokio::test]
async fn request_runs_only_if_its_answer_can_be_recognized(
    #[case] ids: &[&[u8]],
    #[case] status: u16,
) {
    let mut fleet = TestFleet::start().await;
    fleet.add_service("i-1").await;
    fleet.add_gateway().await;
    let mut request = format!("POST /order/a HTTP/1.1\r\nhost: {HOST}\r\n").into_bytes();
    for id in ids {
        request.extend([b"attempt-id: ".as_slice(), id, b"\r\n"].concat());
    }
    request.extend(b"connection: close\r\ncontent-length: 1\r\n\r\na");

    let mut stream = TcpStream::connect(fleet.callers(0)).await.expect("it listens");
    stream.write_all(&request).await.expect("it is read");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("it is not reset");

    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    assert_eq!(fleet.services[0].records().len(), usize::from(status == 200), "{answer}");
}
