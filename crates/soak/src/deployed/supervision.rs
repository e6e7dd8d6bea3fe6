//! Stops and starts of single VMs of a deployed fleet, as the platform's supervisor does them.

use std::{io, time::Duration};

use base::prelude::Instant;
use nix::sys::signal::Signal;

use super::{DeployedFleet, DeployedVm};

/// Time after the end of a process until it is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// Time from SIGTERM until the platform kills a process.
const GRACE: Duration = Duration::from_secs(8);

/// What the supervisor is about to do with a process.
#[derive(Debug, Default)]
pub(super) struct VmSupervision {
    /// When a process that has ended is started, at the earliest.
    start_at: Option<Instant>,
    /// When a process that was told to stop is killed.
    kill_at: Option<Instant>,
    /// Until when it stands still.
    frozen_until: Option<Instant>,
}

impl DeployedVm {
    /// Kills the process; it starts again after `duration`.
    pub(super) fn kill_for(&mut self, duration: Duration) {
        self.supervision.start_at = self.supervision.start_at.max(Some(Instant::now() + duration));
        self.expect_exit();
        self.signal(Signal::SIGKILL);
    }

    /// Lets the process stand still for `duration`.
    pub(super) fn freeze(&mut self, duration: Duration) {
        let until = Instant::now() + duration;
        self.supervision.frozen_until = self.supervision.frozen_until.max(Some(until));
        if let (Some(quotas), Some(id)) = (&self.quotas, self.id()) {
            quotas.freeze(id, until);
        }
    }

    /// Gives the process `factor` of its processor share for `duration`.
    pub(super) fn slow(&self, factor: f64, duration: Duration) {
        if let (Some(quotas), Some(id)) = (&self.quotas, self.id()) {
            quotas.slow(id, factor, Instant::now() + duration);
        }
    }

    /// Tells the process to stop; it starts again once it has ended.
    pub(super) fn stop(&mut self) {
        if self.is_started() && !self.is_stopping {
            self.expect_exit();
            self.signal(Signal::SIGTERM);
            self.supervision.kill_at = Some(Instant::now() + GRACE);
        }
    }

    /// Whether the process was told to stop and still runs after its grace.
    fn is_overdue(&self, now: Instant) -> bool {
        self.supervision.kill_at.is_some_and(|kill_at| now >= kill_at)
    }

    /// Whether the process stood still at some time since it was told to stop.
    fn was_frozen(&self) -> bool {
        let began = self.supervision.kill_at.map(|kill_at| kill_at - GRACE);
        self.supervision.frozen_until.is_some_and(|until| began.is_none_or(|began| until > began))
    }
}

impl DeployedFleet {
    /// Starts the processes that have ended and are due, and kills those that do not stop. Records ends
    /// that nothing forced, late ends, and memory beyond that of a VM.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started.
    pub(super) fn supervise(&mut self) -> io::Result<()> {
        let now = Instant::now();
        for index in 0..self.vms.len() {
            let vm = &mut self.vms[index];
            if let Some(excess) = vm.take_memory_excess() {
                self.exits.push(excess);
            }
            if vm.is_overdue(now) {
                if !vm.was_frozen() {
                    self.exits.push(format!("{} runs {GRACE:?} after SIGTERM", vm.spec.name));
                }
                vm.supervision.kill_at = None;
                vm.signal(Signal::SIGKILL);
            }
            if let Some(status) = vm.take_exit() {
                if !vm.is_stopping {
                    let lines = vm.last_lines(6);
                    self.exits.push(format!("{} ended with {status}:\n    {lines}", vm.spec.name));
                }
                vm.supervision.kill_at = None;
                vm.supervision.start_at = vm.supervision.start_at.max(Some(now + RESTART_DELAY));
            }
            let is_due = vm.supervision.start_at.is_some_and(|start_at| now >= start_at);
            if is_due && !vm.is_started() {
                vm.supervision.start_at = None;
                self.start(index)?;
            }
        }
        Ok(())
    }
}
