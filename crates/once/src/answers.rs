//! Cache of answers for callers that retry a request with its idempotency key.

use std::collections::{HashMap, VecDeque};

use base::prelude::*;
use bytes::Bytes;

use crate::{fingerprint::RequestFingerprint, key::KeyDigest};

/// Bytes counted for each answer in addition to its body.
const ANSWER_OVERHEAD_BYTES: u64 = 96;

#[derive(Debug)]
struct CachedAnswer {
    fingerprint: RequestFingerprint,
    body: Bytes,
}

/// A cache bounded in bytes that evicts the oldest answer first.
#[derive(Debug)]
pub struct AnswerCache {
    limit: ByteSize,
    used: ByteSize,
    answers: HashMap<KeyDigest, CachedAnswer>,
    order: VecDeque<KeyDigest>,
}

impl AnswerCache {
    /// Creates an empty cache that holds at most `limit` bytes, overhead included.
    pub fn new(limit: ByteSize) -> Self {
        let (answers, order) = (HashMap::new(), VecDeque::new());
        Self { limit, used: ByteSize(0), answers, order }
    }

    /// Stores an answer.
    ///
    /// A cached answer is not replaced, and an answer larger than the cache is not stored.
    pub fn insert(&mut self, digest: KeyDigest, fingerprint: RequestFingerprint, body: Bytes) {
        let size = answer_size(&body);
        if size > self.limit || self.answers.contains_key(&digest) {
            return;
        }
        self.used = self.used.plus(size);
        self.answers.insert(digest, CachedAnswer { fingerprint, body });
        self.order.push_back(digest);
        while self.used > self.limit {
            let Some(oldest) = self.order.pop_front() else { break };
            self.evict(oldest);
        }
    }

    /// Returns the answer of a key if it is cached and was given to a request with `fingerprint`.
    pub fn get(&self, digest: KeyDigest, fingerprint: RequestFingerprint) -> Option<Bytes> {
        let answer = self.answers.get(&digest)?;
        (answer.fingerprint == fingerprint).then(|| answer.body.clone())
    }

    fn evict(&mut self, digest: KeyDigest) {
        if let Some(answer) = self.answers.remove(&digest) {
            self.used = self.used.minus(answer_size(&answer.body));
        }
    }
}

fn answer_size(body: &Bytes) -> ByteSize {
    ByteSize(body.len() as u64 + ANSWER_OVERHEAD_BYTES)
}
