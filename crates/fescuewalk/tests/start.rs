//! `fescuewalk gateway` on a VM that is not ready for its start, or does not read its log.
//!
//! The cases check no times; time-outs only end a case in which the process ends or hangs.

mod support;

use std::{
    fs,
    io::{PipeReader, PipeWriter, Write, pipe},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use rstest::rstest;
use support::{WorkDir, fescuewalk};

/// Polls before a case gives up.
const POLLS: usize = 600;
/// Pause between two polls.
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// Time in which a process that ends by itself has ended.
const END_TIME: Duration = Duration::from_secs(1);

/// Time for which a machine may not have the settings of a process yet.
const LONG_WAIT: Duration = Duration::from_secs(7);

/// Addresses of one case, on a loopback host of its own.
struct HostAddresses {
    callers: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    peers: SocketAddr,
    store: SocketAddr,
}

impl HostAddresses {
    fn new(case: u8) -> Self {
        let address = |port| SocketAddr::from((Ipv4Addr::new(127, 44, 1, case), port));
        Self {
            callers: address(8_149),
            ready: address(8_141),
            metrics: address(9_464),
            peers: address(7_380),
            store: address(8_142),
        }
    }

    fn settings(&self) -> String {
        let Self { callers, ready, metrics, peers, store } = self;
        format!(
            "[process]\nvm = entry-1\nzone = zone-a\n[listen]\ncallers = {callers}\n\
             ready = {ready}\nmetrics = {metrics}\npeers = {peers}\n[store]\naddress = {store}\n\
             known-within = 600ms\n[limits]\nrepeat-ratio = 0.2\n\
             repeat-allowance = 54\nrepeat-window = 10s\ngrace = 8s\n"
        )
    }
}

/// What a pipe holds by default, in bytes.
const PIPE_CAPACITY: usize = 65_536;

/// Size limit of files in a case of its own, in bytes.
const FILE_LIMIT: usize = 8 * 1_024;

/// Starts a gateway that appends its log to `log` and may write files of [`FILE_LIMIT`] only.
fn fescuewalk_with_file_limit(settings: &Path, log: &Path) -> Child {
    let blocks = FILE_LIMIT / 512;
    let program = fescuewalk().get_program().to_owned();
    Command::new("sh")
        .arg("-c")
        .arg(format!("ulimit -f {blocks}; exec \"$0\" gateway \"$1\" >> \"$2\" 2>&1"))
        .args([program.as_os_str(), settings.as_os_str(), log.as_os_str()])
        .spawn()
        .expect("the shell starts")
}

/// Stack of new threads in bytes, more than an address space holds, so that none starts.
const IMPOSSIBLE_STACK: u64 = 1 << 60;

/// Starts a gateway that can start no threads.
fn fescuewalk_without_threads(settings: &Path) -> Child {
    fescuewalk()
        .arg("gateway")
        .arg(settings)
        .env("RUST_MIN_STACK", IMPOSSIBLE_STACK.to_string())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts")
}

/// Starts a gateway that inherits SIGTERM as blocked.
fn fescuewalk_with_blocked_stop(settings: &Path) -> Child {
    let program = fescuewalk().get_program().to_owned();
    Command::new("env")
        .arg("--block-signal=TERM")
        .arg(program)
        .arg("gateway")
        .arg(settings)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("env is there")
}

/// The end of a full pipe to which nothing can be written, and the other end.
fn full_pipe() -> (PipeWriter, PipeReader) {
    let (reader, mut writer) = pipe().expect("descriptors are left");
    writer.write_all(&[b'\n'; PIPE_CAPACITY]).expect("the pipe has this capacity");
    (writer, reader)
}

/// A gateway process; killed when dropped.
struct GatewayProcess {
    child: Child,
}

impl GatewayProcess {
    fn start(settings: &Path) -> Self {
        Self::start_with_output(settings, Stdio::null())
    }

    fn start_with_output(settings: &Path, output: Stdio) -> Self {
        let child = fescuewalk()
            .arg("gateway")
            .arg(settings)
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        Self { child }
    }

    fn is_alive(&mut self) -> bool {
        self.child.try_wait().expect("it is a child").is_none()
    }

    /// Waits until `address` accepts connections; false if the process ends or never listens there.
    fn listens_on(&mut self, address: SocketAddr) -> bool {
        for _ in 0..POLLS {
            if !self.is_alive() {
                return false;
            }
            if TcpStream::connect(address).is_ok() {
                return true;
            }
            thread::sleep(POLL_PAUSE);
        }
        false
    }

    /// Sends a signal, such as `HUP`.
    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        Command::new("kill").args([&format!("-{name}"), &id]).status().expect("kill is there");
    }

    /// Waits until the process ends; false if it never does.
    fn ends(&mut self) -> bool {
        for _ in 0..POLLS {
            if !self.is_alive() {
                return true;
            }
            thread::sleep(POLL_PAUSE);
        }
        false
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // Both fail only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against a process that cannot start because another program has its metrics port.
#[test]
fn taken_metrics_port_does_not_keep_the_process_from_starting() {
    let host = HostAddresses::new(1);
    let dir = WorkDir::new("start");
    let path = dir.write("gateway.ini", &host.settings());
    let _other = TcpListener::bind(host.metrics).expect("the host is free");

    let mut gateway = GatewayProcess::start(&path);

    assert!(gateway.listens_on(host.ready), "it ended or is not ready to be asked");
    assert!(gateway.listens_on(host.callers), "it ended or accepts no callers");
}

/// Guards against a process that ends because its predecessor has not left its port yet.
#[test]
fn port_that_is_freed_after_the_start_is_taken_then() {
    let host = HostAddresses::new(2);
    let dir = WorkDir::new("start");
    let path = dir.write("gateway.ini", &host.settings());
    let earlier = TcpListener::bind(host.callers).expect("the host is free");

    let mut gateway = GatewayProcess::start(&path);
    thread::sleep(END_TIME);
    let outlived_the_conflict = gateway.is_alive();
    drop(earlier);

    assert!(outlived_the_conflict, "it ended while its port was taken");
    assert!(gateway.listens_on(host.callers), "it ended or accepts no callers");
}

/// Guards against a process that ends because it read its settings while they were being written.
#[test]
fn settings_that_are_completed_after_the_start_are_used() {
    let host = HostAddresses::new(3);
    let dir = WorkDir::new("start");
    let text = host.settings();
    let path = dir.write("gateway.ini", &text[..text.len() / 2]);

    let mut gateway = GatewayProcess::start(&path);
    thread::sleep(END_TIME);
    fs::write(&path, &text).expect("the directory is writable");

    assert!(gateway.listens_on(host.callers), "it ended or accepts no callers");
}

/// Guards against a process that uses for good the first digits of a store's port, whose file was still
/// being written.
#[test]
fn last_line_that_is_completed_after_the_start_is_used() {
    let host = HostAddresses::new(9);
    let dir = WorkDir::new("start");
    let text = host.settings();
    let store = TcpListener::bind(host.store).expect("the host is free");
    store.set_nonblocking(true).expect("it is a socket");
    let port_end = text.find(":8142").expect("the store's port") + ":814".len();
    let path = dir.write("gateway.ini", &text[..port_end]);

    let mut gateway = GatewayProcess::start(&path);
    thread::sleep(END_TIME);
    fs::write(&path, &text).expect("the directory is writable");

    assert!(gateway.listens_on(host.callers), "it ended or accepts no callers");
    let is_asked = (0..POLLS).any(|_| {
        thread::sleep(POLL_PAUSE);
        store.accept().is_ok()
    });
    assert!(is_asked, "it does not ask the store");
}

/// Guards against a process that ends because its settings come later than it waits for them.
#[test]
fn settings_that_come_long_after_the_start_are_used() {
    let host = HostAddresses::new(10);
    let dir = WorkDir::new("start");
    let path = dir.write("gateway.ini", "");
    fs::remove_file(&path).expect("it was just written");

    let mut gateway = GatewayProcess::start(&path);
    thread::sleep(LONG_WAIT);
    fs::write(&path, host.settings()).expect("the directory is writable");

    assert!(gateway.listens_on(host.callers), "it ended or accepts no callers");
}

/// Guards against a process that uses the defaults of limits whose lines were still being written.
#[test]
fn settings_without_their_last_section_are_not_used() {
    let host = HostAddresses::new(11);
    let dir = WorkDir::new("start");
    let text = format!("[file]\nlast-section = end\n{}[end]\n", host.settings());
    let cut = text.find("[limits]").expect("the settings have limits");
    let path = dir.write("gateway.ini", &text[..cut]);

    let mut gateway = GatewayProcess::start(&path);
    thread::sleep(END_TIME);
    let has_used_a_part = TcpStream::connect(host.callers).is_ok();
    fs::write(&path, &text).expect("the directory is writable");

    assert!(!has_used_a_part, "it accepts callers before its settings are complete");
    assert!(gateway.listens_on(host.callers), "it ended or accepts no callers");
}

/// Guards against a process that ends because a supervisor or another program sends it a signal that it
/// has no use for.
#[rstest]
fn signal_without_a_use_does_not_end_the_process(
    #[values("USR1", "USR2", "ALRM", "VTALRM", "PROF", "IO", "PWR", "STKFLT", "XCPU")] signal: &str,
) {
    let case = 20 + signal.bytes().fold(0, |sum: u8, byte| sum.wrapping_mul(7) ^ byte) % 200;
    let host = HostAddresses::new(case);
    let dir = WorkDir::new("start");
    let path = dir.write("gateway.ini", &host.settings());
    let mut gateway = GatewayProcess::start(&path);
    assert!(gateway.listens_on(host.callers), "it ended or accepts no callers");

    gateway.signal(signal);
    thread::sleep(END_TIME);

    assert!(gateway.is_alive(), "it ended");
    gateway.signal("TERM");
    assert!(gateway.ends(), "it still runs");
}

/// Guards against requests that are cut off where SIGQUIT is the signal for a planned stop.
#[test]
fn sigquit_stops_the_process_as_sigterm_does() {
    let host = HostAddresses::new(12);
    let dir = WorkDir::new("start");
    let path = dir.write("gateway.ini", &host.settings());
    let mut gateway = GatewayProcess::start(&path);
    assert!(gateway.listens_on(host.callers), "it ended or accepts no callers");

    gateway.signal("QUIT");

    assert!(gateway.ends(), "it still runs");
    let status = gateway.child.wait().expect("it is a child");
    assert!(status.success(), "{status}");
}

/// Guards against a process that a SIGHUP ends while it starts.
#[test]
fn sighup_during_the_start_does_not_end_the_process() {
    let host = HostAddresses::new(4);
    let dir = WorkDir::new("start");
    let text = host.settings();
    let path = dir.write("gateway.ini", "");

    let mut gateway = GatewayProcess::start(&path);
    thread::sleep(END_TIME / 2);
    gateway.signal("HUP");
    thread::sleep(END_TIME / 2);
    fs::write(&path, &text).expect("the directory is writable");

    assert!(gateway.listens_on(host.callers), "it ended or accepts no callers");
}

/// Guards against a process that a planned stop does not end because nobody reads its log.
#[test]
fn process_whose_output_is_not_read_ends_when_it_is_stopped() {
    let host = HostAddresses::new(5);
    let dir = WorkDir::new("start");
    let path = dir.write("gateway.ini", &host.settings());
    let (output, _unread) = full_pipe();
    let mut gateway = GatewayProcess::start_with_output(&path, output.into());
    assert!(gateway.listens_on(host.callers), "it ended or accepts no callers");

    gateway.signal("TERM");

    assert!(gateway.ends(), "it still runs");
}

/// Guards against a process that ends because its log file has reached the size limit of files.
#[test]
fn log_file_at_its_size_limit_does_not_end_the_process() {
    let host = HostAddresses::new(6);
    let dir = WorkDir::new("start");
    let path = dir.write("gateway.ini", &host.settings());
    let log = dir.write("gateway.log", &"\n".repeat(4 * FILE_LIMIT));
    let limited = fescuewalk_with_file_limit(&path, &log);

    let mut gateway = GatewayProcess { child: limited };

    assert!(gateway.listens_on(host.callers), "it ended or accepts no callers");
    thread::sleep(END_TIME);
    assert!(gateway.is_alive(), "it ended as it wrote its log");
}

/// Guards against a process that ends because the VM has no thread left for its log.
#[test]
fn log_without_a_thread_does_not_keep_the_process_from_starting() {
    let host = HostAddresses::new(7);
    let dir = WorkDir::new("start");
    let path = dir.write("gateway.ini", &host.settings());

    let mut gateway = GatewayProcess { child: fescuewalk_without_threads(&path) };

    assert!(gateway.listens_on(host.callers), "it ended or accepts no callers");
    gateway.signal("TERM");
    assert!(gateway.ends(), "it still runs");
}

/// Guards against a planned stop that goes unnoticed until the process is killed, because what started
/// the process had blocked the signal for itself.
#[test]
fn stop_signal_that_was_blocked_at_the_start_stops_the_process() {
    let host = HostAddresses::new(8);
    let dir = WorkDir::new("start");
    let path = dir.write("gateway.ini", &host.settings());
    let mut gateway = GatewayProcess { child: fescuewalk_with_blocked_stop(&path) };
    assert!(gateway.listens_on(host.callers), "it ended or accepts no callers");

    gateway.signal("TERM");

    assert!(gateway.ends(), "it still runs");
}
