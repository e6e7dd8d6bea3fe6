//! Processor time and memory of a process, from the kernel's own counters.

use std::{fs, time::Duration};

use base::prelude::ByteSize;

/// Length of one tick of the kernel's processor counters.
const TICK: Duration = Duration::from_millis(10);
/// Position of the user time among the fields after the name.
const USER_FIELD: usize = 11;
/// Position of the system time among the fields after the name.
const SYSTEM_FIELD: usize = 12;

/// Use of one process so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// User and system time.
    pub processor: Duration,
    /// Memory in RAM.
    pub resident: ByteSize,
}

impl ProcessUsage {
    /// Reads the counters of process `id`; `None` if it is gone.
    pub fn of(id: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field)?.parse::<u32>().ok();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib = resident.trim().trim_end_matches("kB").trim().parse::<u64>().ok()?;
        let processor = TICK * (ticks(USER_FIELD)? + ticks(SYSTEM_FIELD)?);
        Some(Self { processor, resident: ByteSize(kib << 10) })
    }
}
