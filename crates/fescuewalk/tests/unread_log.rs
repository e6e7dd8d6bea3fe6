//! Both programs where nobody reads their log, as under a supervisor that keeps the pipe and reads
//! nothing of it.

mod support;

use std::{
    io::{self, PipeReader, Write},
    process::{Command, Stdio},
    thread,
    time::Duration,
};

use rstest::rstest;
use support::{
    fescuewalk, fescuewalk_side,
    memory::{AgentFixture, GatewayFixture, OrdinaryCall, terminate},
};

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

/// Guards against a process that a stop does not end while it waits for its settings, because nobody reads
/// what it says of them.
#[rstest]
#[case::gateway(fescuewalk(), "gateway")]
#[case::agent(fescuewalk_side(), "agent")]
#[tokio::test]
async fn process_without_settings_ends_although_its_errors_are_not_read(
    #[case] mut program: Command,
    #[case] command: &str,
) {
    let (_reader, output) = full_pipe();
    let child = program.args([command, "no-such-file.ini"]).stderr(output).spawn();
    let mut child = child.expect("the program starts");
    thread::sleep(Duration::from_millis(300));

    let status = terminate(&mut child).await;
    // Both fail only if the process has ended.
    let _ = child.kill();
    let _ = child.wait();

    assert_eq!(status.and_then(|status| status.code()), Some(0));
}
