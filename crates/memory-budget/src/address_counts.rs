//! Bounds the open connections of each address.

use std::{collections::HashMap, net::IpAddr};

/// Open connections by address.
#[derive(Debug)]
pub struct AddressCounts {
    limit: Option<u64>,
    open: HashMap<IpAddr, u64>,
}

impl AddressCounts {
    /// Counts of at most `limit` connections for each address; without a limit nothing is counted,
    /// because callers may share the address of a load balancer.
    pub fn new(limit: Option<u64>) -> Self {
        Self { limit, open: HashMap::new() }
    }

    /// Counts a new connection; returns false if its address has too many.
    pub fn open(&mut self, address: IpAddr) -> bool {
        let Some(limit) = self.limit else { return true };
        let open = self.open.entry(address).or_default();
        let is_below = *open < limit;
        *open += u64::from(is_below);
        if *open == 0 {
            self.open.remove(&address);
        }
        is_below
    }

    /// Removes a connection that was counted.
    pub fn close(&mut self, address: IpAddr) {
        let Some(open) = self.open.get_mut(&address) else { return };
        *open -= 1;
        if *open == 0 {
            self.open.remove(&address);
        }
    }
}
