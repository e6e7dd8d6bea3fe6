//! Continuous batching: each step gives one token to every running sequence.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::{
    sync::{Notify, mpsc},
    time,
};

use super::{CancelState, EngineServer, ExecutionEnd, ModelKey};

/// Progress of a sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SequenceEvent {
    /// The token with this index was generated.
    Token(u32),
    /// The sequence ended.
    Ended(ExecutionEnd),
}

/// One request in the batch or waiting for it.
#[derive(Debug)]
pub(super) struct BatchSequence {
    pub(super) request_id: String,
    pub(super) key: ModelKey,
    pub(super) record: usize,
    pub(super) priority: i32,
    pub(super) next: u32,
    pub(super) tokens: u32,
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
        self.state.lock().expect("no holder panics")
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

    /// Takes out the sequences that `matches` accepts.
    fn take(&self, matches: impl Fn(&BatchSequence) -> bool) -> (Vec<BatchSequence>, CancelState) {
        let mut state = self.lock();
        let running = state.running.extract_if(.., |sequence| matches(sequence));
        let mut taken = running.collect::<Vec<_>>();
        let outcome = match taken.is_empty() {
            true => CancelState::Waiting,
            false => CancelState::Running,
        };
        taken.extend(state.waiting.extract_if(.., |sequence| matches(sequence)));
        match taken.is_empty() {
            true => (taken, CancelState::Unknown),
            false => (taken, outcome),
        }
    }

    /// Moves waiting sequences into free places: highest priority first, then the oldest.
    fn admit(&self) -> Vec<usize> {
        let mut state = self.lock();
        let mut admitted = Vec::new();
        while state.running.len() < self.size && !state.waiting.is_empty() {
            let best = best_index(&state.waiting);
            let sequence = state.waiting.remove(best);
            admitted.push(sequence.record);
            state.running.push(sequence);
        }
        admitted
    }

    /// Generates one token for each running sequence and returns those that ended.
    fn step(&self) -> Vec<BatchSequence> {
        let mut state = self.lock();
        for sequence in &mut state.running {
            let _abandoned = sequence.events.send(SequenceEvent::Token(sequence.next));
            sequence.next += 1;
        }
        state.running.extract_if(.., |sequence| sequence.next >= sequence.tokens).collect()
    }
}

fn best_index(waiting: &[BatchSequence]) -> usize {
    let highest = waiting.iter().map(|sequence| sequence.priority).max();
    waiting.iter().position(|sequence| Some(sequence.priority) == highest).unwrap_or(0)
}

impl EngineServer {
    fn end_sequences(&self, sequences: &[BatchSequence], end: ExecutionEnd) {
        for sequence in sequences {
            self.record_end(sequence.record, end);
            let _abandoned = sequence.events.send(SequenceEvent::Ended(end));
        }
    }

    /// Cancels one request.
    pub(super) fn cancel_request(&self, request_id: &str) -> CancelState {
        let (taken, outcome) = self.batch.take(|sequence| sequence.request_id == request_id);
        self.end_sequences(&taken, ExecutionEnd::Cancelled);
        outcome
    }

    /// Ends the requests of a model that is unloaded under them.
    pub(super) fn end_model(&self, key: &ModelKey) {
        let (taken, _) = self.batch.take(|sequence| sequence.key == *key);
        self.end_sequences(&taken, ExecutionEnd::Unloaded);
    }

    /// Ends every request and returns their ids.
    pub(super) fn end_all(&self) -> Vec<String> {
        let (taken, _) = self.batch.take(|_| true);
        self.end_sequences(&taken, ExecutionEnd::Crashed);
        taken.into_iter().map(|sequence| sequence.request_id).collect()
    }

    fn end_abandoned(&self) {
        let (taken, _) = self.batch.take(BatchSequence::is_abandoned);
        self.end_sequences(&taken, ExecutionEnd::Cancelled);
    }
}

/// Runs the batch until the engine is aborted.
pub(super) async fn run_batches(server: EngineServer) {
    loop {
        server.end_abandoned();
        for record in server.batch.admit() {
            server.record_start(record);
        }
        if server.batch.running() == 0 {
            server.batch.arrived.notified().await;
            continue;
        }
        time::sleep(server.slowed(server.options.token_time)).await;
        let ended = server.batch.step();
        server.end_sequences(&ended, ExecutionEnd::Finished);
    }
}
