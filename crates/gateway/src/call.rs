//! The life of one request, from its head to its answer.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use catalog::{Catalog, Route};
use dispatch::{Assignment, CallHead, DispatchDecision, DispatchRequest, Refusal};
use events::{DecisionEvent, millis};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{
    BodyExt, Either, Full, LengthLimitError, Limited, StreamBody, combinators::UnsyncBoxBody,
};
use hyper::body::Incoming;
use platform::header_format::{self, RequestPriority};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    attempt::{self, FailedAttempt, ForwardRequest, OpenAnswer, WholeAnswer},
    backends::Ticket,
    process::Gateway,
    relay::StreamRelay,
    story::{CallStory, LongestPause},
};

/// Body of an answer.
pub type AnswerBody = Either<Full<Bytes>, UnsyncBoxBody<Bytes, std::io::Error>>;

/// Time before the caller's deadline at which an answer must be on its way.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);
/// Time before the caller of a stream stops waiting for its first event, or for anything, at which
/// a refusal must be on its way: the caller's time began before the request was read, and a VM that
/// shares its core can stand still for a tenth of a second.
const FIRST_MARGIN: Duration = Duration::from_millis(120);
/// Return after a refusal for want of a configuration, which usually comes within this time.
const CATALOG_RETURN: Duration = Duration::from_millis(500);
/// Most urgent and least urgent rank at an engine.
const MAX_URGENCY: u32 = 9;

struct Refused {
    refusal: Refusal,
    answer: Option<WholeAnswer>,
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, answer: None }
    }
}

/// Serves one request.
pub async fn serve(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let head = header_format::read_call(request.headers());
    let story = CallStory::new(gateway.log.clone(), gateway.metrics.clone(), head.call.clone());
    let guard = CallGuard::new(&gateway, story);
    match admit(&gateway, request, head, &guard.story).await {
        Ok(admitted) => run(&gateway, admitted, guard).await,
        Err(refused) => guard.refuse(&refused),
    }
}

/// Counts a request as in flight and notices when its caller leaves before it is answered.
struct CallGuard {
    gateway: Arc<Gateway>,
    story: CallStory,
    is_open: bool,
}

impl CallGuard {
    fn new(gateway: &Arc<Gateway>, story: CallStory) -> Self {
        gateway.metrics.in_flight.inc();
        Self { gateway: Arc::clone(gateway), story, is_open: true }
    }

    fn refuse(mut self, refused: &Refused) -> Response<AnswerBody> {
        self.is_open = false;
        let response = refusal_response(&self.story, refused);
        self.story.refuse(&refused.refusal, response.status().as_u16());
        response
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.gateway.metrics.in_flight.dec();
        if self.is_open {
            self.story.leave();
        }
    }
}

struct Admitted {
    ask: DispatchRequest,
    request: ForwardRequest,
}

async fn admit(
    gateway: &Gateway,
    request: Request<Incoming>,
    head: CallHead,
    story: &CallStory,
) -> Result<Admitted, Refused> {
    let arrived = Instant::now();
    let Some(catalog) = gateway.catalog.borrow().clone() else {
        let reason = "no configuration has been read yet";
        return Err(
            Refusal::with_retry_after(ResultCode::ListsMissing, CATALOG_RETURN, reason).into()
        );
    };
    let route = find_route(&catalog, &request)?;
    let patience = head.caller_timeout.unwrap_or(route.timeout).min(route.timeout);
    story.record(&DecisionEvent::CallReceived {
        call: story.call(),
        route: &route.name,
        catalog: catalog.version(),
        target: head.generation.as_ref().map(|generation| &generation.target),
        prompt_tokens: head.generation.as_ref().map(|generation| generation.prompt.0),
        patience_ms: millis(patience),
    });
    let deadline = arrived + patience.saturating_sub(ANSWER_MARGIN);
    if let Some(ends_at) = gateway.ends_before(deadline) {
        let reason = "the process is stopping";
        let wait = ends_at.saturating_duration_since(Instant::now());
        return Err(Refusal::with_retry_after(ResultCode::ProcessStopping, wait, reason).into());
    }
    let (parts, body) = request.into_parts();
    let body = read_body(body, catalog.limits().max_body).await?;
    let service = choose_service(&route, &head)?;
    let max_connections =
        catalog.service(&service).map_or(usize::MAX, |service| service.max_connections);
    let ask = DispatchRequest {
        kind: route.kind,
        service,
        generation: head.generation,
        arrived,
        goal: route.goal,
        first_byte_deadline: first_by(&route, arrived, patience).unwrap_or(deadline),
        deadline,
        priority: route.priority,
        max_attempts: route.max_attempts,
    };
    let is_generation = ask.generation.is_some();
    let request = ForwardRequest {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        call: head.call,
        deadline,
        may_repeat: route.kind.may_repeat(),
        urgency: is_generation.then(|| RequestPriority(route.priority.min(MAX_URGENCY) as u8)),
        max_connections,
        after_event: None,
    };
    Ok(Admitted { ask, request })
}

/// When the caller of a stream is told at the latest that there is no first event.
fn first_by(route: &Route, arrived: Instant, patience: Duration) -> Option<Instant> {
    let waits = dispatch::first_event_timeout(route.goal, route.pause_goal).min(patience);
    route.kind.is_streaming().then(|| arrived + waits.saturating_sub(FIRST_MARGIN))
}

fn find_route(catalog: &Catalog, request: &Request<Incoming>) -> Result<Arc<Route>, Refusal> {
    let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| request.uri().host()).unwrap_or_default();
    let route = catalog.route(host, request.uri().path()).cloned();
    route.ok_or_else(|| Refusal::new(ResultCode::UnknownModel, "no route for this host and path"))
}

/// All tries of one request draw the same service, as far as its head tells them.
fn choose_service(route: &Route, head: &CallHead) -> Result<ServiceName, Refusal> {
    let draw = head.call.as_ref().map_or(0, |call| xxh3_64(call.0.as_bytes()));
    let service = route.pick_service(draw).cloned();
    service.ok_or_else(|| Refusal::new(ResultCode::NoReplica, "the route has no service"))
}

async fn read_body(body: Incoming, limit: ByteSize) -> Result<Bytes, Refusal> {
    let limit = usize::try_from(limit.0).unwrap_or(usize::MAX);
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(Refusal::new(ResultCode::BodyTooLarge, "the body is too large"))
        }
        Err(_) => Err(Refusal::new(ResultCode::MalformedRequest, "the body is cut")),
    }
}

async fn run(gateway: &Gateway, admitted: Admitted, mut guard: CallGuard) -> Response<AnswerBody> {
    let Admitted { ask, request } = admitted;
    let is_streaming = ask.kind.is_streaming();
    let (mut ticket, mut verdict) = gateway.backends.offer(ask);
    let mut last_answer = None;
    loop {
        verdict = match verdict {
            DispatchDecision::Refuse(refusal) => {
                ticket.finish(false);
                return guard.refuse(&Refused { refusal, answer: last_answer });
            }
            DispatchDecision::Wait(reason, expected) => {
                guard.story.wait(reason, expected);
                gateway.fleet.note_missing();
                ticket.next().await
            }
            DispatchDecision::Send(assignment) => {
                if let Err(next) = ticket.go(&assignment, &guard.story).await {
                    verdict = next;
                    continue;
                }
                guard.story.assign(&assignment);
                match exchange(gateway, &request, &assignment, is_streaming).await {
                    Ok(Answered::Stream(answer)) => {
                        return stream(ticket, guard, request, assignment, answer);
                    }
                    Ok(Answered::Whole(answer)) => return finish(ticket, guard, answer),
                    Err(failed) => {
                        settle(&mut ticket, &guard.story, &assignment, failed, &mut last_answer)
                    }
                }
            }
        }
    }
}

enum Answered {
    Stream(OpenAnswer),
    Whole(WholeAnswer),
}

/// One attempt, up to the point from which on its answer is the caller's.
async fn exchange(
    gateway: &Gateway,
    request: &ForwardRequest,
    assignment: &Assignment,
    is_streaming: bool,
) -> attempt::Result<Answered> {
    let (backends, deadline) = (&gateway.backends, request.deadline);
    let answer = attempt::send(backends, request, assignment).await?;
    match is_streaming && answer.status.is_success() {
        true => attempt::await_first(backends, answer, deadline).await.map(Answered::Stream),
        false => attempt::read_whole(backends, answer, deadline).await.map(Answered::Whole),
    }
}

fn settle(
    ticket: &mut Ticket,
    story: &CallStory,
    assignment: &Assignment,
    failed: FailedAttempt,
    last_answer: &mut Option<WholeAnswer>,
) -> DispatchDecision {
    story.fail(&assignment.server, &failed);
    if failed.answer.is_some() {
        *last_answer = failed.answer;
    }
    ticket.fail(failed.failure)
}

fn finish(mut ticket: Ticket, mut guard: CallGuard, answer: WholeAnswer) -> Response<AnswerBody> {
    ticket.start();
    ticket.finish(true);
    guard.is_open = false;
    guard.story.answer(answer.status.as_u16(), guard.story.held(), LongestPause::default());
    whole_response(answer)
}

fn stream(
    ticket: Ticket,
    mut guard: CallGuard,
    request: ForwardRequest,
    assignment: Assignment,
    answer: OpenAnswer,
) -> Response<AnswerBody> {
    let status = answer.status;
    let headers = answer.headers.clone();
    guard.is_open = false;
    let relay = StreamRelay::new(ticket, guard.story.clone(), request, assignment, answer);
    let items = relay.into_stream();
    let body = StreamBody::new(GuardedStream { items: Box::pin(items), _guard: guard });
    let mut response = Response::new(Either::Right(BodyExt::boxed_unsync(body)));
    *response.status_mut() = status;
    *response.headers_mut() = without_length(headers);
    response
}

/// A stream that counts as in flight until it is dropped.
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

/// A stream that may go on elsewhere has no length that is known beforehand.
fn without_length(mut headers: HeaderMap) -> HeaderMap {
    headers.remove(header::CONTENT_LENGTH);
    headers
}

fn whole_response(answer: WholeAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Left(Full::new(answer.body)));
    *response.status_mut() = answer.status;
    *response.headers_mut() = without_length(answer.headers);
    response
}

/// Statuses that promise that a request has not run. A backend server's answer with one of them
/// that lacks its own word for it must not reach the caller.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn refusal_response(story: &CallStory, refused: &Refused) -> Response<AnswerBody> {
    if let Some(answer) = &refused.answer
        && !promises_not_run(answer.status)
    {
        return whole_response(answer.clone());
    }
    let refusal = &refused.refusal;
    let status = match refusal.code.run_state() {
        // A status of 504 would promise nothing, although the request has not run.
        RunState::NotRun if refusal.code.http_status() >= 500 => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::from_u16(refusal.code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY),
    };
    let text = format!("{}\n", refusal.code);
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    header_format::insert_call_id(headers, story.call());
    if let Some(wait) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, header_format::retry_after_value(wait));
    }
    response
}
