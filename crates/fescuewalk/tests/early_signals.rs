//! Signals that reach `fescuewalk` in the first moments of its start.

mod support;

use std::{
    fs,
    io::{Write, pipe},
    process::{Command, Output, Stdio},
    thread,
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use rstest::rstest;
use support::{fescuewalk, fescuewalk_side};

/// Polls before the case gives up.
const POLLS: usize = 200;
/// Polls, 100 us apart at least, for the first step of a process.
const START_POLLS: usize = 20_000;
/// Polls within which a process that has not begun its work ends.
const STOP_POLLS: usize = 20;
/// Pause between two polls.
const POLL_PAUSE: Duration = Duration::from_millis(50);
/// What a pipe holds by default, in bytes.
const PIPE_CAPACITY: usize = 65_536;

/// Whether the main thread of process `id` holds `signals` back.
fn holds_back(id: u32, signals: &[Signal]) -> bool {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("SigBlk:"));
    let mask = line.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok()).unwrap_or(0);
    signals.iter().all(|signal| mask & (1 << (*signal as i32 - 1)) != 0)
}

/// Guards against a process that a signal ends before it has read its arguments, which takes long while
/// the processor is busy. The help is written as the arguments are read, and its reader never takes it.
#[test]
fn signals_are_held_back_before_the_arguments_are_read() {
    let (_reader, mut output) = pipe().expect("descriptors are left");
    output.write_all(&[b'\n'; PIPE_CAPACITY]).expect("the pipe has this capacity");

    let mut child = fescuewalk()
        .args(["gateway", "--help"])
        .stdout(output)
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    let signals = [Signal::SIGHUP, Signal::SIGUSR1, Signal::SIGUSR2, Signal::SIGPROF];
    let is_held = (0..POLLS).any(|_| {
        thread::sleep(POLL_PAUSE);
        holds_back(child.id(), &signals)
    });
    // Both fail only if the process has ended.
    let _ = child.kill();
    let _ = child.wait();

    assert!(is_held, "a signal ends it while it reads its arguments");
}

/// Starts a process that cannot listen, sends SIGTERM `delay` after the first step of its `main`, and
/// returns how it ended.
fn stop_early(program: &mut Command, delay: Duration) -> Output {
    let child = program.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn();
    let mut child = child.expect("the program starts");
    let is_held = (0..START_POLLS).any(|_| {
        thread::sleep(Duration::from_micros(100));
        holds_back(child.id(), &[Signal::SIGUSR1])
    });
    assert!(is_held, "it ended or holds no signals back");
    thread::sleep(delay);
    let id = i32::try_from(child.id()).expect("an id of a process");
    kill(Pid::from_raw(id), Signal::SIGTERM).expect("it is a child");
    let _has_ended = (0..STOP_POLLS).any(|_| {
        thread::sleep(POLL_PAUSE);
        child.try_wait().expect("it is a child").is_some()
    });
    // Fails only if the process has ended.
    let _ = child.kill();
    child.wait_with_output().expect("it is a child")
}

/// Guards against a process that a stop ends by its signal, or not at all, while it waits for its settings
/// or for an address that its VM does not have yet.
#[rstest]
#[case::gateway_settings(fescuewalk(), "gateway no-such-file.ini", 0)]
#[case::gateway_address(fescuewalk(), "gateway gateway.ini", 2)]
#[case::entry_address(fescuewalk(), "entry entry.ini", 1)]
#[case::agent_settings(fescuewalk_side(), "agent no-such-file.ini", 0)]
#[case::agent_address(fescuewalk_side(), "agent agent.ini", 2)]
#[case::side_address(fescuewalk_side(), "side-vrbovka.ini", 1)]
fn stop_during_the_start_is_a_planned_one(
    #[case] mut program: Command,
    #[case] args: &str,
    #[case] lines: usize,
    #[values(0, 1, 3, 10, 30, 300)] delay_ms: u64,
) {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/slatina");
    program.args(args.split(' ')).current_dir(examples);

    let output = stop_early(&mut program, Duration::from_millis(delay_ms));

    assert!(output.status.success(), "{output:?}");
    let log = String::from_utf8([output.stdout, output.stderr].concat()).expect("it is text");
    assert_eq!(log.lines().filter(|line| line.contains("stopp")).count(), lines, "{log}");
}
