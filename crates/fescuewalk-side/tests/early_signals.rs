//! Signals that reach `fescuewalk-side` in the first moments of its start.

use std::{
    fs,
    io::{Write, pipe},
    process::{Command, Stdio},
    thread,
    time::Duration,
};

use nix::sys::signal::Signal;

/// Polls before the case gives up.
const POLLS: usize = 200;
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

    let mut child = Command::new(env!("CARGO_BIN_EXE_fescuewalk-side"))
        .args(["agent", "--help"])
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
