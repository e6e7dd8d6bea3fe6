//! Callers: an open-loop load of requests at each gateway, on keep-alive connections.

use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use base::prelude::*;
use bytes::Bytes;
use connections::{ConnectSettings, Connection};
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use platform_standin::{caller, engine::event_text, service::signature};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use tokio::{sync::mpsc, time};

use crate::fleet::{EVENTS_PER_STREAM, HOST};

/// Longest wait of most callers for a complete answer; sent with each request.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Share of the series of streams whose callers wait longer than a planned stop takes.
const PATIENT_SHARE: f64 = 0.4;
/// Longest wait of a patient caller, in milliseconds.
const PATIENT_TIMEOUT_MS: RangeInclusive<u64> = 8_000..=12_000;
/// Longest wait of any caller.
pub const MAX_CALLER_TIMEOUT: Duration = Duration::from_millis(*PATIENT_TIMEOUT_MS.end());
const PROMPT_TOKENS: u64 = 600;
const MAX_OUTPUT_TOKENS: u64 = 60;
/// Number of models that non-resumable streams are sent to.
const SHARED_MODELS: usize = 6;
/// Range of the time between two requests on a held connection, in milliseconds.
const HELD_INTERVAL_MS: RangeInclusive<u64> = 40..=160;
/// Wait before a held connection that has ended is opened anew.
const REOPEN_DELAY: Duration = Duration::from_millis(50);
/// Upper limit of requests per connection.
const REQUESTS_PER_CONNECTION: u32 = 8;

/// Kind of a request, by its route; the variant name is printed in reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Non-idempotent call of the plain service; runs at most once.
    Order,
    /// Idempotent call of the plain service; may run more than once.
    Read,
    /// Stream that is not resumed after a failure; runs at most once.
    Chat,
    /// Stream that may be resumed at another engine.
    Report,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [CallKind; 4] =
        [CallKind::Order, CallKind::Read, CallKind::Chat, CallKind::Report];

    fn path(self) -> &'static str {
        match self {
            CallKind::Order => "/order/a",
            CallKind::Read => "/read/a",
            CallKind::Chat => "/chat/",
            CallKind::Report => "/report/",
        }
    }

    /// The models that requests of this kind are sent to; with many models, each kind has its own.
    fn models(self, all: &[String]) -> &[String] {
        match (self, all.split_at_checked(SHARED_MODELS)) {
            (CallKind::Report, Some((_, rest))) if !rest.is_empty() => rest,
            (_, Some((shared, _))) => shared,
            (_, None) => all,
        }
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Chat | CallKind::Report)
    }
}

/// Outcome of a request at its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer was received.
    Complete {
        /// HTTP status of the answer.
        status: u16,
        /// Whether the signature and body belong to one run of this request.
        is_correct: bool,
    },
    /// The connection broke within the body of the answer.
    Truncated {
        /// Whether the bytes received are a prefix of the correct answer.
        is_correct: bool,
    },
    /// The connection failed before an answer.
    NoAnswer {
        /// Whether the gateway may have read the request.
        may_have_run: bool,
    },
    /// The caller stopped waiting: at its timeout, or earlier on purpose.
    Abandoned,
}

/// A request with its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallReport {
    /// Call ID chosen by the caller.
    pub call: String,
    /// Kind of the request.
    pub kind: CallKind,
    /// Index of the gateway.
    pub gateway: usize,
    /// Path of the request.
    pub path: String,
    /// Longest wait of its caller, as stated in the request.
    pub timeout: Duration,
    /// When it was sent.
    pub sent: Instant,
    /// When its outcome was known.
    pub ended: Instant,
    /// Outcome at the caller.
    pub outcome: CallOutcome,
}

/// Sends requests to one gateway until `stop` is set, at random intervals with `rate` per second on
/// average. One in twenty callers leaves early. The draws depend on `seed` only.
pub async fn send_requests(
    gateway: usize,
    address: SocketAddr,
    rate: f64,
    models: &[String],
    seed: u64,
    stop: Arc<AtomicBool>,
    reports: mpsc::UnboundedSender<CallReport>,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut patience = PatienceDraw::new(seed);
    let mut number = 0_u64;
    let mean_interval = Duration::from_secs_f64(1.0 / rate.max(0.1));
    let mut next_send = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        next_send += mean_interval.mul_f64(random.random_range(0.2..1.8));
        time::sleep_until(next_send).await;
        number += 1;
        let kind = *CallKind::ALL.choose(&mut random).expect("the list is not empty");
        let model = kind.models(models).choose(&mut random).expect("the list is not empty");
        let adapter = random.random_bool(0.2).then(|| random.random_range(1..=4));
        let target = match adapter {
            Some(adapter) => format!("{model}/a{adapter}"),
            None => model.clone(),
        };
        let leave_after_ms = random.random_bool(0.05).then(|| random.random_range(20..400));
        let request_count = random.random_range(1..=REQUESTS_PER_CONNECTION.min(3));
        let call = format!("g{gateway}-{number}");
        let timeout = patience.next(kind);
        let reports = reports.clone();
        tokio::spawn(async move {
            send_series(
                gateway,
                address,
                &call,
                kind,
                &target,
                timeout,
                leave_after_ms,
                request_count,
                &reports,
            )
            .await;
        });
    }
}

/// Sends plain requests to one gateway until `stop` is set, one after the other on a connection that
/// is kept until the gateway or the process ends it.
pub async fn hold_connection(
    gateway: usize,
    address: SocketAddr,
    seed: u64,
    stop: Arc<AtomicBool>,
    reports: mpsc::UnboundedSender<CallReport>,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(56));
    let mut connection = None;
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let call = format!("h{gateway}-{number}-0");
        let kind = if random.random_bool(0.5) { CallKind::Order } else { CallKind::Read };
        let sent = Instant::now();
        let exchange = exchange(&mut connection, address, &call, kind, "", CALLER_TIMEOUT);
        let outcome =
            time::timeout(CALLER_TIMEOUT, exchange).await.unwrap_or(CallOutcome::Abandoned);
        let is_kept = matches!(outcome, CallOutcome::Complete { .. });
        let (path, timeout, ended) = (kind.path().to_owned(), CALLER_TIMEOUT, Instant::now());
        // The receiver may be closed already at the end of the run.
        let _ =
            reports.send(CallReport { call, kind, gateway, path, timeout, sent, ended, outcome });
        if !is_kept {
            connection = None;
            time::sleep(REOPEN_DELAY).await;
        }
        time::sleep(Duration::from_millis(random.random_range(HELD_INTERVAL_MS))).await;
    }
}

/// Draws the timeouts of callers from a generator of its own, so that the other draws of a seed do
/// not change.
struct PatienceDraw {
    random: ChaCha8Rng,
}

impl PatienceDraw {
    fn new(seed: u64) -> Self {
        Self { random: ChaCha8Rng::seed_from_u64(seed.rotate_left(24)) }
    }

    fn next(&mut self, kind: CallKind) -> Duration {
        let is_patient = self.random.random_bool(PATIENT_SHARE);
        let timeout_ms = self.random.random_range(PATIENT_TIMEOUT_MS);
        match is_patient && kind.is_stream() {
            true => Duration::from_millis(timeout_ms),
            false => CALLER_TIMEOUT,
        }
    }
}

/// Sends `request_count` requests one after the other on one connection.
#[expect(clippy::too_many_arguments, reason = "one request is described by all of them")]
async fn send_series(
    gateway: usize,
    address: SocketAddr,
    call: &str,
    kind: CallKind,
    target: &str,
    timeout: Duration,
    leave_after_ms: Option<u64>,
    request_count: u32,
    reports: &mpsc::UnboundedSender<CallReport>,
) {
    let mut connection = None;
    for part in 0..request_count {
        let call = format!("{call}-{part}");
        let sent = Instant::now();
        let wait = leave_after_ms.map_or(timeout, Duration::from_millis);
        let exchange = exchange(&mut connection, address, &call, kind, target, timeout);
        let outcome = time::timeout(wait, exchange).await.unwrap_or(CallOutcome::Abandoned);
        let is_closed = !matches!(outcome, CallOutcome::Complete { .. });
        let path = kind.path().to_owned();
        let ended = Instant::now();
        // The receiver may be closed already at the end of the run.
        let _ =
            reports.send(CallReport { call, kind, gateway, path, timeout, sent, ended, outcome });
        if is_closed {
            return;
        }
    }
}

/// How callers connect.
pub fn connect_settings() -> ConnectSettings {
    ConnectSettings {
        connect_timeout: Duration::from_secs(1),
        user_timeout: Duration::from_secs(10),
        read_buffer: ByteSize(64 * 1024),
    }
}

/// Builds the request with call ID `call`, whose caller waits for `timeout`; `target` is the model,
/// with its adapter if any, of a stream.
pub fn request(
    call: &str,
    method: &str,
    path: &str,
    target: Option<&str>,
    timeout: Duration,
) -> Request<Full<Bytes>> {
    let head = caller::request(method, HOST, path, call, timeout);
    let builder = match target {
        Some(target) => caller::with_model(head, target, PROMPT_TOKENS, MAX_OUTPUT_TOKENS),
        None => head,
    };
    builder.body(Full::from("a request of the soak")).expect("method, path and headers are valid")
}

async fn exchange(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    call: &str,
    kind: CallKind,
    target: &str,
    timeout: Duration,
) -> CallOutcome {
    if connection.as_ref().is_none_or(|connection| !connection.is_usable()) {
        match Connection::open(address, &connect_settings()).await {
            Ok(opened) => *connection = Some(opened),
            Err(_) => return CallOutcome::NoAnswer { may_have_run: false },
        }
    }
    let Some(open) = connection.as_mut() else {
        return CallOutcome::NoAnswer { may_have_run: false };
    };
    let method = if kind == CallKind::Read { "GET" } else { "POST" };
    let target = kind.is_stream().then_some(target);
    let sent = open.send(request(call, method, kind.path(), target, timeout)).await;
    let response = match sent {
        Ok(response) => response,
        Err(error) => return CallOutcome::NoAnswer { may_have_run: error.may_have_run() },
    };
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => {
                return CallOutcome::Truncated {
                    is_correct: has_correct_prefix(kind, call, &bytes),
                };
            }
        }
    }
    let status = parts.status.as_u16();
    let is_correct = is_correct(kind, call, status, &parts.headers, &bytes);
    CallOutcome::Complete { status, is_correct }
}

fn complete_stream(call: &str) -> String {
    (1..=EVENTS_PER_STREAM).map(|number| event_text(call, number)).collect()
}

fn has_correct_prefix(kind: CallKind, call: &str, bytes: &[u8]) -> bool {
    !kind.is_stream() || complete_stream(call).as_bytes().starts_with(bytes)
}

/// Whether a complete answer is that of one backend server to this request.
fn is_correct(kind: CallKind, call: &str, status: u16, headers: &HeaderMap, body: &[u8]) -> bool {
    let has_own_id = caller::answer_call_id(headers).is_none_or(|answered| answered == call);
    let Some(signature_text) = caller::answer_signature(headers) else {
        // Only answers created by the gateway itself have no signature; they must be errors.
        return has_own_id && status >= 400;
    };
    if kind.is_stream() {
        return has_own_id && (status != 200 || body == complete_stream(call).as_bytes());
    }
    let instance = signature_text.split('.').next().unwrap_or_default();
    has_own_id && signature_text == signature(instance, body)
}
