//! Chat completions, plain and streamed, and their cancellation.

use std::io;

use bytes::Bytes;
use futures::{Stream, stream};
use http::{HeaderValue, StatusCode, header};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use viz::{Body, Request, Response};

use super::{
    CancelOrder, ChatRequest, EngineServer, ExecutionEnd, ExecutionRecord,
    batch::{BatchSequence, SequenceEvent},
    header_text,
    options::take_one,
    records::now_ms,
};
use crate::{
    answers::{answer_token, digest_of},
    server::{drop_connection, error_answer, json_answer, read_body, read_json, state_of},
};

type EventReceiver = mpsc::UnboundedReceiver<SequenceEvent>;

/// What is needed to write an answer.
struct AnswerWriter {
    request_id: String,
    model: String,
    prompt: String,
    first: u32,
    tokens: u32,
    is_cut: bool,
}

pub(super) async fn complete(mut request: Request) -> viz::Result<Response> {
    let server = state_of::<EngineServer>(&request);
    let body = read_body(&mut request).await?;
    let request_id = header_text(&request, "x-request-id").unwrap_or_default();
    if server.is_fatal(&body) {
        server.crash(&request_id);
        return drop_connection(&request).await;
    }
    let chat = serde_json::from_slice::<ChatRequest>(&body)
        .map_err(|error| error_answer(StatusCode::BAD_REQUEST, &error.to_string()))?;
    let events = server.enqueue(&request_id, &chat)?;
    let writer = AnswerWriter {
        request_id,
        model: chat.served_name().to_owned(),
        prompt: chat.prompt(),
        first: chat.resume_from,
        tokens: chat.max_tokens,
        is_cut: take_one(&mut server.lock().fault.cut_answers),
    };
    let loses_answer = take_one(&mut server.lock().fault.lost_answers);
    match chat.stream && !loses_answer {
        true => Ok(streamed(events, writer)),
        false => plain(&request, events, &writer, loses_answer).await,
    }
}

pub(super) async fn cancel(mut request: Request) -> viz::Result<Response> {
    let server = state_of::<EngineServer>(&request);
    let order = read_json::<CancelOrder>(&mut request).await?;
    let state = server.cancel_request(&order.request_id);
    Ok(json_answer(StatusCode::OK, &json!({ "state": state })))
}

impl EngineServer {
    fn enqueue(&self, request_id: &str, chat: &ChatRequest) -> viz::Result<EventReceiver> {
        let found = self.lock().table.find_loaded(chat.served_name());
        let key = found.ok_or_else(|| error_answer(StatusCode::NOT_FOUND, "not loaded"))?;
        let record = self.record_arrival(ExecutionRecord {
            request_id: request_id.to_owned(),
            model: chat.served_name().to_owned(),
            prompt_digest: digest_of(&[chat.prompt().as_bytes()]),
            received_ms: now_ms(),
            started_ms: None,
            end: None,
        });
        let (sender, receiver) = mpsc::unbounded_channel();
        self.batch.push(BatchSequence {
            request_id: request_id.to_owned(),
            key,
            record,
            priority: chat.priority,
            next: chat.resume_from,
            tokens: chat.max_tokens.max(chat.resume_from + 1),
            events: sender,
        });
        Ok(receiver)
    }
}

async fn plain(
    request: &Request,
    mut events: EventReceiver,
    writer: &AnswerWriter,
    loses_answer: bool,
) -> viz::Result<Response> {
    let mut content = String::new();
    while let Some(event) = events.recv().await {
        match event {
            SequenceEvent::Token(index) => content.push_str(&writer.token(index)),
            SequenceEvent::Ended(ExecutionEnd::Finished) => break,
            SequenceEvent::Ended(_) => {
                return Err(error_answer(StatusCode::INTERNAL_SERVER_ERROR, "the request ended"));
            }
        }
    }
    if loses_answer {
        return drop_connection(request).await;
    }
    let answer = writer.completion(&content);
    match writer.is_cut {
        true => Ok(cut_answer(&answer)),
        false => Ok(json_answer(StatusCode::OK, &answer)),
    }
}

/// The first half of an answer, ended as if it were whole.
fn cut_answer(answer: &Value) -> Response {
    let text = answer.to_string();
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let body = Body::from_stream(stream::iter([Ok::<_, std::io::Error>(half)]));
    let mut response = Response::new(body);
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn streamed(events: EventReceiver, writer: AnswerWriter) -> Response {
    let mut response = Response::new(Body::from_stream(stream_chunks(events, writer)));
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// A crash breaks the connection off here too: the tasks that drop its connections can come after
/// the end of its streams.
fn stream_chunks(
    events: EventReceiver,
    writer: AnswerWriter,
) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(Some((events, writer)), |state| async move {
        let (mut events, writer) = state?;
        match events.recv().await {
            Some(SequenceEvent::Token(index)) if writer.is_cut_at(index) => None,
            Some(SequenceEvent::Token(index)) => {
                let chunk = writer.chunk(index);
                Some((Ok(chunk), Some((events, writer))))
            }
            Some(SequenceEvent::Ended(ExecutionEnd::Finished)) => {
                Some((Ok(writer.last_chunk()), None))
            }
            Some(SequenceEvent::Ended(ExecutionEnd::Crashed)) | None => {
                Some((Err(io::Error::other("the engine crashed")), None))
            }
            Some(SequenceEvent::Ended(_)) => None,
        }
    })
}

impl AnswerWriter {
    fn token(&self, index: u32) -> String {
        answer_token(&self.model, &self.prompt, index)
    }

    /// Whether a cut answer ends before this token.
    fn is_cut_at(&self, index: u32) -> bool {
        let middle = self.first.midpoint(self.tokens);
        self.is_cut && index >= middle
    }

    fn completion(&self, content: &str) -> Value {
        let prompt_tokens = self.prompt.split_whitespace().count() as u64;
        let completion_tokens = u64::from(self.tokens.saturating_sub(self.first));
        json!({
            "id": self.request_id,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": content },
                "finish_reason": "stop",
            }],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": completion_tokens,
                "total_tokens": prompt_tokens + completion_tokens,
            },
        })
    }

    fn chunk_message(&self, delta: &Value, finish_reason: &Value) -> String {
        let message = json!({
            "id": self.request_id,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
        });
        format!("data: {message}\n\n")
    }

    fn chunk(&self, index: u32) -> Bytes {
        let delta = json!({ "content": self.token(index) });
        self.chunk_message(&delta, &Value::Null).into()
    }

    fn last_chunk(&self) -> Bytes {
        let last = self.chunk_message(&json!({}), &json!("stop"));
        format!("{last}data: [DONE]\n\n").into()
    }
}
