//! Chat completions, complete and streamed, and their cancellation.

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
    answers::{answer_token, short_digest},
    server::{drop_connection, error_answer, json_answer, read_body, read_json, state_of},
};

type EventReceiver = mpsc::UnboundedReceiver<SequenceEvent>;

/// Writes the JSON messages of one answer.
struct AnswerWriter {
    request_id: String,
    model: String,
    prompt: String,
    first_token: u32,
    token_limit: u32,
    /// Set by the fault `cut_answers`.
    is_truncated: bool,
}

pub(super) async fn complete(mut request: Request) -> viz::Result<Response> {
    let server = state_of::<EngineServer>(&request);
    let body = read_body(&mut request).await?;
    let request_id = header_text(&request, "x-request-id").unwrap_or_default();
    if server.has_crash_marker(&body) {
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
        first_token: chat.resume_from,
        token_limit: chat.max_tokens,
        is_truncated: take_one(&mut server.lock().fault.cut_answers),
    };
    let loses_answer = take_one(&mut server.lock().fault.lost_answers);
    match chat.stream && !loses_answer {
        true => Ok(streamed_answer(events, writer)),
        false => whole_answer(&request, events, &writer, loses_answer).await,
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
        let loaded = self.lock().table.find_loaded(chat.served_name());
        let key = loaded.ok_or_else(|| error_answer(StatusCode::NOT_FOUND, "not loaded"))?;
        let record_index = self.record_arrival(ExecutionRecord {
            request_id: request_id.to_owned(),
            model: chat.served_name().to_owned(),
            prompt_digest: short_digest(&[chat.prompt().as_bytes()]),
            received_ms: now_ms(),
            started_ms: None,
            end: None,
        });
        let (sender, receiver) = mpsc::unbounded_channel();
        self.batch.push(BatchSequence {
            request_id: request_id.to_owned(),
            key,
            record_index,
            priority: chat.priority,
            next_token: chat.resume_from,
            token_limit: chat.max_tokens.max(chat.resume_from + 1),
            events: sender,
        });
        Ok(receiver)
    }
}

async fn whole_answer(
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
    match writer.is_truncated {
        true => Ok(truncated_answer(&answer)),
        false => Ok(json_answer(StatusCode::OK, &answer)),
    }
}

/// Sends the first half of an answer and ends the body without an error.
fn truncated_answer(answer: &Value) -> Response {
    let text = answer.to_string();
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let body = Body::from_stream(stream::iter([Ok::<_, std::io::Error>(half)]));
    let mut response = Response::new(body);
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

fn streamed_answer(events: EventReceiver, writer: AnswerWriter) -> Response {
    let mut response = Response::new(Body::from_stream(stream_chunks(events, writer)));
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Streams the answer as server-sent events.
///
/// A crash ends the stream with an error. Its connection is dropped by another task, possibly after
/// the stream has ended, and a stream that ended without an error would look complete to the
/// caller.
fn stream_chunks(
    events: EventReceiver,
    writer: AnswerWriter,
) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(Some((events, writer)), |state| async move {
        let (mut events, writer) = state?;
        match events.recv().await {
            Some(SequenceEvent::Token(index)) if writer.is_truncated_at(index) => None,
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

    /// Whether a truncated answer ends before this token: after half of its tokens.
    fn is_truncated_at(&self, index: u32) -> bool {
        let middle = self.first_token.midpoint(self.token_limit);
        self.is_truncated && index >= middle
    }

    fn completion(&self, content: &str) -> Value {
        let prompt_tokens = self.prompt.split_whitespace().count() as u64;
        let completion_tokens = u64::from(self.token_limit.saturating_sub(self.first_token));
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
