//! CPU time and memory of a process, read from `/proc`.

use std::{fs, time::Duration};

use base::prelude::ByteSize;

/// Unit of the CPU times in `/proc/[pid]/stat`: Linux reports 100 ticks a second.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Index of `utime` among the fields that follow the command name.
const USER_TIME_FIELD: usize = 11;
/// Index of `stime` among the fields that follow the command name.
const SYSTEM_TIME_FIELD: usize = 12;

/// Resources used by one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// User and system CPU time since the process started, in steps of 10 ms.
    pub cpu_time: Duration,
    /// Resident set size.
    pub resident: ByteSize,
}

impl ProcessUsage {
    /// Reads the counters of process `id`; `None` if it has ended or they can't be parsed.
    pub fn read(id: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field)?.parse::<u32>().ok();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib = resident.trim().trim_end_matches("kB").trim().parse::<u64>().ok()?;
        let cpu_time = CLOCK_TICK * (ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?);
        Some(Self { cpu_time, resident: ByteSize(kib << 10) })
    }
}
