//! What a process holds on its machine: its resident memory, and the bytes that the kernel holds for
//! it and that it has not read.

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Memory of a process in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeldMemory {
    /// Resident memory.
    pub resident: u64,
    /// Bytes received at its port and not read.
    pub unread: u64,
}

impl HeldMemory {
    /// What the process holds now at the port of `address`; nothing if it has ended.
    pub fn read(process: u32, address: SocketAddr) -> Self {
        Self { resident: resident_bytes(process), unread: unread_bytes(address) }
    }

    /// Both together.
    pub fn total(self) -> u64 {
        self.resident + self.unread
    }
}

fn resident_bytes(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}

/// Sum of the receive queues of the accepted connections at the port.
fn unread_bytes(address: SocketAddr) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let port = format!(":{:04X}", address.port());
    let queue = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // The receive queue of a listener is a number of connections.
        let is_listener = fields.get(3) == Some(&"0A");
        if is_listener || !fields.get(1)?.ends_with(&port) {
            return None;
        }
        u64::from_str_radix(fields.get(4)?.split_once(':')?.1, 16).ok()
    };
    table.lines().filter_map(queue).sum()
}

/// Samples what a process holds until it is stopped.
pub struct HeldSampler {
    is_over: Arc<AtomicBool>,
    resident: Arc<AtomicU64>,
    total: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

/// Peaks of all samples, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct HeldPeaks {
    /// Resident memory.
    pub resident: u64,
    /// Resident memory and unread bytes of one sample.
    pub total: u64,
}

impl HeldSampler {
    /// Starts to sample the process that listens at `address`.
    pub fn start(process: u32, address: SocketAddr) -> Self {
        let is_over = Arc::<AtomicBool>::default();
        let (resident, total) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let thread = {
            let (is_over, resident, total) =
                (Arc::clone(&is_over), Arc::clone(&resident), Arc::clone(&total));
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let held = HeldMemory::read(process, address);
                    resident.fetch_max(held.resident, Ordering::Relaxed);
                    total.fetch_max(held.total(), Ordering::Relaxed);
                    thread::sleep(SAMPLE_INTERVAL);
                }
            })
        };
        Self { is_over, resident, total, thread: Some(thread) }
    }

    /// Ends the sampling.
    pub fn stop(mut self) -> HeldPeaks {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the sampling does not panic");
        }
        HeldPeaks {
            resident: self.resident.load(Ordering::Relaxed),
            total: self.total.load(Ordering::Relaxed),
        }
    }
}

impl Drop for HeldSampler {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}
