//! Serves one request, from its head to its answer.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use catalog::{Catalog, Route};
use dispatch::{
    Assignment, AttemptFailure, CallHead, CallId, DispatchDecision, DispatchRequest, Generation,
    Refusal,
};
use events::{DecisionEvent, millis};
use http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode, header, request::Parts,
    uri::PathAndQuery,
};
use http_body_util::{BodyExt, Either, Full, StreamBody, combinators::UnsyncBoxBody};
use origins::{StreamKey, StreamOrigin};
use platform::header_format::{self, RequestPriority};
use suspects::{SuspectKey, SuspectKeys};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    attempt::{self, Attempt, BufferedAnswer, FailedAttempt, ForwardRequest, StreamingAnswer},
    authentication::{self, AdmittedCaller, CallerIdentity},
    backends::DispatchTicket,
    hedging,
    process::Gateway,
    quota::{self, QuotaCharge},
    relay::StreamRelay,
    request_body::CallerBody,
    request_memory, resumption,
    trace::{CallTrace, LongestPause},
};

/// Body of an answer: buffered or streamed.
pub type AnswerBody = Either<Full<Bytes>, UnsyncBoxBody<Bytes, std::io::Error>>;

/// Time before the caller's deadline by which an answer must be sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);
/// Time before the first-event timeout of a stream, or the caller's timeout if that is shorter, by
/// which a stream without a first event must be refused: the caller's timeout began before the
/// request was read, and a VM that shares its core can stall for a tenth of a second.
const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(120);
/// `Retry-After` of a refusal before the first configuration is read, which usually takes less.
const NO_CATALOG_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Least urgent priority at an engine; zero is the most urgent one.
const MAX_ENGINE_PRIORITY: u32 = 9;

/// Most parts of a prompt that serve as keys of a request.
const MAX_SUSPECT_PARTS: usize = 24;

struct RefusedCall {
    refusal: Refusal,
    answer: Option<BufferedAnswer>,
}

impl From<Refusal> for RefusedCall {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, answer: None }
    }
}

/// Serves one request of a caller.
pub async fn serve(
    gateway: Arc<Gateway>,
    mut request: Request<CallerBody>,
) -> Response<AnswerBody> {
    let head = header_format::read_call(request.headers());
    header_format::conceal_key(request.headers_mut());
    let trace = CallTrace::new(gateway.log.clone(), gateway.metrics.clone(), head.call.clone());
    let mut guard = CallGuard::new(&gateway, trace);
    match admit(&gateway, request, head, &mut guard.trace).await {
        // Most memory of a request is the state of its dispatch, which those that wait for their
        // bodies do not need.
        Ok(admitted) => Box::pin(dispatch(&gateway, admitted, guard)).await,
        Err(refused) => guard.refuse(refused),
    }
}

/// Counts a request as in flight until the guard is dropped. If the request has not been answered
/// by then, its caller has left or the process ends, which is recorded.
struct CallGuard {
    gateway: Arc<Gateway>,
    trace: CallTrace,
    is_unanswered: bool,
}

impl CallGuard {
    fn new(gateway: &Arc<Gateway>, trace: CallTrace) -> Self {
        gateway.metrics.in_flight.inc();
        Self { gateway: Arc::clone(gateway), trace, is_unanswered: true }
    }

    fn refuse(mut self, mut refused: RefusedCall) -> Response<AnswerBody> {
        self.is_unanswered = false;
        refused.refusal = authentication::defer_unknown(&self.gateway, refused.refusal);
        let response = refusal_response(&self.trace, &refused);
        self.trace.record_refusal(&refused.refusal, response.status().as_u16());
        response
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.gateway.metrics.in_flight.dec();
        if self.is_unanswered {
            self.trace.record_dropped(self.gateway.backends.is_aborting());
        }
    }
}

struct AdmittedCall {
    /// Key of a stream that may be resumed.
    stream: Option<StreamKey>,
    dispatch_request: DispatchRequest,
    request: ForwardRequest,
    charge: Option<QuotaCharge>,
}

async fn admit(
    gateway: &Gateway,
    request: Request<CallerBody>,
    head: CallHead,
    trace: &mut CallTrace,
) -> Result<AdmittedCall, RefusedCall> {
    let arrived = Instant::now();
    if !header_format::has_clear_call_id(request.headers()) {
        let reason = "the call id is not ASCII or there are several";
        return Err(Refusal::new(ResultCode::MalformedRequest, reason).into());
    }
    let Some(catalog) = gateway.catalog.borrow().clone() else {
        let reason = "no configuration has been read yet";
        return Err(Refusal::with_retry_after(
            ResultCode::ListsMissing,
            NO_CATALOG_RETRY_AFTER,
            reason,
        )
        .into());
    };
    let host = request_host(&request).to_owned();
    let route = find_route(&catalog, &host, request.uri().path())?;
    let identity = CallerIdentity::find(&catalog, &route, head.api_key.as_ref())?;
    let timeout = head.caller_timeout.unwrap_or(route.timeout).min(route.timeout);
    trace.record(&DecisionEvent::CallReceived {
        call: trace.call(),
        route: &route.name,
        catalog: catalog.version(),
        workspace: identity.workspace().map(|workspace| &workspace.name),
        target: head.generation.as_ref().map(|generation| &generation.target),
        prompt_tokens: head.generation.as_ref().map(|generation| generation.prompt.0),
        resumes: head
            .resumed
            .as_ref()
            .map(|stream| stream.first_call.as_ref().map_or("", |CallId(call)| call.as_str())),
        patience_ms: millis(timeout),
    });
    let deadline = arrived + timeout.saturating_sub(ANSWER_MARGIN);
    if let Some(ends_at) = gateway.end_before(deadline) {
        let wait = ends_at.saturating_duration_since(Instant::now());
        return Err(Refusal::stopping(wait).into());
    }
    let (parts, body) = request.into_parts();
    let end = gateway.backends.wait_for_deadline(deadline);
    let (limit, head_memory) = (catalog.limits().max_body, request_memory::of_head(&parts));
    let body = body.read(limit, head_memory, gateway.backends.memory(), end).await?;
    let service = choose_service(&route, &head)?;
    let origin = resumption::find_origin(gateway, trace, &route, &head, &service, deadline).await?;
    let (service, software) = match origin {
        Some(origin) => (origin.service, Some(origin.software)),
        None => (service, None),
    };
    let stream = resumption::stream_key(&route, &head);
    let suspect_keys = suspect_keys(&host, &parts, &body, head.generation.as_ref());
    trace.set_keys(&suspect_keys);
    let max_connections =
        catalog.service(&service).map_or(usize::MAX, |service| service.max_connections);
    let priority =
        identity.workspace().and_then(|workspace| workspace.priority).unwrap_or(route.priority);
    let dispatch_request = DispatchRequest {
        route: route.name.clone(),
        kind: route.kind,
        service,
        generation: head.generation,
        software,
        arrived,
        goal: route.goal,
        first_byte_deadline: first_event_deadline(&route, arrived, timeout).unwrap_or(deadline),
        deadline,
        priority,
        workspace: identity.workspace().map(|workspace| workspace.name.clone()),
        max_attempts: route.max_attempts,
        suspect_keys,
        body: ByteSize(body.len() as u64),
    };
    let charge = match identity.workspace() {
        Some(workspace) => {
            let cost = header_format::read_token_cost(&parts.headers);
            gateway.fleet.take_tokens(workspace, cost, route.goal, deadline, trace).await?
        }
        None => None,
    };
    let is_generation = dispatch_request.generation.is_some();
    let request = ForwardRequest {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        call: head.call,
        deadline,
        may_retry: route.kind.may_retry(),
        priority: is_generation.then(|| RequestPriority(priority.min(MAX_ENGINE_PRIORITY) as u8)),
        caller: AdmittedCaller {
            catalog: gateway.catalog.clone(),
            host,
            route,
            key: head.api_key,
            identity,
        },
        max_connections,
        last_event_id: None,
        may_have_run: false,
    };
    Ok(AdmittedCall { stream, dispatch_request, request, charge })
}

/// When a stream without a first event must be refused; `None` if the route does not stream.
fn first_event_deadline(route: &Route, arrived: Instant, timeout: Duration) -> Option<Instant> {
    let first_event_timeout =
        dispatch::first_event_timeout(route.goal, route.pause_goal).min(timeout);
    route
        .kind
        .is_streaming()
        .then(|| arrived + first_event_timeout.saturating_sub(FIRST_EVENT_MARGIN))
}

/// Keys by which the request is recognized if it crashes backend servers.
///
/// The last part of a prompt is the request's own, and so adds nothing to its contents.
fn suspect_keys(
    host: &str,
    parts: &Parts,
    body: &[u8],
    generation: Option<&Generation>,
) -> SuspectKeys {
    let target = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
    let contents = SuspectKey::of_request(parts.method.as_str(), host, target, body);
    let prompt_parts = generation.map_or(&[][..], |generation| &generation.parts);
    let shared = prompt_parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let shared = shared.iter().take(MAX_SUSPECT_PARTS);
    let shared = shared.map(|part| SuspectKey::of_prompt_part(part.id.0));
    shared.chain([contents]).collect()
}

fn request_host(request: &Request<CallerBody>) -> &str {
    let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| request.uri().host()).unwrap_or_default()
}

fn find_route(catalog: &Catalog, host: &str, path: &str) -> Result<Arc<Route>, Refusal> {
    let route = catalog.route(host, path).cloned();
    route.ok_or_else(|| Refusal::new(ResultCode::UnknownModel, "no route for this host and path"))
}

/// Chooses the service by a hash of the call id, so that requests with the same call id go to the
/// same service, as does a stream that is taken up again. All requests without a call id go to the
/// same service, too.
fn choose_service(route: &Route, head: &CallHead) -> Result<ServiceName, Refusal> {
    let first_call = head.resumed.as_ref().and_then(|stream| stream.first_call.as_ref());
    let call = first_call.or(head.call.as_ref());
    let draw = call.map_or(0, |call| xxh3_64(call.0.as_bytes()));
    let service = route.pick_service(draw).cloned();
    service.ok_or_else(|| Refusal::new(ResultCode::NoReplica, "the route has no service"))
}

async fn dispatch(
    gateway: &Gateway,
    admitted: AdmittedCall,
    mut guard: CallGuard,
) -> Response<AnswerBody> {
    let AdmittedCall { stream, dispatch_request, mut request, mut charge } = admitted;
    let is_streaming = dispatch_request.kind.is_streaming();
    let service = dispatch_request.service.clone();
    let (mut ticket, mut decision) = gateway.backends.submit(dispatch_request);
    let mut last_answer = None;
    loop {
        decision = match decision {
            DispatchDecision::Refuse(refusal) => {
                ticket.finish(false);
                quota::finish_refused(charge, &refusal);
                return guard.refuse(RefusedCall { refusal, answer: last_answer });
            }
            DispatchDecision::Wait(reason, expected) => {
                guard.trace.record_wait(reason, expected);
                gateway.fleet.request_demand_report();
                ticket.next_decision().await
            }
            DispatchDecision::Send(assignment) => {
                let fleet = &gateway.fleet;
                let renewed = fleet.renew_tokens(&mut request, &mut charge, &guard.trace).await;
                if let Err(refusal) = renewed {
                    decision = DispatchDecision::Refuse(refusal);
                    continue;
                }
                if let Err(next) = ticket.prepare_send(&assignment, &guard.trace).await {
                    decision = next;
                    continue;
                }
                guard.trace.record_assignment(&assignment);
                charge.iter_mut().for_each(QuotaCharge::record_sent);
                let (assignment, result) = hedging::attempt_hedged(
                    gateway,
                    &request,
                    assignment,
                    &ticket,
                    &mut guard.trace,
                    is_streaming,
                )
                .await;
                match result {
                    Ok(Answered::Streaming(answer)) => {
                        request.may_have_run = true;
                        if let Some(key) = stream {
                            let software = assignment.software.clone();
                            gateway.fleet.record_origin(key, &StreamOrigin { service, software });
                        }
                        return start_stream(ticket, guard, request, assignment, *answer);
                    }
                    Ok(Answered::Buffered(answer)) => {
                        return finish_buffered(ticket, guard, answer);
                    }
                    Err(failed) => {
                        let next = record_failure(
                            &mut ticket,
                            &guard.trace,
                            &assignment,
                            failed,
                            &mut last_answer,
                        );
                        request.may_have_run = ticket.may_have_run();
                        if !request.may_have_run {
                            charge.iter_mut().for_each(QuotaCharge::record_not_run);
                        }
                        next
                    }
                }
            }
        }
    }
}

/// What an attempt brings that is passed on to the caller.
pub(crate) enum Answered {
    /// The head and first chunk of a stream.
    Streaming(Box<StreamingAnswer>),
    /// A complete answer.
    Buffered(BufferedAnswer),
}

/// Makes one attempt, up to the point where its answer is passed on to the caller: after its first
/// chunk if it is streamed, after its last otherwise.
pub(crate) async fn attempt_call(
    gateway: &Gateway,
    request: &ForwardRequest,
    attempt: Attempt<'_>,
    is_streaming: bool,
) -> attempt::Result<Answered> {
    let (backends, deadline) = (&gateway.backends, request.deadline);
    let answer = attempt::send(backends, request, attempt).await?;
    match is_streaming && answer.status.is_success() {
        true => {
            let answer = attempt::await_first_chunk(backends, answer, deadline).await?;
            Ok(Answered::Streaming(Box::new(answer)))
        }
        false => attempt::buffer_answer(backends, answer, deadline).await.map(Answered::Buffered),
    }
}

fn record_failure(
    ticket: &mut DispatchTicket,
    trace: &CallTrace,
    assignment: &Assignment,
    failed: FailedAttempt,
    last_answer: &mut Option<BufferedAnswer>,
) -> DispatchDecision {
    trace.record_failure(&assignment.server, &failed);
    // The answer of an earlier attempt belongs to a caller who may not see it any more.
    if failed.answer.is_some() || failed.failure == AttemptFailure::KeyRevoked {
        *last_answer = failed.answer;
    }
    ticket.record_failure(failed.failure)
}

fn finish_buffered(
    mut ticket: DispatchTicket,
    mut guard: CallGuard,
    answer: BufferedAnswer,
) -> Response<AnswerBody> {
    ticket.record_first_byte();
    ticket.record_answer_begun();
    ticket.finish(true);
    guard.is_unanswered = false;
    guard.trace.record_answer(
        answer.status.as_u16(),
        guard.trace.elapsed(),
        LongestPause::default(),
    );
    buffered_response(answer)
}

fn start_stream(
    ticket: DispatchTicket,
    mut guard: CallGuard,
    request: ForwardRequest,
    assignment: Assignment,
    answer: StreamingAnswer,
) -> Response<AnswerBody> {
    let status = answer.status;
    let headers = answer.headers.clone();
    guard.is_unanswered = false;
    let relay = StreamRelay::new(ticket, guard.trace.clone(), request, assignment, answer);
    let items = relay.into_stream();
    let body = StreamBody::new(GuardedStream { items: Box::pin(items), _guard: guard });
    let mut response = Response::new(Either::Right(BodyExt::boxed_unsync(body)));
    *response.status_mut() = status;
    *response.headers_mut() = without_length(headers);
    response
}

/// A stream with the guard of its request, which counts as in flight until the stream is dropped.
struct GuardedStream<S> {
    items: std::pin::Pin<Box<S>>,
    _guard: CallGuard,
}

impl<S: futures::Stream> futures::Stream for GuardedStream<S> {
    type Item = S::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<S::Item>> {
        self.items.as_mut().poll_next(context)
    }
}

/// Removes `Content-Length`: the length of a stream that may be resumed elsewhere is not known.
fn without_length(mut headers: HeaderMap) -> HeaderMap {
    headers.remove(header::CONTENT_LENGTH);
    headers
}

fn buffered_response(answer: BufferedAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Left(Full::new(answer.body)));
    *response.status_mut() = answer.status;
    *response.headers_mut() = without_length(answer.headers);
    response
}

/// Whether callers conclude from `status` that the request has not run. An answer of a backend
/// server with such a status, but without the header that says so, must not be passed on, because
/// the request may have run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn refusal_response(trace: &CallTrace, refused: &RefusedCall) -> Response<AnswerBody> {
    if let Some(answer) = &refused.answer
        && !implies_not_run(answer.status)
    {
        return buffered_response(answer.clone());
    }
    let refusal = &refused.refusal;
    let status = match refusal.code.run_state() {
        // Callers conclude from 503 alone that the request has not run and when it may.
        RunState::NotRun if refusal.code == ResultCode::RequestQuarantined => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        // Callers conclude from 503, but not from 504, that the request has not run.
        RunState::NotRun if refusal.code.http_status() >= 500 => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::from_u16(refusal.code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY),
    };
    let text = format!("{}\n", refusal.code);
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    header_format::insert_call_id(headers, trace.call());
    if let Some(wait) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, header_format::retry_after_value(wait));
    }
    response
}
