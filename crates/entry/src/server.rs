//! The HTTP interface for callers and operators.

use std::sync::Arc;

use base::{log_output::dropped_lines, prelude::*};
use bytes::Bytes;
use http_body_util::Full;
use hyper_util::{
    rt::{TokioExecutor, TokioTimer},
    server::conn::auto::Builder,
};
use tokio::net::TcpListener;
use viz::{
    Body, Request, RequestExt, Response, ResponseExt, Router, Server, StatusCode,
    header::{CONTENT_LENGTH, HeaderName, HeaderValue},
    types::State,
};

use crate::{
    answer_body::AnswerBody,
    answers::{CallAnswer, HeadParts},
    calls::{self, CallHead, CallerCall},
    connection_limit::{CallerConnection, LimitedListener},
    owner::OwnerEvent,
    process::{EntryState, Readiness},
    refusals::CallRefusal,
    requests::RequestDriver,
    unread::{ReaderWatch, UnreadMark},
};

/// Response header with the id of the request.
const REQUEST_HEADER: &str = "x-request-id";
/// Size of the read buffer of a connection, which holds the head of a request.
const READ_BUFFER: usize = 64 * 1_024;
/// Bytes of HTTP/2 bodies that a connection may receive before they are read.
const RECEIVE_WINDOW: u32 = 64 * 1_024;
/// Longest time in which the head of a request must arrive. It begins with the end of the request
/// before, and so also ends connections that are idle for longer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);

type HttpResult = viz::Result<Response>;

/// Serves HTTP until the process ends or the listener fails.
pub async fn serve(listener: TcpListener, state: Arc<EntryState>) {
    let readers = ReaderWatch::new();
    let budget = state.body_memory.budget().clone();
    tokio::spawn(readers.clone().close_unread(budget, state.metrics.clone()));
    let listener = LimitedListener::new(listener, &state.settings.limits, readers);
    let router = Router::new()
        .post("/v1/chat/completions", chat)
        .get("/v1/models", models)
        .any("/services/*", service)
        .get("/metrics", metrics)
        .get("/healthz", healthz)
        .get("/readyz", readyz)
        .get("/status", status)
        .with(State::new(state));
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(READ_BUFFER);
    builder
        .http2()
        .timer(TokioTimer::new())
        .initial_stream_window_size(RECEIVE_WINDOW)
        .initial_connection_window_size(RECEIVE_WINDOW);
    if let Err(error) = Server::with_builder(listener, router, builder).await {
        log::error!("server: the HTTP listener failed: {error}");
    }
}

/// Counts a request as in flight from its arrival to the end of its answer.
pub struct InFlightGuard {
    state: Arc<EntryState>,
}

impl InFlightGuard {
    fn new(state: &Arc<EntryState>) -> Self {
        state.metrics.in_flight.inc();
        Self { state: Arc::clone(state) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.metrics.in_flight.dec();
    }
}

async fn state_of(request: &mut Request) -> viz::Result<Arc<EntryState>> {
    let State(state) = request.extract::<State<Arc<EntryState>>>().await?;
    Ok(state)
}

async fn chat(mut request: Request) -> HttpResult {
    let state = state_of(&mut request).await?;
    Ok(handle(state, request, CallKind::Chat).await)
}

async fn service(mut request: Request) -> HttpResult {
    let state = state_of(&mut request).await?;
    Ok(handle(state, request, CallKind::Service).await)
}

/// Interface that a request addresses.
#[derive(Clone, Copy)]
enum CallKind {
    Chat,
    Service,
}

async fn handle(state: Arc<EntryState>, request: Request, kind: CallKind) -> Response {
    let guard = Arc::new(InFlightGuard::new(&state));
    let started = Instant::now();
    let connection = request.extensions().get::<Option<Arc<CallerConnection>>>().cloned().flatten();
    let call = match read_call(&state, request, kind, started).await {
        Ok(call) => call,
        Err(code) => {
            state.metrics.count_request("", "", code);
            return with_id(CallRefusal::from(code).response(RequestId::random()), None);
        }
    };
    let id = call.id;
    let customer = call.rights.customer.id.to_string();
    let class = call.class.to_string();
    let served = serve_call(&state, call, &guard).await;
    match served {
        Ok(answer) => {
            let elapsed = started.elapsed().as_secs_f64();
            let first_byte = &state.metrics.first_byte;
            first_byte.with_label_values(&[&customer, &class]).observe(elapsed);
            state.metrics.count_request(&customer, &class, ResultCode::Success);
            let unread = connection.map(|connection| connection.watch_reader());
            with_id(respond(answer, id, guard, unread), Some(id))
        }
        Err(refusal) => {
            log::info!("requests: {id} of {customer} refused: {}", refusal.code);
            state.metrics.count_request(&customer, &class, refusal.code);
            with_id(refusal.response(id), Some(id))
        }
    }
}

/// Serves a request. One with an idempotency key continues after its caller has disconnected, so
/// that the caller can retry it with the key and get the answer.
async fn serve_call(
    state: &Arc<EntryState>,
    call: CallerCall,
    guard: &Arc<InFlightGuard>,
) -> Result<CallAnswer, CallRefusal> {
    let is_keyed = call.key.is_some();
    let driver = RequestDriver::new(Arc::clone(state), call);
    if !is_keyed {
        return driver.serve().await;
    }
    let guard = Arc::clone(guard);
    let serving = tokio::spawn(async move {
        let _guard = guard;
        driver.serve().await
    });
    serving.await.unwrap_or(Err(ResultCode::BackendLost.into()))
}

async fn read_call(
    state: &EntryState,
    request: Request,
    kind: CallKind,
    now: Instant,
) -> Result<CallerCall, ResultCode> {
    if *state.is_draining.borrow() {
        return Err(ResultCode::ProcessStopping);
    }
    let lists = state.lists.borrow().clone().ok_or(ResultCode::ListsMissing)?;
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let head = CallHead { method: parts.method, path, headers: parts.headers };
    let rights = calls::authenticate(&lists, &head.headers)?;
    let body = state.body_memory.read(&head.headers, body).await?;
    match kind {
        CallKind::Chat => CallerCall::chat(&lists, rights, &head, body, now),
        CallKind::Service => {
            let name = calls::service_name(&head.path)?;
            CallerCall::service(&lists, rights, &name, &head, body, now)
        }
    }
}

fn respond(
    answer: CallAnswer,
    id: RequestId,
    guard: Arc<InFlightGuard>,
    unread: Option<UnreadMark>,
) -> Response {
    let (head, body, length) = match answer {
        CallAnswer::Buffered { head, body } if body.iter().all(Bytes::is_empty) => {
            (head, Body::from(Full::default()), None)
        }
        CallAnswer::Buffered { head, body } => {
            let length = body.iter().map(Bytes::len).sum::<usize>();
            (head, Body::wrap(AnswerBody::buffered(body, unread)), Some(length))
        }
        CallAnswer::Stream { head, parts } => {
            (head, Body::wrap(AnswerBody::stream(id, parts, guard, unread)), None)
        }
    };
    let mut response = Response::new(body);
    if let Some(length) = length {
        // The connection does not learn the length of a wrapped body and would send it in chunks.
        response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    set_head(&mut response, &head);
    response
}

fn set_head(response: &mut Response, head: &HeadParts) {
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for field in &head.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().insert(name, value);
        }
    }
}

fn with_id(mut response: Response, id: Option<RequestId>) -> Response {
    let value = id.and_then(|id| HeaderValue::from_str(&id.to_string()).ok());
    if let Some(value) = value {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    response
}

async fn models(mut request: Request) -> HttpResult {
    let state = state_of(&mut request).await?;
    let lists = state.lists.borrow().clone();
    let permitted = lists.ok_or(ResultCode::ListsMissing).and_then(|lists| {
        let rights = calls::authenticate(&lists, request.headers())?;
        let names: Vec<String> = lists
            .models()
            .map(|model| model.id.to_string())
            .chain(lists.adapters().map(|adapter| adapter.id.to_string()))
            .filter(|name| lists.target(&rights, name).is_ok())
            .collect();
        Ok(names)
    });
    match permitted {
        Ok(mut names) => {
            names.sort();
            let data: Vec<_> = names
                .into_iter()
                .map(|id| serde_json::json!({ "id": id, "object": "model" }))
                .collect();
            Ok(Response::json(serde_json::json!({ "object": "list", "data": data }))?)
        }
        Err(code) => Ok(CallRefusal::from(code).response(RequestId::random())),
    }
}

async fn metrics(mut request: Request) -> HttpResult {
    let state = state_of(&mut request).await?;
    let version = state.lists.borrow().as_ref().map_or(0, |lists| lists.version().0);
    state.metrics.list_version.set(version as i64);
    state.metrics.body_bytes.set(i64::try_from(state.body_memory.used().0).unwrap_or(i64::MAX));
    state.metrics.set_platform_calls(state.store.counts());
    state.metrics.dropped_lines.set(i64::try_from(dropped_lines()).unwrap_or(i64::MAX));
    Ok(Response::text(state.metrics.render()))
}

async fn healthz(_: Request) -> HttpResult {
    Ok(Response::text("ok\n"))
}

async fn readyz(mut request: Request) -> HttpResult {
    let state = state_of(&mut request).await?;
    let text = match state.readiness() {
        Readiness::Ready => return Ok(Response::text("ready\n")),
        Readiness::Draining => "draining\n",
        Readiness::NoLists => "no lists yet\n",
        Readiness::NotListed => "not in the VM list yet\n",
    };
    let mut response = Response::text(text);
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    Ok(response)
}

async fn status(mut request: Request) -> HttpResult {
    let state = state_of(&mut request).await?;
    let (reply, replied) = tokio::sync::oneshot::channel();
    let _ = state.owner.send(OwnerEvent::Describe(reply)).await;
    let reports = replied.await.unwrap_or_default();
    Ok(Response::json(reports)?)
}
