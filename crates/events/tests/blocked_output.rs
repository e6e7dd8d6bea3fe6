//! A process whose output nobody reads.

use std::{
    env,
    process::{self, Child, Command, Stdio},
    thread,
};

use base::prelude::*;
use events::{DecisionEvent, run_with_log};
use flexi_logger::FlexiLoggerError;

/// Set in the child process of the test.
const CHILD: &str = "BLOCKED_CHILD";
/// Lines of a process; they are longer than what a pipe holds.
const LINES: usize = 1_900;
/// Time within which the process ends, on a loaded machine.
const ENDS_WITHIN: Duration = Duration::from_secs(10);

/// A process that writes many lines and ends.
#[test]
fn child_writes_and_ends() {
    if env::var(CHILD).is_err() {
        return;
    }
    let vm = "entry-1".parse().expect("a valid name");
    let outcome = run_with_log(&vm, async |log| -> Result<(), FlexiLoggerError> {
        let detail = "x".repeat(60);
        for _ in 0..LINES {
            log.record(&DecisionEvent::SettingsReloaded { accepted: true, detail: &detail });
        }
        Ok(())
    });
    outcome.expect("the logger starts");
    // The test program would write its own lines next.
    process::exit(0);
}

/// Guards against a stopped process that stays, with its ports, until it is killed, because what reads
/// its output has stalled.
#[test]
fn process_ends_although_nobody_reads_its_output() {
    let program = env::current_exe().expect("the path of this test");
    let arguments = ["--exact", "child_writes_and_ends", "--nocapture"];
    let mut command = Command::new(program);
    command.args(arguments).env(CHILD, "1").stdout(Stdio::piped());

    let mut child = command.spawn().expect("the child runs");
    let ends = Instant::now() + ENDS_WITHIN;
    let has_ended = |child: &mut Child| child.try_wait().expect("it can be waited for").is_some();
    while !has_ended(&mut child) && Instant::now() < ends {
        thread::sleep(Duration::from_millis(20));
    }

    let in_time = has_ended(&mut child);
    let _ = child.kill();
    child.wait().expect("it can be waited for");
    assert!(in_time, "it has not ended in time");
}
