//! Simple reference implementation for comparison: one lock for all changes, and one store write
//! for each.

use base::prelude::*;

/// Replicas of one model. Each change costs one store write, which is only counted.
#[derive(Debug, Default)]
pub struct NaivePlacement {
    wanted: u32,
    holders: Vec<VmId>,
    writes: u64,
}

impl NaivePlacement {
    /// Creates a placement without replicas.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the wanted count and removes the newest replicas above it.
    pub fn resize(&mut self, to: u32) {
        self.writes += 1;
        self.wanted = to;
        self.holders.truncate(to as usize);
    }

    /// Loads the model at `vm`; `false` if the wanted count does not allow it.
    pub fn load(&mut self, vm: &VmId) -> bool {
        if self.holders.contains(vm) {
            return true;
        }
        if self.holders.len() >= self.wanted as usize {
            return false;
        }
        self.writes += 1;
        self.holders.push(vm.clone());
        true
    }

    /// Unloads the model at `vm`.
    pub fn unload(&mut self, vm: &VmId) {
        if self.holders.contains(vm) {
            self.writes += 1;
            self.holders.retain(|holder| holder != vm);
        }
    }

    /// VMs that hold the model, the oldest first.
    pub fn holders(&self) -> &[VmId] {
        &self.holders
    }

    /// Number of store writes that the changes so far cost.
    pub fn writes(&self) -> u64 {
        self.writes
    }
}
