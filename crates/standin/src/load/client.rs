//! Sends one request and judges its answer.

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
    CallKind, CallVerdict, ChatCall, ScriptedCall, ServiceCall, read_chat, read_refusal,
    read_service, read_stream,
};

/// What became of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallOutcome {
    /// Judgement of the answer.
    pub verdict: CallVerdict,
    /// `x-request-id` of the answer, if it carried one.
    pub request_id: Option<String>,
    /// Time to the first byte of the answer's body.
    pub first_byte: Option<Duration>,
    /// Time to the end of the answer.
    pub took: Duration,
}

/// What came over the connection.
#[derive(Debug, Default)]
struct RawAnswer {
    is_success: bool,
    request_id: Option<String>,
    first_byte: Option<Duration>,
    body: BytesMut,
    is_ended: bool,
}

/// Sends requests to entry processes.
#[derive(Debug, Clone)]
pub struct EntryClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl EntryClient {
    /// A client that waits up to `timeout` for a whole answer.
    pub fn new(timeout: Duration) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client, timeout }
    }

    /// Sends one request to `entry`.
    pub async fn send(&self, entry: SocketAddr, call: &ScriptedCall) -> CallOutcome {
        let began = Instant::now();
        let request = build_request(entry, call);
        let mut answer = RawAnswer::default();
        let _timeout = time::timeout(self.timeout, self.receive(request, began, &mut answer)).await;
        CallOutcome {
            verdict: judge(&call.kind, &answer),
            request_id: answer.request_id,
            first_byte: answer.first_byte,
            took: began.elapsed(),
        }
    }

    async fn receive(&self, request: Request<Full<Bytes>>, began: Instant, answer: &mut RawAnswer) {
        let Ok(response) = self.client.request(request).await else {
            return;
        };
        read_head(&response, answer);
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return;
            };
            answer.first_byte.get_or_insert_with(|| began.elapsed());
            answer.body.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        }
        answer.is_ended = true;
    }
}

fn read_head(response: &Response<Incoming>, answer: &mut RawAnswer) {
    let id = response.headers().get("x-request-id");
    answer.request_id = id.and_then(|id| id.to_str().ok()).map(str::to_owned);
    answer.is_success = response.status().is_success();
}

fn judge(kind: &CallKind, answer: &RawAnswer) -> CallVerdict {
    if !answer.is_ended {
        return match answer.body.is_empty() {
            true => CallVerdict::Lost,
            false => CallVerdict::Broken,
        };
    }
    match kind {
        _ if !answer.is_success => read_refusal(&answer.body),
        CallKind::Chat(call) if call.is_stream => read_stream(call, &answer.body),
        CallKind::Chat(call) => read_chat(call, &answer.body),
        CallKind::Service(call) => read_service(call, &answer.body),
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
    built.expect("scripts hold valid methods, paths and keys")
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
