//! One attempt of a request at one backend server.

use base::prelude::*;
use bytes::Bytes;
use connections::{Lease, SendError};
use dispatch::{AnswerHead, Assignment, AttemptFailure, CallId, HedgeSide};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use platform::header_format::{self, ForwardHead, ForwardIdentity, RequestPriority};
use tokio::time;

use crate::{
    answer_memory::{self, BufferError},
    authentication::AdmittedCaller,
    backends::Backends,
};

/// Fraction of the idle timeout stated by a backend server after which an idle connection is no
/// longer reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.75;
/// Longest idle time of a connection that carries a request that must not be retried: the backend
/// server may be closing a connection that was idle for longer, which leaves unknown whether the
/// request ran.
const MAX_IDLE_WITHOUT_RETRY: Duration = Duration::from_secs(3);
/// Longest time for which the rest of an answer is read that is not passed on, so that its connection
/// can be used again. It is closed if the rest takes longer.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(200);
/// Most bytes that are read then.
const MAX_DRAINED: ByteSize = ByteSize(64 * 1024);

/// A request as it is forwarded; retries send it to further backend servers.
#[derive(Debug, Clone)]
pub struct ForwardRequest {
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request.
    pub uri: Uri,
    /// Headers of the caller's request.
    pub headers: HeaderMap,
    /// Complete body of the caller's request.
    pub body: Bytes,
    /// Call id that the caller gave; an answer with another one is not passed on.
    pub call: Option<CallId>,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// Whether it may run more than once, so that it is retried if an answer is lost.
    pub may_retry: bool,
    /// Priority at the engine; `None` if the request is not for a model.
    pub priority: Option<RequestPriority>,
    /// Who sent it, checked again before each attempt.
    pub caller: AdmittedCaller,
    /// Connections that the backend server accepts from all entries together.
    pub max_connections: usize,
    /// Id of the last event that the caller has received, when a stream is resumed.
    pub last_event_id: Option<HeaderValue>,
    /// Whether an attempt may have run, so that its tokens are spent.
    pub may_have_run: bool,
}

/// One attempt of a request as the dispatcher knows it.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// Key of the request at the dispatcher.
    pub key: u64,
    /// Which of the two attempts of a hedged request it is; the first if there is no other.
    pub side: HedgeSide,
    /// The backend server that was chosen for it.
    pub assignment: &'a Assignment,
}

/// An attempt without an answer that can be passed on.
#[derive(Debug)]
pub struct FailedAttempt {
    /// Kind of the failure, which decides whether the request is retried.
    pub failure: AttemptFailure,
    /// Reason for the decision log.
    pub reason: String,
    /// Error response of the backend server, passed on if no other attempt succeeds.
    pub answer: Option<BufferedAnswer>,
}

impl FailedAttempt {
    fn new(failure: AttemptFailure, reason: &(impl ToString + ?Sized)) -> Self {
        Self { failure, reason: reason.to_string(), answer: None }
    }
}

/// An answer that was read completely.
#[derive(Debug, Clone)]
pub struct BufferedAnswer {
    /// Status of the backend server's response.
    pub status: StatusCode,
    /// Headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body of the response.
    pub body: Bytes,
}

/// An answer whose body has not been read completely.
#[derive(Debug)]
pub struct StreamingAnswer {
    /// Status of the backend server's response.
    pub status: StatusCode,
    /// Headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// Reader of the body.
    pub body: AnswerBodyReader,
}

/// Reads the body of an answer; holds the lease of its connection.
#[derive(Debug)]
pub struct AnswerBodyReader {
    body: Incoming,
    first_chunk: Option<Bytes>,
    lease: Lease,
    max_idle: Duration,
}

impl AnswerBodyReader {
    /// The next chunk; `None` at the end of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the answer is complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        if let Some(first) = self.first_chunk.take() {
            return Ok(Some(first));
        }
        while let Some(frame) = self.body.frame().await {
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Returns the connection to its pool; to be called after the last chunk.
    pub fn finish(self) {
        self.lease.release(self.max_idle);
    }

    /// Reads the rest of the answer, up to [`MAX_DRAINED`]; whether it has ended.
    async fn has_short_rest(&mut self) -> Result<bool, hyper::Error> {
        let mut drained = 0;
        while let Some(chunk) = self.next().await? {
            drained += chunk.len() as u64;
            if drained > MAX_DRAINED.0 {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Reads the rest of the answer in a task of its own, so that its request can go on meanwhile.
    fn drain(mut self) {
        tokio::spawn(async move {
            match time::timeout(MAX_DRAIN_TIME, self.has_short_rest()).await {
                Ok(Ok(true)) => self.finish(),
                Ok(Ok(false)) | Err(_) => log::debug!(
                    "attempt: the rest of an answer is not read within {MAX_DRAIN_TIME:?} or \
                     {MAX_DRAINED}, closing its connection"
                ),
                Ok(Err(error)) => log::debug!("attempt: the rest of an answer is lost: {error}"),
            }
        });
    }
}

/// Result of an attempt or of reading its answer.
pub type Result<T, E = FailedAttempt> = std::result::Result<T, E>;

fn failed_send(error: &SendError) -> FailedAttempt {
    let failure = match error {
        SendError::NotSent { .. } => AttemptFailure::Unreachable,
        SendError::NoAnswer { .. } => AttemptFailure::Severed,
        SendError::InvalidAnswer { .. } => AttemptFailure::Lost,
    };
    FailedAttempt::new(failure, error)
}

fn build_request(
    request: &ForwardRequest,
    assignment: &Assignment,
    identity: &ForwardIdentity,
) -> Request<Full<Bytes>> {
    let timeout = request.deadline.saturating_duration_since(Instant::now());
    let head = ForwardHead {
        instance: &assignment.server,
        timeout: Some(timeout),
        priority: request.priority,
        identity,
    };
    let mut headers = header_format::forward_headers(&request.headers, &head);
    if let Some(last_event_id) = &request.last_event_id {
        header_format::insert_last_event(&mut headers, last_event_id);
    }
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = headers;
    outgoing
}

/// Sends `request` and reads the head of the answer.
///
/// # Errors
///
/// Fails if there is no answer that can be passed on; the failure says whether the request may have
/// run.
pub async fn send(
    backends: &Backends,
    request: &ForwardRequest,
    attempt: Attempt<'_>,
) -> Result<StreamingAnswer> {
    let assignment = attempt.assignment;
    let pool = backends.pool(assignment.address, request.max_connections);
    let max_idle = if request.may_retry { Duration::MAX } else { MAX_IDLE_WITHOUT_RETRY };
    let mut lease = tokio::select! {
        biased;
        end = backends.wait_for_deadline(request.deadline) => {
            let reason = format!("no connection {end}");
            return Err(FailedAttempt::new(AttemptFailure::Unreachable, &reason));
        }
        lease = pool.lease(max_idle) => lease.map_err(|error| failed_send(&error))?,
    };
    // Nothing may wait between these checks and the first byte.
    let identity = request.caller.check(request.uri.path()).map_err(|revocation| {
        FailedAttempt::new(AttemptFailure::KeyRevoked, revocation.reason())
    })?;
    if !request.may_have_run && request.caller.new_quota(request.uri.path()).is_some() {
        let reason = "not sent, the quota of the workspace has changed";
        return Err(FailedAttempt::new(AttemptFailure::Withdrawn, reason));
    }
    backends
        .with_dispatcher(|dispatcher, now| dispatcher.begin_send(attempt.key, attempt.side, now))
        .map_err(|obstacle| FailedAttempt::new(AttemptFailure::Withdrawn, &obstacle))?;
    let sent = Instant::now();
    let sending = lease.send(build_request(request, assignment, &identity));
    let response = tokio::select! {
        answered = sending => answered.map_err(|error| failed_send(&error))?,
        end = backends.wait_for_deadline(request.deadline) => {
            let reason = format!("no answer {end}");
            return Err(FailedAttempt::new(AttemptFailure::Lost, &reason));
        }
    };
    classify_response(backends, request, attempt, SentRequest { lease, sent }, response).await
}

/// A request that was sent, on the connection that carries its answer.
struct SentRequest {
    lease: Lease,
    sent: Instant,
}

async fn classify_response(
    backends: &Backends,
    request: &ForwardRequest,
    Attempt { key, assignment, .. }: Attempt<'_>,
    SentRequest { lease, sent }: SentRequest,
    response: Response<Incoming>,
) -> Result<StreamingAnswer> {
    let head = header_format::read_answer(response.headers());
    // On a connection that carried requests before, an answer without a call id may be one of
    // theirs, repeated.
    let is_own = match &head.call {
        // A server that reads an absent id as an empty one answers with that.
        Some(call) => request.call.as_ref().map_or("", |sent| sent.0.as_str()) == call.0,
        None => request.call.is_none() || !lease.is_reused(),
    };
    if !is_own {
        let reason = "the answer may belong to another request";
        return Err(FailedAttempt::new(AttemptFailure::Lost, reason));
    }
    if let Some(load) = head.load {
        backends.with_dispatcher(|dispatcher, now| {
            dispatcher.record_answer_load(&assignment.server, load, now)
        });
    }
    if head.is_leaving {
        backends.record_leaving(&assignment.server, assignment.started);
    }
    let status = response.status();
    let is_refusal = status.is_client_error() || status.is_server_error();
    let is_not_run = is_refusal && (head.is_not_run || status == StatusCode::MISDIRECTED_REQUEST);
    if !is_not_run && let Some(defect) = find_defect(&head) {
        return Err(FailedAttempt::new(AttemptFailure::Lost, defect));
    }
    // Only an answer that shows that the request was run shows that the limit is over.
    if head.limit.is_some() || status.is_success() {
        backends.record_limit(&assignment.server, assignment.started, head.limit, sent);
    }
    let pause = head.pause.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    if let Some(pause) = pause.filter(|pause| !pause.is_zero()) {
        backends.record_pause(&assignment.server, assignment.started, pause);
    }
    // What the answer says of its server is known before another request takes the room there.
    backends.with_dispatcher(|dispatcher, now| {
        dispatcher.record_answer_head(key, &assignment.server, now)
    });
    let answer = start_answer(lease, response, &head);
    if is_not_run {
        return Err(rejected_attempt(answer));
    }
    if status.is_server_error()
        || matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT)
    {
        return Err(failed_attempt(backends, answer, request.deadline).await);
    }
    Ok(answer)
}

/// Why the bytes received are not a backend server's answer to a request that ran; `None` if they
/// are. A faulty server may send anything, so only what it has signed counts.
fn find_defect(head: &AnswerHead) -> Option<&'static str> {
    if head.is_not_run {
        Some("a success that says the request did not run")
    } else if !head.is_signed {
        Some("the answer is not signed")
    } else if head.is_encoded {
        Some("the body of the answer is encoded")
    } else {
        None
    }
}

fn start_answer(lease: Lease, response: Response<Incoming>, head: &AnswerHead) -> StreamingAnswer {
    let (parts, body) = response.into_parts();
    let mut headers = parts.headers;
    header_format::remove_hop_headers(&mut headers);
    let server_max_idle =
        head.max_idle.map_or(Duration::MAX, |timeout| timeout.mul_f64(IDLE_TIMEOUT_FRACTION));
    let max_idle = if head.closes_connection { Duration::ZERO } else { server_max_idle };
    let body = AnswerBodyReader { body, first_chunk: None, lease, max_idle };
    StreamingAnswer { status: parts.status, headers, body }
}

/// The failure for an answer that says that the request did not run.
fn rejected_attempt(answer: StreamingAnswer) -> FailedAttempt {
    let status = answer.status;
    answer.body.drain();
    match status {
        StatusCode::MISDIRECTED_REQUEST => {
            FailedAttempt::new(AttemptFailure::Misdirected, "not held there")
        }
        _ => FailedAttempt::new(AttemptFailure::Full, &format!("refused with {}", status.as_u16())),
    }
}

/// The failure for an answer that says that the request ran and failed.
async fn failed_attempt(
    backends: &Backends,
    answer: StreamingAnswer,
    deadline: Instant,
) -> FailedAttempt {
    let status = answer.status;
    let buffered = buffer_answer(backends, answer, deadline).await.ok();
    let reason = format!("failed with {}", status.as_u16());
    FailedAttempt { failure: AttemptFailure::Failed, reason, answer: buffered }
}

/// Waits for the first chunk of a streamed answer. Its head is passed on only after that, so that a
/// stream that fails before its first event can still be retried or refused.
///
/// # Errors
///
/// Fails if the answer ends before the first chunk, if the chunk does not come by `deadline`,
/// or if the process aborts its requests.
pub async fn await_first_chunk(
    backends: &Backends,
    mut answer: StreamingAnswer,
    deadline: Instant,
) -> Result<StreamingAnswer> {
    let first = tokio::select! {
        first = answer.body.next() => first,
        end = backends.wait_for_deadline(deadline) => {
            let reason = format!("no first event {end}");
            return Err(FailedAttempt::new(AttemptFailure::Lost, &reason));
        }
    };
    match first {
        Ok(Some(chunk)) => {
            answer.body.first_chunk = Some(chunk);
            Ok(answer)
        }
        Ok(None) => {
            let reason = "the stream ended before its first event";
            Err(FailedAttempt::new(AttemptFailure::Severed, reason))
        }
        Err(error) => Err(FailedAttempt::new(AttemptFailure::Severed, &error)),
    }
}

/// Reads an answer completely.
///
/// # Errors
///
/// Fails if the connection ends before the answer is complete, if the answer is not complete by
/// `deadline`, if its body needs more memory than there is, or if the process aborts its requests.
pub async fn buffer_answer(
    backends: &Backends,
    answer: StreamingAnswer,
    deadline: Instant,
) -> Result<BufferedAnswer> {
    let StreamingAnswer { status, headers, mut body } = answer;
    let reading = answer_memory::buffer(backends.memory(), &mut body.body);
    let buffered = tokio::select! {
        buffered = reading => buffered,
        end = backends.wait_for_deadline(deadline) => {
            let reason = format!("the answer did not end {end}");
            return Err(FailedAttempt::new(AttemptFailure::Lost, &reason));
        }
    };
    match buffered {
        Ok(bytes) => {
            body.finish();
            Ok(BufferedAnswer { status, headers, body: bytes })
        }
        Err(error @ BufferError::Broken { .. }) => {
            Err(FailedAttempt::new(AttemptFailure::Severed, &error))
        }
        Err(error) => Err(FailedAttempt::new(AttemptFailure::Lost, &error)),
    }
}
