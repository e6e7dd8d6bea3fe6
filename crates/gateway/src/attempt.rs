//! One attempt of a request at one backend server.

use base::prelude::*;
use bytes::Bytes;
use connections::{Lease, SendError};
use dispatch::{AnswerHead, Assignment, AttemptFailure, CallId};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use platform::head_form::{self, ForwardHead, Urgency};

use crate::backends::Backends;

/// Longest answer that is held back until it is whole; only plain answers are.
const MAX_WHOLE_ANSWER: ByteSize = ByteSize::mib(8);
/// Part of the rest that a backend server states for which a connection is used again.
const REST_PART: f64 = 0.75;
/// Rest after which a connection is not trusted with a request that may not be repeated.
const CAREFUL_REST: Duration = Duration::from_secs(3);

/// A request as it is forwarded, to one backend server or several.
#[derive(Debug, Clone)]
pub struct ForwardRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The caller's name for the try.
    pub call: Option<CallId>,
    /// When the answer must be there at the latest.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub may_repeat: bool,
    /// Urgency at an engine.
    pub urgency: Option<Urgency>,
    /// Connections that the backend server takes from all entries.
    pub max_connections: usize,
    /// The last event that the caller has, when a stream goes on.
    pub after_event: Option<HeaderValue>,
}

/// An attempt that brought no answer to pass on.
#[derive(Debug)]
pub struct FailedAttempt {
    /// What it means for the request.
    pub failure: AttemptFailure,
    /// What happened.
    pub reason: String,
    /// The backend server's own failure, to pass on if nobody else answers.
    pub answer: Option<WholeAnswer>,
}

impl FailedAttempt {
    fn new(failure: AttemptFailure, reason: &(impl ToString + ?Sized)) -> Self {
        Self { failure, reason: reason.to_string(), answer: None }
    }
}

/// An answer that was read to its end.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers without those of the connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// An answer whose body is still coming.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers without those of the connection.
    pub headers: HeaderMap,
    /// The rest of it.
    pub body: AnswerRest,
}

/// The body of an answer, with the connection that brings it.
#[derive(Debug)]
pub struct AnswerRest {
    body: Incoming,
    first: Option<Bytes>,
    lease: Lease,
    max_rest: Duration,
}

impl AnswerRest {
    /// The next bytes; none at the end of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer is cut.
    pub async fn next(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        while let Some(frame) = self.body.frame().await {
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Gives the connection back after the last byte.
    pub fn finish(self) {
        self.lease.release(self.max_rest);
    }
}

/// Result of an attempt.
pub type Result<T, E = FailedAttempt> = std::result::Result<T, E>;

fn send_failure(error: &SendError) -> FailedAttempt {
    let failure = match error.may_have_run() {
        true => AttemptFailure::Lost,
        false => AttemptFailure::Unreachable,
    };
    FailedAttempt::new(failure, error)
}

fn build(request: &ForwardRequest, assignment: &Assignment) -> Request<Full<Bytes>> {
    let patience = request.deadline.saturating_duration_since(Instant::now());
    let head = ForwardHead {
        instance: &assignment.server,
        patience: Some(patience),
        urgency: request.urgency,
    };
    let mut headers = head_form::forward(&request.headers, &head);
    if let Some(event) = &request.after_event {
        head_form::resume_after(&mut headers, event);
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
/// Fails if there is no answer that can be passed on; the failure tells whether it may have run.
pub async fn send(
    backends: &Backends,
    request: &ForwardRequest,
    assignment: &Assignment,
) -> Result<OpenAnswer> {
    let pool = backends.pool(assignment.address, request.max_connections);
    let max_rest = if request.may_repeat { Duration::MAX } else { CAREFUL_REST };
    let mut lease = pool.lease(max_rest).await.map_err(|error| send_failure(&error))?;
    let sending = lease.send(build(request, assignment));
    let response = tokio::select! {
        sent = sending => sent.map_err(|error| send_failure(&error))?,
        () = backends.expired(request.deadline) => {
            return Err(FailedAttempt::new(AttemptFailure::Lost, "no answer in time"));
        }
    };
    judge(backends, request, assignment, lease, response).await
}

async fn judge(
    backends: &Backends,
    request: &ForwardRequest,
    assignment: &Assignment,
    lease: Lease,
    response: Response<Incoming>,
) -> Result<OpenAnswer> {
    let head = head_form::read_answer(response.headers());
    if head.call.is_some() && head.call != request.call {
        let reason = "the answer belongs to another request";
        return Err(FailedAttempt::new(AttemptFailure::Lost, reason));
    }
    if let Some(load) = head.load {
        backends.step(|desk, now| desk.hear_load(&assignment.server, load, now));
    }
    let status = response.status();
    let answer = open(lease, response, &head);
    if head.is_not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Err(refused(backends, answer, status).await);
    }
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
        return Err(failed(backends, answer, request.deadline).await);
    }
    Ok(answer)
}

fn open(lease: Lease, response: Response<Incoming>, head: &AnswerHead) -> OpenAnswer {
    let (parts, body) = response.into_parts();
    let mut headers = parts.headers;
    head_form::remove_hop_headers(&mut headers);
    let stated = head.max_rest.map_or(Duration::MAX, |rest| rest.mul_f64(REST_PART));
    let max_rest = if head.is_last { Duration::ZERO } else { stated };
    let body = AnswerRest { body, first: None, lease, max_rest };
    OpenAnswer { status: parts.status, headers, body }
}

/// The backend server did not run the request.
async fn refused(backends: &Backends, answer: OpenAnswer, status: StatusCode) -> FailedAttempt {
    // Reading the rest keeps the connection; it is short.
    let deadline = Instant::now() + CAREFUL_REST;
    let _ = read_whole(backends, answer, deadline).await;
    match status {
        StatusCode::MISDIRECTED_REQUEST => {
            FailedAttempt::new(AttemptFailure::Misdirected, "not held there")
        }
        _ => FailedAttempt::new(AttemptFailure::Full, &format!("refused with {}", status.as_u16())),
    }
}

/// The backend server ran the request and failed.
async fn failed(backends: &Backends, answer: OpenAnswer, deadline: Instant) -> FailedAttempt {
    let status = answer.status;
    let whole = read_whole(backends, answer, deadline).await.ok();
    let reason = format!("failed with {}", status.as_u16());
    FailedAttempt { failure: AttemptFailure::Failed, reason, answer: whole }
}

/// Waits for the first bytes of a streamed answer, so that its head is not passed on before it is
/// known that there is more.
///
/// # Errors
///
/// Fails if the answer is cut before, or its first bytes do not come in time.
pub async fn await_first(
    backends: &Backends,
    mut answer: OpenAnswer,
    deadline: Instant,
) -> Result<OpenAnswer> {
    let first = tokio::select! {
        first = answer.body.next() => first,
        () = backends.expired(deadline) => {
            return Err(FailedAttempt::new(AttemptFailure::Lost, "no first event in time"));
        }
    };
    answer.body.first = first.map_err(|error| FailedAttempt::new(AttemptFailure::Lost, &error))?;
    Ok(answer)
}

/// Reads an answer to its end.
///
/// # Errors
///
/// Fails if the answer is cut or does not end in time.
pub async fn read_whole(
    backends: &Backends,
    answer: OpenAnswer,
    deadline: Instant,
) -> Result<WholeAnswer> {
    let OpenAnswer { status, headers, mut body } = answer;
    let limit = usize::try_from(MAX_WHOLE_ANSWER.0).unwrap_or(usize::MAX);
    let reading = Limited::new(&mut body.body, limit).collect();
    let collected = tokio::select! {
        collected = reading => collected,
        () = backends.expired(deadline) => {
            let reason = "the answer did not end in time";
            return Err(FailedAttempt::new(AttemptFailure::Lost, reason));
        }
    };
    match collected {
        Ok(collected) => {
            let bytes = collected.to_bytes();
            body.finish();
            Ok(WholeAnswer { status, headers, body: bytes })
        }
        Err(error) => Err(FailedAttempt::new(AttemptFailure::Lost, &error)),
    }
}
