//! Panics in tasks: they are in the decision log, and what the task did goes on.

use std::{
    env,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use base::prelude::*;
use events::{run_with_log, spawn_lasting};
use flexi_logger::FlexiLoggerError;
use rstest::rstest;
use serde_json::Value;
use tokio::time;

/// Set in the child process of a test.
const CHILD: &str = "PANICS_CHILD";

/// Counts starts of a task, the first `panics` of which panic.
async fn count_starts(starts: Arc<AtomicUsize>, panics: usize) {
    let earlier = starts.fetch_add(1, Ordering::Relaxed);
    assert!(earlier >= panics, "start {earlier} panics");
}

/// Guards against a process that runs on without what the task did.
#[tokio::test(start_paused = true)]
async fn task_that_panics_is_started_again_until_it_ends() {
    let starts = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&starts);

    let task = spawn_lasting("counter", move || count_starts(Arc::clone(&counted), 2));
    let ended = time::timeout(Duration::from_secs(5), task).await;

    assert!(ended.is_ok_and(|ended| ended.is_ok()), "it ends without a panic");
    time::sleep(Duration::from_secs(60)).await;
    assert_eq!(starts.load(Ordering::Relaxed), 3, "and is not started again after that");
}

/// Prints the log of a process in which a task panics, and, if so told, its main task after that.
#[test]
fn child_panics() {
    let Ok(panicking) = env::var(CHILD) else { return };
    let vm = "entry-1".parse().expect("a valid name");
    let outcome = run_with_log(&vm, async move |_| -> Result<(), FlexiLoggerError> {
        let starts = Arc::new(AtomicUsize::new(0));
        let task = spawn_lasting("counter", move || count_starts(Arc::clone(&starts), 1));
        task.await.expect("it ends without a panic");
        assert!(panicking != "main", "the main task panics");
        Ok(())
    });
    outcome.expect("the logger starts");
}

/// Lines of the log of such a process.
fn child_lines(panicking: &str) -> Vec<Value> {
    let program = env::current_exe().expect("the path of this test");
    let arguments = ["--exact", "child_panics", "--nocapture"];
    let child = Command::new(program).args(arguments).env(CHILD, panicking).output();
    let output = child.expect("the child runs").stdout;
    let text = String::from_utf8_lossy(&output).into_owned();
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

/// Guards against panics that only standard error shows, of which operators keep nothing.
#[rstest]
#[case::task("task", &["start 0 panics"])]
#[case::main_task("main", &["start 0 panics", "the main task panics"])]
fn panics_are_in_the_decision_log(#[case] panicking: &str, #[case] expected: &[&str]) {
    let lines = child_lines(panicking);

    let of = |event: &str| {
        let lines = lines.iter().filter(|line| line["event"] == event);
        lines.filter_map(|line| line["text"].as_str()).collect::<Vec<_>>()
    };
    let panics = of("panic");
    assert_eq!(panics.len(), expected.len(), "{lines:?}");
    for (text, message) in panics.iter().zip(expected) {
        assert!(text.contains("panics.rs") && text.ends_with(message), "{text}");
    }
    let restarts = of("note");
    assert!(restarts.iter().any(|text| text.contains("counter panicked")), "{restarts:?}");
}
