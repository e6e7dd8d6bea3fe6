//! Credits that an owner granted and that were not returned.
//!
//! An entry that dies, or whose connection to the owner breaks, returns nothing. Its credits
//! lapse: soon after the connection has ended, and at the latest when the time of the request is
//! over. A credit that lapses too early costs a refusal at most, because the side process counts
//! its own requests.

use std::collections::HashMap;

use base::{ids::AttemptId, prelude::*};
use wire::LinkSender;

/// Time for which the credits of an entry outlive its connection.
const LOST_GRACE: Duration = Duration::from_secs(2);

/// How long a credit may be held.
#[derive(Debug, Clone)]
pub struct CreditTerm {
    /// End of the time of the request.
    pub until: Instant,
    /// Connection over which it will be returned; `None` for requests of this process.
    pub asker: Option<LinkSender>,
}

impl CreditTerm {
    fn has_lost_asker(&self) -> bool {
        self.asker.as_ref().is_some_and(LinkSender::is_closed)
    }
}

/// Credits on one replica.
#[derive(Debug, Default)]
pub struct CreditBook {
    terms: HashMap<AttemptId, CreditTerm>,
}

impl CreditBook {
    /// Number of credits held.
    pub fn count(&self) -> usize {
        self.terms.len()
    }

    /// Grants a credit.
    pub fn grant(&mut self, id: AttemptId, term: CreditTerm) {
        self.terms.insert(id, term);
    }

    /// Takes a credit back.
    pub fn take_back(&mut self, id: AttemptId) {
        self.terms.remove(&id);
    }

    /// Forgets all credits.
    pub fn clear(&mut self) {
        self.terms.clear();
    }

    /// Removes the credits that have lapsed and returns their attempts.
    pub fn release_lapsed(&mut self, now: Instant) -> Vec<AttemptId> {
        for term in self.terms.values_mut().filter(|term| term.has_lost_asker()) {
            term.until = term.until.min(now + LOST_GRACE);
            term.asker = None;
        }
        let lapsed = self.terms.extract_if(|_, term| term.until <= now);
        lapsed.map(|(id, _)| id).collect()
    }
}
