//! Memory of answers that are kept until their callers have read them.

use std::{
    mem,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use base::prelude::*;
use bytes::Bytes;
use memory_budget::{Holding, SharedBudget};

/// Size up to which an answer is kept beyond the limit, because its request has run.
const SMALL_ANSWER: u64 = 96 * 1_024;
/// Part of the memory by which small answers may exceed the limit: a quarter.
const EXCESS_DIVISOR: u64 = 4;
/// Part of the memory that answers leave to bodies, so that new requests are read while answers
/// use up the rest: a fifth.
const RESERVE_DIVISOR: u64 = 5;
/// Memory of a part of an answer besides its bytes: its place in a queue and the allocations.
const PART_OVERHEAD: u64 = 256;
/// First block of a buffered answer. Most answers are smaller.
const FIRST_BLOCK: usize = 16 * 1_024;
/// Further blocks. Blocks of one size leave no holes in the memory, as growing buffers do.
const BLOCK: usize = 64 * 1_024;

/// Memory for answers, which is part of a budget that bodies use too; clones share it.
#[derive(Debug, Clone)]
pub struct AnswerMemory {
    budget: SharedBudget,
    reserve: u64,
    excess: u64,
    max_answer: u64,
}

impl AnswerMemory {
    /// Memory in `budget`, of which `total` is the limit. One answer keeps at most `max_answer`.
    pub fn new(budget: SharedBudget, total: ByteSize, max_answer: ByteSize) -> Self {
        let (reserve, excess) = (total.0 / RESERVE_DIVISOR, total.0 / EXCESS_DIVISOR);
        Self { budget, reserve, excess, max_answer: max_answer.0 }
    }

    /// Least memory in which one answer of `max_answer` fits beside the reserve and its parts that
    /// have just arrived.
    pub fn least_total(max_answer: ByteSize) -> ByteSize {
        let reserve = ByteSize(max_answer.0 / (RESERVE_DIVISOR - 1));
        max_answer.plus(reserve).plus(ByteSize::mib(1))
    }

    /// The charge of a new answer.
    pub fn open(&self) -> Arc<AnswerCharge> {
        let holding = self.budget.hold();
        // It may have run, and is only given up with its connection.
        holding.protect();
        Arc::new(AnswerCharge { memory: self.clone(), holding, held: AtomicU64::new(0) })
    }
}

/// What one answer is charged.
#[derive(Debug)]
pub struct AnswerCharge {
    memory: AnswerMemory,
    holding: Holding,
    held: AtomicU64,
}

impl AnswerCharge {
    fn grow(&self, amount: u64) -> bool {
        let held = self.held.load(Ordering::Relaxed) + amount;
        let is_granted = self.holding.grow_beside(amount, self.memory.reserve).is_ok()
            || held <= SMALL_ANSWER && self.holding.charge(amount, self.memory.excess);
        if is_granted {
            self.held.fetch_add(amount, Ordering::Relaxed);
        }
        is_granted
    }

    fn shrink(&self, amount: u64) {
        self.held.fetch_sub(amount, Ordering::Relaxed);
        self.holding.shrink(amount);
    }

    /// A copy of `data`, charged until it is dropped; `None` if there is no memory for it. The
    /// original is a part of the read buffer of its connection, which it would keep whole.
    pub fn keep(self: &Arc<Self>, data: &[u8]) -> Option<Bytes> {
        let size = data.len() as u64 + PART_OVERHEAD;
        let held = self.held.load(Ordering::Relaxed) + size;
        if held > self.memory.max_answer.max(SMALL_ANSWER) || !self.grow(size) {
            return None;
        }
        let kept = KeptBytes { bytes: data.to_vec(), charge: Arc::clone(self), size };
        Some(Bytes::from_owner(kept))
    }
}

struct KeptBytes {
    bytes: Vec<u8>,
    charge: Arc<AnswerCharge>,
    size: u64,
}

impl AsRef<[u8]> for KeptBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for KeptBytes {
    fn drop(&mut self) {
        self.charge.shrink(self.size);
    }
}

/// An answer that is buffered until it is complete, in blocks that are charged for their capacity.
#[derive(Debug)]
pub struct AnswerBuffer {
    full: Vec<Bytes>,
    block: Vec<u8>,
    length: u64,
    charge: Arc<AnswerCharge>,
}

impl AnswerBuffer {
    /// An empty answer.
    pub fn new(memory: &AnswerMemory) -> Self {
        Self { full: Vec::new(), block: Vec::new(), length: 0, charge: memory.open() }
    }

    /// Appends `data`; returns false if the answer is too large or there is no memory for it.
    #[must_use]
    pub fn push(&mut self, mut data: &[u8]) -> bool {
        self.length += data.len() as u64;
        if self.length > self.charge.memory.max_answer {
            return false;
        }
        while !data.is_empty() {
            if self.block.len() == self.block.capacity() && !self.add_block() {
                return false;
            }
            let room = self.block.capacity() - self.block.len();
            let (now, later) = data.split_at(room.min(data.len()));
            self.block.extend_from_slice(now);
            data = later;
        }
        true
    }

    fn add_block(&mut self) -> bool {
        let capacity = if self.block.is_empty() { FIRST_BLOCK } else { BLOCK };
        self.seal_block();
        let is_granted = self.charge.grow(capacity as u64 + PART_OVERHEAD);
        if is_granted {
            self.block.reserve_exact(capacity);
        }
        is_granted
    }

    fn seal_block(&mut self) {
        let bytes = mem::take(&mut self.block);
        if bytes.is_empty() {
            return;
        }
        let size = bytes.capacity() as u64 + PART_OVERHEAD;
        let charge = Arc::clone(&self.charge);
        self.full.push(Bytes::from_owner(KeptBytes { bytes, charge, size }));
    }

    /// The blocks of the complete answer; each stays charged until its last copy is dropped.
    pub fn into_blocks(mut self) -> Vec<Bytes> {
        self.seal_block();
        mem::take(&mut self.full)
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        self.seal_block();
    }
}
