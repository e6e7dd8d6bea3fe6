//! Requests handed over by entries: applies events to the run ledger and performs its actions.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use base::prelude::*;
use once::{
    CancelOrder, CrashReport, LedgerLimits, LinkId, RequestFingerprint, RunAction, RunEpoch,
    RunEvent, RunGrant, RunId, RunIsolation, RunLedger, RunOrder,
};
use tokio::time;
use tokio_util::sync::CancellationToken;
use wire::{
    LinkSender, Message,
    run::{AnswerChunk, AnswerEnd, CancelAck, EpochNotice, RunCancel, RunRefusal, RunRequest},
};

use crate::{answer, drain::DrainStage, process::SideState};

/// Time between checks of deadlines and epochs.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of epochs between two epoch announcements to connected entries.
const ANNOUNCE_EPOCHS: u64 = 6;

/// A request that waits for the backend server or runs on it.
#[derive(Debug, Clone)]
pub struct ActiveRun {
    /// Request and number of the attempt.
    pub id: RunId,
    /// Connection to the entry that sent the request.
    pub sender: LinkSender,
    /// Message that handed the request over.
    pub run: Arc<RunRequest>,
    /// Cancels the call to the backend server.
    pub token: CancellationToken,
}

#[derive(Debug)]
struct EntryLink {
    sender: LinkSender,
    /// Epoch at which the connection was accepted; applies to run requests without an epoch, which
    /// the entry sent before it received the first notice.
    accepted_epoch: RunEpoch,
}

#[derive(Debug)]
struct TableState {
    ledger: RunLedger,
    links: HashMap<LinkId, EntryLink>,
    runs: HashMap<RunId, ActiveRun>,
    last_link: LinkId,
    announced_epoch: RunEpoch,
}

/// Work that is done after the table has been unlocked.
#[derive(Debug)]
enum RunStep {
    Start(ActiveRun),
    Withdraw(ActiveRun),
    Send { sender: LinkSender, message: Message, code: Option<ResultCode> },
    Stop,
}

/// All requests handed over to this process, with the connections of the entries.
#[derive(Debug)]
pub struct RequestTable {
    incarnation: ProcessIncarnation,
    state: Mutex<TableState>,
}

impl RequestTable {
    /// Creates an empty table that runs at most `concurrency` requests at once.
    pub fn new(incarnation: ProcessIncarnation, concurrency: u32) -> Self {
        let limits = LedgerLimits { max_runs: concurrency as usize, ..LedgerLimits::default() };
        let state = TableState {
            ledger: RunLedger::new(incarnation, limits, Instant::now()),
            links: HashMap::new(),
            runs: HashMap::new(),
            last_link: LinkId(0),
            announced_epoch: RunEpoch(0),
        };
        Self { incarnation, state: Mutex::new(state) }
    }

    /// Number of requests that wait for the backend server or run on it.
    pub fn in_flight(&self) -> usize {
        self.lock().ledger.active_runs()
    }

    /// Whether no crash of the backend server is known, or it has recovered since.
    pub fn is_engine_up(&self) -> bool {
        self.lock().ledger.is_engine_up()
    }

    /// Whether the attempt is in progress and not cancelled.
    pub fn is_pending(&self, id: RunId) -> bool {
        let state = self.lock();
        state.runs.get(&id).is_some_and(|run| !run.token.is_cancelled())
    }

    /// Registers a connection of an entry and sends it the current epoch.
    pub fn connect(&self, sender: LinkSender) -> LinkId {
        let mut state = self.lock();
        state.last_link.0 += 1;
        let link = state.last_link;
        let accepted_epoch = state.ledger.grant().epoch;
        sender.offer(Message::EpochNotice(EpochNotice { epoch: accepted_epoch.0 }));
        state.links.insert(link, EntryLink { sender, accepted_epoch });
        link
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }

    fn order(&self, link: LinkId, run: RunRequest) -> Option<Vec<RunStep>> {
        let id = run_id(&run.request, run.attempt)?;
        let mut state = self.lock();
        let sender = state.links.get(&link)?.sender.clone();
        let order = RunOrder {
            id,
            grant: state.grant(link, run.incarnation, run.epoch),
            link,
            fingerprint: run.fingerprint.parse().unwrap_or(RequestFingerprint([0; 32])),
            deadline: Instant::now() + Duration::from_millis(run.budget_ms),
            isolation: if run.is_alone { RunIsolation::Alone } else { RunIsolation::Shared },
        };
        let token = CancellationToken::new();
        let active = ActiveRun { id, sender, run: Arc::new(run), token };
        state.runs.entry(id).or_insert(active);
        Some(self.apply(&mut state, RunEvent::Order(order)))
    }

    fn handle(&self, event: RunEvent) -> Vec<RunStep> {
        let mut state = self.lock();
        if let RunEvent::LinkLost(link) = event {
            state.links.remove(&link);
        }
        self.apply(&mut state, event)
    }

    fn apply(&self, state: &mut TableState, event: RunEvent) -> Vec<RunStep> {
        let actions = state.ledger.handle(event, Instant::now());
        let mut crash = 0;
        let mut steps = Vec::new();
        for action in actions {
            if let RunAction::ReportCrash(report) = &action {
                crash = report.crash;
                log_crash(report);
            }
            steps.extend(self.step(state, action, crash));
        }
        let TableState { ledger, runs, .. } = state;
        if runs.len() > ledger.active_runs() {
            runs.retain(|id, _| ledger.is_active(*id));
        }
        steps
    }

    fn step(&self, state: &TableState, action: RunAction, crash: u64) -> Option<RunStep> {
        let (link, message, code) = match action {
            RunAction::HandOver { id } => {
                return state.runs.get(&id).cloned().map(RunStep::Start);
            }
            RunAction::CancelAtEngine { id } => {
                return state.runs.get(&id).cloned().map(RunStep::Withdraw);
            }
            RunAction::DrainEnded => return Some(RunStep::Stop),
            RunAction::ReportCrash(_) => return None,
            RunAction::Refuse { id, link, code } => {
                (link, self.refusal_or_end(id, code, crash), Some(code))
            }
            RunAction::AckCancel { id, link, state } => (link, cancel_ack(id, state), None),
            RunAction::Forward { id, link, offset, body } => {
                (link, self.chunk(id, offset, body), None)
            }
            RunAction::Finish { id, link, length } => {
                (link, self.end(id, length, ResultCode::Success, 0), Some(ResultCode::Success))
            }
        };
        let sender = state.links.get(&link)?.sender.clone();
        Some(RunStep::Send { sender, message, code })
    }

    /// Returns a refusal if the request has not run, and an end of the answer if it may have run.
    fn refusal_or_end(&self, id: RunId, code: ResultCode, crash: u64) -> Message {
        match code.run_state() {
            RunState::NotRun => Message::RunRefusal(RunRefusal {
                request: request_bytes(id),
                attempt: id.attempt,
                code: code.number(),
            }),
            RunState::MayHaveRun => self.end(id, 0, code, crash),
        }
    }

    fn chunk(&self, id: RunId, offset: u64, data: bytes::Bytes) -> Message {
        Message::AnswerChunk(AnswerChunk {
            request: request_bytes(id),
            attempt: id.attempt,
            incarnation: self.incarnation.0,
            offset,
            data,
        })
    }

    fn end(&self, id: RunId, length: u64, code: ResultCode, crash: u64) -> Message {
        Message::AnswerEnd(AnswerEnd {
            request: request_bytes(id),
            attempt: id.attempt,
            incarnation: self.incarnation.0,
            length,
            code: code.number(),
            crash,
        })
    }

    fn announce_epoch(&self) {
        let mut state = self.lock();
        let epoch = state.ledger.grant().epoch;
        if epoch.0 < state.announced_epoch.0 + ANNOUNCE_EPOCHS {
            return;
        }
        state.announced_epoch = epoch;
        for link in state.links.values() {
            link.sender.offer(Message::EpochNotice(EpochNotice { epoch: epoch.0 }));
        }
    }
}

impl TableState {
    fn grant(&self, link: LinkId, incarnation: u64, epoch: u64) -> RunGrant {
        let accepted_epoch =
            self.links.get(&link).map(|link| link.accepted_epoch).unwrap_or_default();
        let epoch = if epoch == 0 { accepted_epoch } else { RunEpoch(epoch) };
        RunGrant { incarnation: ProcessIncarnation(incarnation), epoch }
    }
}

/// Passes an entry's run request to the ledger; ignores a malformed one.
pub async fn run(state: &Arc<SideState>, link: LinkId, run: RunRequest) {
    match state.requests.order(link, run) {
        Some(steps) => perform(state, steps).await,
        None => log::warn!(
            "requests: ignoring a run request with a malformed id or a closed connection"
        ),
    }
}

/// Passes an entry's withdrawal of a request to the ledger; ignores a malformed one.
pub async fn cancel(state: &Arc<SideState>, link: LinkId, cancel: RunCancel) {
    let Some(id) = run_id(&cancel.request, cancel.attempt) else {
        log::warn!("requests: ignoring a withdrawal with a malformed request id");
        return;
    };
    let grant = state.requests.lock().grant(link, cancel.incarnation, cancel.epoch);
    apply_event(state, RunEvent::Cancel(CancelOrder { id, grant, link })).await;
}

/// Applies an event to the run ledger and performs the actions that it returns.
pub async fn apply_event(state: &Arc<SideState>, event: RunEvent) {
    let steps = state.requests.handle(event);
    perform(state, steps).await;
}

async fn perform(state: &Arc<SideState>, steps: Vec<RunStep>) {
    for step in steps {
        match step {
            RunStep::Start(run) => answer::start(Arc::clone(state), run),
            RunStep::Withdraw(run) => run.token.cancel(),
            RunStep::Stop => state.drain.advance(DrainStage::Stopped),
            RunStep::Send { sender, message, code } => {
                if let Some(code) = code {
                    let number = code.number().to_string();
                    state.metrics.requests.with_label_values(&[&number]).inc();
                }
                // A message to a closed connection is dropped.
                let _ = sender.send(message).await;
            }
        }
    }
    state.metrics.in_flight.set(state.requests.in_flight() as i64);
}

/// Checks deadlines and announces epochs until the process ends.
pub async fn tick(state: Arc<SideState>) {
    let mut ticks = time::interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        apply_event(&state, RunEvent::Tick).await;
        state.requests.announce_epoch();
    }
}

fn log_crash(report: &CrashReport) {
    log::error!("requests: the engine crashed with {} requests in flight", report.runs.len());
    for run in &report.runs {
        log::warn!("requests: {} with fingerprint {} was in flight", run.id, run.fingerprint);
    }
}

fn cancel_ack(id: RunId, state: RunState) -> Message {
    Message::CancelAck(CancelAck {
        request: request_bytes(id),
        attempt: id.attempt,
        may_have_run: state == RunState::MayHaveRun,
    })
}

fn run_id(request: &[u8], attempt: u32) -> Option<RunId> {
    let bytes = <[u8; 16]>::try_from(request).ok()?;
    Some(RunId { request: RequestId(u128::from_be_bytes(bytes)), attempt })
}

fn request_bytes(id: RunId) -> Vec<u8> {
    id.request.0.to_be_bytes().to_vec()
}
