//! Both programs where nobody reads their log, as under a supervisor that keeps the pipe and reads
//! nothing of it.

mod support;

use std::{
    io::{self, PipeReader, Write},
    process::Stdio,
    thread,
};

use support::memory::{AgentFixture, GatewayFixture, OrdinaryCall};

/// A pipe that is full, and its end for reading.
fn full_pipe() -> (PipeReader, Stdio) {
    let (reader, writer) = io::pipe().expect("a pipe");
    let mut filler = writer.try_clone().expect("a descriptor");
    // Ends with an error once the reader is dropped.
    thread::spawn(move || while filler.write_all(&[b'\n'; 4_096]).is_ok() {});
    (reader, Stdio::from(writer))
}

/// Guards against a gateway that does not end after SIGTERM because nobody reads its log.
#[tokio::test]
async fn gateway_ends_although_its_log_is_not_read() {
    let (_reader, output) = full_pipe();
    let mut gateway = GatewayFixture::start_logging_to(output).await;

    let outcome = gateway.call_ordinary().await;
    let status = gateway.terminate().await;

    assert_eq!(outcome, OrdinaryCall::Served);
    assert_eq!(status.and_then(|status| status.code()), Some(0));
}

/// Guards against an agent that does not end after SIGTERM because nobody reads its log.
#[tokio::test]
async fn agent_ends_although_its_log_is_not_read() {
    let (_reader, output) = full_pipe();
    let mut agent = AgentFixture::start_logging_to(output).await;

    let status = agent.terminate().await;

    assert_eq!(status.and_then(|status| status.code()), Some(0));
}
