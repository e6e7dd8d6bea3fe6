//! Outages of the platform's store, as one entry sees them.
//!
//! A failed read says only that this entry did not reach the store. Registrations expire while the
//! store itself is away, so an outage counts as the store's own only if it lasted long enough for
//! that and no entry read the store in the course of it.

use base::prelude::*;

/// Shortest outage in which registrations expire: three check-in intervals of silence, of which one
/// may have passed before.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_secs(2);

/// Time by which what another entry has seen may look too recent: its datagram may wait on a VM that
/// shares its core.
const MAX_SIGHTING_DELAY: Duration = Duration::from_millis(500);

/// A read of the store that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedRead {
    /// When it was sent.
    pub sent: Instant,
    /// Latest time at which the store is known to have answered an entry, as known when the read was
    /// sent; none if no entry has told.
    pub last_seen: Option<Instant>,
}

/// The end of an outage of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReturn {
    /// The store was back at this time at the earliest.
    pub earliest: Instant,
    /// Whether registrations may have expired because the store was away.
    pub may_have_expired: bool,
}

#[derive(Debug, Clone, Copy)]
struct FailedReads {
    first_failed_at: Instant,
    last_sent: Instant,
    is_own_cut: bool,
}

/// Whether this entry reaches the store.
#[derive(Debug, Default)]
pub struct StoreContact {
    last_answer: Option<Instant>,
    failed: Option<FailedReads>,
}

impl StoreContact {
    /// Records a failed read.
    pub fn record_failure(&mut self, read: FailedRead, now: Instant) {
        let FailedRead { sent, last_seen } = read;
        let failed = self.failed.get_or_insert(FailedReads {
            first_failed_at: now,
            last_sent: sent,
            is_own_cut: false,
        });
        failed.last_sent = sent;
        // The store answered another entry between two failed reads of this one.
        let seen_after = failed.first_failed_at + MAX_SIGHTING_DELAY;
        failed.is_own_cut |= last_seen.is_some_and(|seen| seen_after < seen);
    }

    /// Records an answer, and returns the outage that it ends, if reads had failed before.
    pub fn record_answer(&mut self, now: Instant) -> Option<StoreReturn> {
        let last_answer = self.last_answer.replace(now);
        let failed = self.failed.take()?;
        let outage = last_answer.map(|last| now.saturating_duration_since(last));
        let is_long = outage.is_some_and(|outage| outage >= MIN_EXPIRY_OUTAGE);
        Some(StoreReturn {
            earliest: failed.last_sent,
            may_have_expired: is_long && !failed.is_own_cut,
        })
    }
}
