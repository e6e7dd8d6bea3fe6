//! Continuous batching: each step generates one token for every running sequence.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::{
    sync::{Notify, mpsc},
    time,
};

use super::{CancelState, EngineServer, ExecutionEnd, ModelKey};

/// Progress of a sequence, sent to the task that writes its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SequenceEvent {
    /// The token with this index was generated.
    Token(u32),
    /// The sequence ended; the last event.
    Ended(ExecutionEnd),
}

/// One request in the batch or waiting for it.
#[derive(Debug)]
pub(super) struct BatchSequence {
    pub(super) request_id: String,
    pub(super) key: ModelKey,
    /// Index into [`super::EngineRecords::executions`].
    pub(super) record_index: usize,
    pub(super) priority: i32,
    /// Index of the next token to generate.
    pub(super) next_token: u32,
    /// Index at which the sequence ends.
    pub(super) token_limit: u32,
    pub(super) events: mpsc::UnboundedSender<SequenceEvent>,
}

impl BatchSequence {
    fn is_abandoned(&self) -> bool {
        self.events.is_closed()
    }
}

#[derive(Debug, Default)]
struct BatchState {
    running: Vec<BatchSequence>,
    waiting: Vec<BatchSequence>,
}

/// Sequences of the engine; clones share them.
#[derive(Debug, Clone)]
pub(super) struct BatchQueue {
    size: usize,
    state: Arc<Mutex<BatchState>>,
    arrived: Arc<Notify>,
}

impl BatchQueue {
    pub(super) fn new(size: usize) -> Self {
        Self { size, state: Arc::default(), arrived: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, BatchState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }

    pub(super) fn push(&self, sequence: BatchSequence) {
        self.lock().waiting.push(sequence);
        self.arrived.notify_one();
    }

    pub(super) fn running(&self) -> usize {
        self.lock().running.len()
    }

    pub(super) fn waiting(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Removes the sequences that `matches` accepts; the state is `Running` if one of them was in
    /// the batch.
    fn remove_matching(
        &self,
        matches: impl Fn(&BatchSequence) -> bool,
    ) -> (Vec<BatchSequence>, CancelState) {
        let mut state = self.lock();
        let running = state.running.extract_if(.., |sequence| matches(sequence));
        let mut removed = running.collect::<Vec<_>>();
        let outcome = match removed.is_empty() {
            true => CancelState::Waiting,
            false => CancelState::Running,
        };
        removed.extend(state.waiting.extract_if(.., |sequence| matches(sequence)));
        match removed.is_empty() {
            true => (removed, CancelState::Unknown),
            false => (removed, outcome),
        }
    }

    /// Moves waiting sequences into free slots of the batch, the highest priority first and then
    /// the oldest, and returns their record indices.
    fn admit(&self) -> Vec<usize> {
        let mut state = self.lock();
        let mut admitted = Vec::new();
        while state.running.len() < self.size && !state.waiting.is_empty() {
            let next = next_admitted_index(&state.waiting);
            let sequence = state.waiting.remove(next);
            admitted.push(sequence.record_index);
            state.running.push(sequence);
        }
        admitted
    }

    /// Generates one token for each running sequence; removes and returns the finished ones.
    fn step(&self) -> Vec<BatchSequence> {
        let mut state = self.lock();
        for sequence in &mut state.running {
            let _closed = sequence.events.send(SequenceEvent::Token(sequence.next_token));
            sequence.next_token += 1;
        }
        state
            .running
            .extract_if(.., |sequence| sequence.next_token >= sequence.token_limit)
            .collect()
    }
}

fn next_admitted_index(waiting: &[BatchSequence]) -> usize {
    let highest = waiting.iter().map(|sequence| sequence.priority).max();
    waiting.iter().position(|sequence| Some(sequence.priority) == highest).unwrap_or(0)
}

impl EngineServer {
    fn end_sequences(&self, sequences: &[BatchSequence], end: ExecutionEnd) {
        for sequence in sequences {
            self.record_end(sequence.record_index, end);
            let _closed = sequence.events.send(SequenceEvent::Ended(end));
        }
    }

    /// Cancels one request and returns the state it was in.
    pub(super) fn cancel_request(&self, request_id: &str) -> CancelState {
        let (removed, outcome) =
            self.batch.remove_matching(|sequence| sequence.request_id == request_id);
        self.end_sequences(&removed, ExecutionEnd::Cancelled);
        outcome
    }

    /// Ends the requests of a model that is being unloaded.
    pub(super) fn end_model(&self, key: &ModelKey) {
        let (removed, _) = self.batch.remove_matching(|sequence| sequence.key == *key);
        self.end_sequences(&removed, ExecutionEnd::Unloaded);
    }

    /// Ends every request because of a crash and returns their ids.
    pub(super) fn end_all(&self) -> Vec<String> {
        let (removed, _) = self.batch.remove_matching(|_| true);
        self.end_sequences(&removed, ExecutionEnd::Crashed);
        removed.into_iter().map(|sequence| sequence.request_id).collect()
    }

    /// Cancels the requests whose caller has disconnected.
    fn cancel_abandoned(&self) {
        let (removed, _) = self.batch.remove_matching(BatchSequence::is_abandoned);
        self.end_sequences(&removed, ExecutionEnd::Cancelled);
    }
}

/// Runs batch steps until the task is aborted.
pub(super) async fn run_batches(server: EngineServer) {
    loop {
        server.cancel_abandoned();
        for record in server.batch.admit() {
            server.record_start(record);
        }
        if server.batch.running() == 0 {
            server.batch.arrived.notified().await;
            continue;
        }
        time::sleep(server.apply_slow_factor(server.options.token_time)).await;
        let ended = server.batch.step();
        server.end_sequences(&ended, ExecutionEnd::Finished);
    }
}
