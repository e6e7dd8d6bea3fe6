//! Gateways, started with the command of the deploy file, and what a small deployment states of them.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{call, ClientRequest},
    store::Store,
};

/// The command of the role in `deploy/system.toml`.
const COMMAND: (&str, &str) = ("target/release/fescuewalk", "gateway");

/// Starts of a process whose ports are taken.
const MAX_STARTS: usize = 5;

/// Settings that differ between the cases.
pub struct Machine {
    pub memory_mb: u64,
    pub descriptors: u64,
}

/// The edge machines of slatina-hub.
pub const SLATINA_EDGE: Machine = Machine { memory_mb: 260, descriptors: 4_100 };

/// A running gateway; it ends when this is dropped.
pub struct Gateway {
    child: Child,
    pub callers: SocketAddr,
    ready: SocketAddr,
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Gateway {
    /// Starts a gateway whose settings and log lie in `folder`, and waits until it is ready. A process
    /// that ends because another one has taken a port meanwhile is started again with other ports.
    pub fn start(folder: &Path, name: &str, store: &Store, machine: &Machine) -> io::Result<Self> {
        for _ in 0..MAX_STARTS {
            let mut gateway = Self::start_once(folder, name, store, machine)?;
            if gateway.wait_until_ready()? {
                return Ok(gateway);
            }
            let log = fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default();
            eprintln!("{name} ended: {}", log.lines().last().unwrap_or_default());
        }
        Err(io::Error::other(format!("{name} ended at each start")))
    }

    fn start_once(folder: &Path, name: &str, store: &Store, machine: &Machine) -> io::Result<Self> {
        let (callers, ready) = (free_address()?, free_address()?);
        let (metrics, peers) = (free_address()?, free_address()?);
        let Machine { memory_mb, descriptors } = machine;
        let text = format!(
            "[process]\nvm = {name}\nzone = zone-a\ncore-share = 0.19\n\n[listen]\n\
             callers = {callers}\nready = {ready}\nmetrics = {metrics}\npeers = {peers}\n\n\
             [store]\naddress = {}\nknown-within = 2000ms, 2000ms\n\n[limits]\n\
             repeat-ratio = 0.2\nrepeat-allowance = 52\nrepeat-window = 10s\ngrace = 8s\n\
             memory = {memory_mb}MiB\ndescriptors = {descriptors}\n\n[quotas]\n\
             quota-overrun = \nquota-allowance = \n\n[hedging]\nshare = 0.05\n",
            store.address
        );
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new(COMMAND.0)
            .arg(COMMAND.1)
            .env("FESCUEWALK_SETTINGS", &settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        Ok(Self { child, callers, ready })
    }

    /// Waits until the process is ready; returns false if it has ended.
    fn wait_until_ready(&mut self) -> io::Result<bool> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let request = ClientRequest {
                address: self.ready,
                method: "GET",
                path: "/api/readyz",
                host: "ready",
                id: "ready",
                deadline_ms: 1_000,
                body: b"",
                patience: Duration::from_secs(1),
            };
            if call(&request).status == Some(200) {
                return Ok(true);
            }
            if self.has_ended() {
                return Ok(false);
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, "a gateway did not become ready"))
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// A line of `/proc/PID/status` in KiB; none if the process has ended.
    pub fn memory_kib(&self, line: &str) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let found = status.lines().find(|known| known.starts_with(line))?;
        found.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
