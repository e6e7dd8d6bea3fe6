//! `fescuewalk-side agent` started on a VM that is not ready for it.
//!
//! The cases check no times; time-outs only end a case in which the process ends or hangs.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

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
    peers: SocketAddr,
    metrics: SocketAddr,
    engine: SocketAddr,
    store: SocketAddr,
}

impl HostAddresses {
    fn new(case: u8) -> Self {
        let address = |port| SocketAddr::from((Ipv4Addr::new(127, 44, 2, case), port));
        Self {
            peers: address(7_380),
            metrics: address(9_464),
            engine: address(8_145),
            store: address(8_142),
        }
    }

    fn settings(&self) -> String {
        let Self { peers, metrics, engine, store } = self;
        format!(
            "[process]\nvm = side-1\n[engine]\naddress = {engine}\nservice = reports\n[listen]\n\
             peers = {peers}\nmetrics = {metrics}\n[store]\naddress = {store}\n"
        )
    }
}

fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("start-{name}.ini"));
    fs::write(&path, text).expect("the directory for test files is writable");
    path
}

/// An agent process; killed when dropped.
struct AgentProcess {
    child: Child,
}

impl AgentProcess {
    fn start(settings: &Path) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_fescuewalk-side"))
            .arg("agent")
            .arg(settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        Self { child }
    }

    fn is_alive(&mut self) -> bool {
        self.child.try_wait().expect("it is a child").is_none()
    }

    /// Waits until the process has bound `peers`; false if it ends or never does.
    fn receives_on(&mut self, peers: SocketAddr) -> bool {
        for _ in 0..POLLS {
            if !self.is_alive() {
                return false;
            }
            let bound = UdpSocket::bind(peers);
            if bound.is_err_and(|error| error.kind() == io::ErrorKind::AddrInUse) {
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
}

impl Drop for AgentProcess {
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
    let path = write_settings("metrics", &host.settings());
    let _other = TcpListener::bind(host.metrics).expect("the host is free");

    let mut agent = AgentProcess::start(&path);

    assert!(agent.receives_on(host.peers), "it ended or receives no datagrams");
}

/// Guards against a process that ends because its predecessor has not left its port yet.
#[test]
fn port_that_is_freed_after_the_start_is_taken_then() {
    let host = HostAddresses::new(2);
    let path = write_settings("peers", &host.settings());
    let earlier = UdpSocket::bind(host.peers).expect("the host is free");

    let mut agent = AgentProcess::start(&path);
    thread::sleep(END_TIME);
    let outlived_the_conflict = agent.is_alive();
    drop(earlier);

    assert!(outlived_the_conflict, "it ended while its port was taken");
    assert!(agent.receives_on(host.peers), "it ended or receives no datagrams");
}

/// Guards against a process that ends because it read its settings while they were being written,
/// and against a SIGHUP that ends it meanwhile.
#[test]
fn settings_that_are_completed_after_the_start_are_used() {
    let host = HostAddresses::new(3);
    let text = host.settings();
    let path = write_settings("incomplete", &text[..text.len() / 2]);

    let mut agent = AgentProcess::start(&path);
    thread::sleep(END_TIME / 2);
    agent.signal("HUP");
    thread::sleep(END_TIME / 2);
    fs::write(&path, &text).expect("the directory is writable");

    assert!(agent.receives_on(host.peers), "it ended or receives no datagrams");
}

/// Guards against a process that ends because its settings come later than it waits for them.
#[test]
fn settings_that_come_long_after_the_start_are_used() {
    let host = HostAddresses::new(4);
    let path = write_settings("late", "");
    fs::remove_file(&path).expect("it was just written");

    let mut agent = AgentProcess::start(&path);
    thread::sleep(LONG_WAIT);
    fs::write(&path, host.settings()).expect("the directory is writable");

    assert!(agent.receives_on(host.peers), "it ended or receives no datagrams");
}

/// Guards against a VM without its process because its settings have a key or section that is unknown or
/// comes twice.
#[test]
fn keys_without_a_use_do_not_keep_the_process_from_starting() {
    let host = HostAddresses::new(5);
    let text = host.settings().replace("[engine]", "zone = a\n[places]\nhere = b\n[engine]");
    let path = write_settings("unknown", &text);

    let mut agent = AgentProcess::start(&path);

    assert!(agent.receives_on(host.peers), "it ended or receives no datagrams");
}

/// Guards against a process that ends because a supervisor or another program sends it a signal that it
/// has no use for.
#[test]
fn signals_without_a_use_do_not_end_the_process() {
    let host = HostAddresses::new(6);
    let path = write_settings("signals", &host.settings());
    let mut agent = AgentProcess::start(&path);
    assert!(agent.receives_on(host.peers), "it ended or receives no datagrams");

    for signal in ["USR1", "USR2", "ALRM", "VTALRM", "PROF", "IO", "PWR", "STKFLT", "XCPU"] {
        agent.signal(signal);
    }
    thread::sleep(END_TIME);

    assert!(agent.is_alive(), "it ended");
}
