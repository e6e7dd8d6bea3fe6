//! Client that sends one request and verifies its answer.

use std::net::SocketAddr;

use base::prelude::*;
use bytes::{Bytes, BytesMut};
use http::{Request, Response, header, request::Builder};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::json;
use tokio::time;

use super::{
    CallKind, CallVerdict, ChatCall, ScriptedCall, ServiceCall, parse_refusal, verify_chat,
    verify_service, verify_stream,
};

/// Result of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallOutcome {
    /// Result of the verification.
    pub verdict: CallVerdict,
    /// `x-request-id` header of the answer, if it has one.
    pub request_id: Option<String>,
    /// Time from sending to the first frame of the answer's body; `None` if none arrived.
    pub first_byte: Option<Duration>,
    /// Time from sending to the end of the answer, its failure or the timeout.
    pub took: Duration,
}

/// The part of an answer received so far.
#[derive(Debug, Default)]
struct RawAnswer {
    is_success: bool,
    request_id: Option<String>,
    first_byte: Option<Duration>,
    body: BytesMut,
    /// Whether the body ended without an error.
    is_complete: bool,
}

/// Sends requests to entry processes.
#[derive(Debug, Clone)]
pub struct EntryClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl EntryClient {
    /// Creates a client that gives up a request after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client, timeout }
    }

    /// Sends one request to the entry process at `entry` and verifies its answer.
    pub async fn send(&self, entry: SocketAddr, call: &ScriptedCall) -> CallOutcome {
        let began = Instant::now();
        let request = build_request(entry, call);
        let mut answer = RawAnswer::default();
        let _timeout = time::timeout(self.timeout, self.receive(request, began, &mut answer)).await;
        CallOutcome {
            verdict: verify_answer(&call.kind, &answer),
            request_id: answer.request_id,
            first_byte: answer.first_byte,
            took: began.elapsed(),
        }
    }

    async fn receive(&self, request: Request<Full<Bytes>>, began: Instant, answer: &mut RawAnswer) {
        let Ok(response) = self.client.request(request).await else {
            return;
        };
        record_head(&response, answer);
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return;
            };
            answer.first_byte.get_or_insert_with(|| began.elapsed());
            answer.body.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        }
        answer.is_complete = true;
    }
}

fn record_head(response: &Response<Incoming>, answer: &mut RawAnswer) {
    let id = response.headers().get("x-request-id");
    answer.request_id = id.and_then(|id| id.to_str().ok()).map(str::to_owned);
    answer.is_success = response.status().is_success();
}

fn verify_answer(kind: &CallKind, answer: &RawAnswer) -> CallVerdict {
    if !answer.is_complete {
        return match answer.body.is_empty() {
            true => CallVerdict::NoAnswer,
            false => CallVerdict::Interrupted,
        };
    }
    match kind {
        _ if !answer.is_success => parse_refusal(&answer.body),
        CallKind::Chat(call) if call.is_stream => verify_stream(call, &answer.body),
        CallKind::Chat(call) => verify_chat(call, &answer.body),
        CallKind::Service(call) => verify_service(call, &answer.body),
    }
}

fn build_request(entry: SocketAddr, call: &ScriptedCall) -> Request<Full<Bytes>> {
    let builder = Request::builder()
        .header(header::AUTHORIZATION, format!("Bearer {}", call.customer_key))
        .header(header::CONTENT_TYPE, "application/json");
    let built = match &call.kind {
        CallKind::Chat(chat) => build_chat(entry, builder, chat),
        CallKind::Service(service) => build_service(entry, builder, service),
    };
    built.expect("scripts contain valid methods, paths and keys")
}

fn build_chat(
    entry: SocketAddr,
    builder: Builder,
    call: &ChatCall,
) -> http::Result<Request<Full<Bytes>>> {
    let body = json!({
        "model": call.model,
        "messages": [{ "role": "user", "content": call.prompt }],
        "max_tokens": call.tokens,
        "stream": call.is_stream,
    });
    let uri = format!("http://{entry}/v1/chat/completions");
    builder.method("POST").uri(uri).body(Full::from(body.to_string()))
}

fn build_service(
    entry: SocketAddr,
    builder: Builder,
    call: &ServiceCall,
) -> http::Result<Request<Full<Bytes>>> {
    let uri = format!("http://{entry}/services/{}{}", call.service, call.path);
    let builder = builder.method(call.method.as_str()).uri(uri);
    let builder = match &call.key {
        Some(key) => builder.header("idempotency-key", key),
        None => builder,
    };
    builder.body(Full::from(call.body.clone()))
}
