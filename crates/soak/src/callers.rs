//! Callers: an open loop of requests at each gateway, on connections that they keep.

use std::{
    net::SocketAddr,
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

use crate::world::{EVENTS, HOST, MODELS};

/// How long callers wait.
pub const PATIENCE: Duration = Duration::from_millis(3_000);
/// Tokens of each prompt, and most tokens of its answer.
const PROMPT: u64 = 600;
const OUTPUT: u64 = 60;
/// Requests that a connection carries before its caller opens another one.
const REQUESTS_PER_CONNECTION: u32 = 8;

/// What a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Runs at most once.
    Order,
    /// May run more than once.
    Read,
    /// A stream that may not be repeated.
    Chat,
    /// A stream that may go on elsewhere.
    Report,
}

impl CallKind {
    const ALL: [CallKind; 4] = [CallKind::Order, CallKind::Read, CallKind::Chat, CallKind::Report];

    fn path(self) -> &'static str {
        match self {
            CallKind::Order => "/order/a",
            CallKind::Read => "/read/a",
            CallKind::Chat => "/chat/",
            CallKind::Report => "/report/",
        }
    }

    /// Whether the request is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Chat | CallKind::Report)
    }
}

/// What a caller saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// A whole answer.
    Whole {
        /// Status.
        status: u16,
        /// Whether signature and body are those of one run of this request.
        is_genuine: bool,
    },
    /// An answer that broke off; whether what came of it was right.
    Cut {
        /// Whether the bytes begin the right answer.
        is_genuine: bool,
    },
    /// No answer.
    Nothing {
        /// Whether the request can have been read.
        may_have_run: bool,
    },
    /// The caller gave up.
    GaveUp,
}

/// One request and what came of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallReport {
    /// The caller's name for it.
    pub call: String,
    /// What it may do.
    pub kind: CallKind,
    /// Gateway.
    pub gateway: usize,
    /// Path.
    pub path: String,
    /// When it was sent.
    pub sent: Instant,
    /// When its outcome was known.
    pub ended: Instant,
    /// Outcome.
    pub seen: Seen,
}

/// Sends requests to one gateway until `stop` is set.
pub async fn send_requests(
    gateway: usize,
    address: SocketAddr,
    rate: f64,
    seed: u64,
    stop: Arc<AtomicBool>,
    reports: mpsc::UnboundedSender<CallReport>,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut number = 0_u64;
    let gap = Duration::from_secs_f64(1.0 / rate.max(0.1));
    let mut next = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        next += gap.mul_f64(random.random_range(0.2..1.8));
        time::sleep_until(next).await;
        number += 1;
        let kind = *CallKind::ALL.choose(&mut random).expect("there are some");
        let model = *MODELS.choose(&mut random).expect("there are some");
        let adapter = random.random_bool(0.2).then(|| random.random_range(1..=4));
        let target = match adapter {
            Some(adapter) => format!("{model}/a{adapter}"),
            None => model.to_owned(),
        };
        let leaves = random.random_bool(0.05).then(|| random.random_range(20..400));
        let count = random.random_range(1..=REQUESTS_PER_CONNECTION.min(3));
        let call = format!("g{gateway}-{number}");
        let reports = reports.clone();
        tokio::spawn(async move {
            send_series(gateway, address, &call, kind, &target, leaves, count, &reports).await;
        });
    }
}

/// Sends `count` requests one after the other on one connection.
#[expect(clippy::too_many_arguments, reason = "one request is described by all of them")]
async fn send_series(
    gateway: usize,
    address: SocketAddr,
    call: &str,
    kind: CallKind,
    target: &str,
    leaves: Option<u64>,
    count: u32,
    reports: &mpsc::UnboundedSender<CallReport>,
) {
    let mut connection = None;
    for part in 0..count {
        let call = format!("{call}-{part}");
        let sent = Instant::now();
        let patience = leaves.map_or(PATIENCE, Duration::from_millis);
        let exchange = exchange(&mut connection, address, &call, kind, target);
        let seen = time::timeout(patience, exchange).await.unwrap_or(Seen::GaveUp);
        let is_over = !matches!(seen, Seen::Whole { .. });
        let path = kind.path().to_owned();
        let ended = Instant::now();
        // The run that collects reports may have ended.
        let _ = reports.send(CallReport { call, kind, gateway, path, sent, ended, seen });
        if is_over {
            return;
        }
    }
}

fn settings() -> ConnectSettings {
    ConnectSettings {
        connect_timeout: Duration::from_secs(1),
        user_timeout: Duration::from_secs(10),
        read_buffer: ByteSize(64 * 1024),
    }
}

/// The request `call`.
pub fn request(call: &str, method: &str, path: &str, target: Option<&str>) -> Request<Full<Bytes>> {
    let head = caller::request(method, HOST, path, call, PATIENCE);
    let builder = match target {
        Some(target) => caller::with_model(head, target, PROMPT, OUTPUT),
        None => head,
    };
    builder.body(Full::from("a request of the soak")).expect("all parts are valid")
}

async fn exchange(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    call: &str,
    kind: CallKind,
    target: &str,
) -> Seen {
    if connection.as_ref().is_none_or(|connection| !connection.is_usable()) {
        match Connection::open(address, &settings()).await {
            Ok(opened) => *connection = Some(opened),
            Err(_) => return Seen::Nothing { may_have_run: false },
        }
    }
    let Some(open) = connection.as_mut() else { return Seen::Nothing { may_have_run: false } };
    let method = if kind == CallKind::Read { "GET" } else { "POST" };
    let target = kind.is_stream().then_some(target);
    let sent = open.send(request(call, method, kind.path(), target)).await;
    let response = match sent {
        Ok(response) => response,
        Err(error) => return Seen::Nothing { may_have_run: error.may_have_run() },
    };
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => return Seen::Cut { is_genuine: begins_right(kind, call, &bytes) },
        }
    }
    let status = parts.status.as_u16();
    let is_genuine = is_genuine(kind, call, status, &parts.headers, &bytes);
    Seen::Whole { status, is_genuine }
}

fn whole_stream(call: &str) -> String {
    (1..=EVENTS).map(|number| event_text(call, number)).collect()
}

fn begins_right(kind: CallKind, call: &str, bytes: &[u8]) -> bool {
    !kind.is_stream() || whole_stream(call).as_bytes().starts_with(bytes)
}

/// Whether an answer is the whole answer of one backend server to this request.
fn is_genuine(kind: CallKind, call: &str, status: u16, headers: &HeaderMap, body: &[u8]) -> bool {
    let is_own = caller::answer_call_id(headers).is_none_or(|named| named == call);
    let Some(seal) = caller::answer_signature(headers) else {
        // Without a signature only a failure of the system's own is allowed.
        return is_own && status >= 400;
    };
    if kind.is_stream() {
        return is_own && (status != 200 || body == whole_stream(call).as_bytes());
    }
    let instance = seal.split('.').next().unwrap_or_default();
    is_own && seal == signature(instance, body)
}
