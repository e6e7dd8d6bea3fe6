//! Account of the request bodies that a process holds at each backend server. A server ends if the
//! requests that it holds exceed its memory.

use std::{collections::HashMap, hash::Hash};

use base::prelude::*;

/// Size up to which a request body is small. Most requests have less than 9 KB.
pub const SMALL_BODY: ByteSize = ByteSize(16 * 1024);

/// Bytes of the bodies sent to each server and unanswered.
#[derive(Debug)]
pub struct ServerBytes<K> {
    limit: ByteSize,
    held: HashMap<K, ByteSize>,
}

impl<K: Eq + Hash> ServerBytes<K> {
    /// An account in which each server may hold `limit`.
    pub fn new(limit: ByteSize) -> Self {
        Self { limit, held: HashMap::new() }
    }

    /// Charges a body that is about to be sent; returns false if the server holds too much. A server
    /// that holds nothing takes a body of any size, and small bodies are always taken, so that
    /// ordinary requests do not wait for large ones.
    pub fn hold(&mut self, server: K, bytes: ByteSize) -> bool {
        if !self.has_room(&server, bytes) {
            return false;
        }
        if bytes > ByteSize(0) {
            let held = self.held.entry(server).or_insert(ByteSize(0));
            *held = held.plus(bytes);
        }
        true
    }

    /// Whether [`Self::hold`] would take a body.
    pub fn has_room(&self, server: &K, bytes: ByteSize) -> bool {
        let held = self.held.get(server).copied().unwrap_or(ByteSize(0));
        bytes <= SMALL_BODY || held == ByteSize(0) || held.plus(bytes) <= self.limit
    }

    /// Returns the charge of a body whose answer has begun, or whose attempt has ended.
    pub fn release(&mut self, server: &K, bytes: ByteSize) {
        let Some(held) = self.held.get_mut(server) else { return };
        *held = held.minus(bytes);
        if *held == ByteSize(0) {
            self.held.remove(server);
        }
    }
}
