//! Relays a streamed answer to the caller and resumes it at another engine if it breaks off.

use std::io;

use base::prelude::*;
use bytes::Bytes;
use dispatch::{Assignment, AttemptFailure, DispatchDecision, HedgeSide};
use events::DecisionEvent;
use futures::{FutureExt, Stream, future::BoxFuture, stream};
use http::{HeaderMap, StatusCode, header};
use hyper::body::Frame;

use crate::{
    attempt::{self, AnswerBodyReader, Attempt, FailedAttempt, ForwardRequest, StreamingAnswer},
    backends::{DispatchTicket, WaitEnd},
    sse::{self, EventSplitter, StreamTail},
    trace::{CallTrace, LongestPause},
};

/// Bytes of an answer, or the reason why it ends early. After an error the connection to the caller
/// ends without the final chunk, so that the answer does not look complete.
pub type RelayItem = io::Result<Frame<Bytes>>;

/// A streamed answer that is being relayed.
pub struct StreamRelay {
    ticket: DispatchTicket,
    trace: CallTrace,
    request: ForwardRequest,
    assignment: Assignment,
    body: Option<AnswerBodyReader>,
    wait_end: BoxFuture<'static, WaitEnd>,
    splitter: Option<EventSplitter>,
    tail: StreamTail,
    has_events: bool,
    frames: u64,
    has_begun: bool,
    first_byte: Option<Duration>,
    last_data: Option<Instant>,
    longest_pause: LongestPause,
    status: StatusCode,
    is_finished: bool,
}

enum ReadOutcome {
    Data(Bytes),
    End,
    Interrupted(String),
}

impl StreamRelay {
    /// Relays `answer`. If `request` may be retried, a stream that breaks off is resumed at
    /// another engine.
    pub fn new(
        ticket: DispatchTicket,
        trace: CallTrace,
        request: ForwardRequest,
        assignment: Assignment,
        answer: StreamingAnswer,
    ) -> Self {
        let splitter = request.may_retry.then(EventSplitter::default);
        let (backends, deadline) = (ticket.backends().clone(), request.deadline);
        let wait_end = async move { backends.wait_for_deadline(deadline).await }.boxed();
        Self {
            ticket,
            trace,
            request,
            assignment,
            body: Some(answer.body),
            wait_end,
            splitter,
            tail: StreamTail::default(),
            has_events: has_events(&answer.headers),
            frames: 0,
            has_begun: false,
            first_byte: None,
            last_data: None,
            longest_pause: LongestPause::default(),
            status: answer.status,
            is_finished: false,
        }
    }

    /// The stream of frames for the caller.
    pub fn into_stream(self) -> impl Stream<Item = RelayItem> {
        stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                ReadOutcome::Data(data) => Some((Ok(Frame::data(data)), Some(relay))),
                ReadOutcome::End => {
                    relay.finish();
                    None
                }
                ReadOutcome::Interrupted(reason) => {
                    relay.abort(&reason);
                    Some((Err(io::Error::other(reason)), None))
                }
            }
        })
    }

    async fn next(&mut self) -> ReadOutcome {
        loop {
            match self.read().await {
                ReadOutcome::Data(data) => {
                    self.record_data(&data);
                    let complete = self.split(data);
                    if !complete.is_empty() {
                        self.frames += 1;
                        return ReadOutcome::Data(complete);
                    }
                }
                ReadOutcome::End if self.has_events && !self.tail.ends_event() => {
                    let reason = "the stream ended inside an event".to_owned();
                    if let Err(reason) = self.resume(reason).await {
                        return ReadOutcome::Interrupted(reason);
                    }
                }
                ReadOutcome::End => match self.splitter.as_mut().map(EventSplitter::take_partial) {
                    Some(partial) if !partial.is_empty() => return ReadOutcome::Data(partial),
                    _ => return ReadOutcome::End,
                },
                ReadOutcome::Interrupted(reason) => {
                    if let Err(reason) = self.resume(reason).await {
                        return ReadOutcome::Interrupted(reason);
                    }
                }
            }
        }
    }

    /// The bytes that are passed on now. A stream with an event that is too long to be buffered is
    /// passed on as it comes, and is not resumed any more if it breaks off.
    fn split(&mut self, data: Bytes) -> Bytes {
        let Some(splitter) = &mut self.splitter else { return data };
        let complete = splitter.push(&data);
        if !splitter.is_too_long() {
            return complete;
        }
        let partial = splitter.take_partial();
        self.splitter = None;
        [complete, partial].concat().into()
    }

    async fn read(&mut self) -> ReadOutcome {
        let Some(body) = &mut self.body else { return ReadOutcome::End };
        let read = tokio::select! {
            read = body.next() => read,
            end = &mut self.wait_end => {
                return ReadOutcome::Interrupted(format!("the answer did not end {end}"));
            }
        };
        match read {
            Ok(Some(data)) => ReadOutcome::Data(data),
            Ok(None) => {
                if let Some(body) = self.body.take() {
                    body.finish();
                }
                ReadOutcome::End
            }
            Err(error) => ReadOutcome::Interrupted(error.to_string()),
        }
    }

    fn record_data(&mut self, data: &[u8]) {
        self.tail.push(data);
        let now = Instant::now();
        // An engine that crashes as it begins to answer may have sent a part of the first event.
        let begins = !self.has_begun && (self.last_data.is_some() || sse::ends_event(data));
        if begins {
            self.has_begun = true;
            self.ticket.record_answer_begun();
        }
        match self.last_data.replace(now) {
            Some(last) => {
                self.longest_pause
                    .update(now.saturating_duration_since(last), self.trace.elapsed());
            }
            None => {
                self.first_byte = Some(self.trace.elapsed());
                self.ticket.record_first_byte();
            }
        }
    }

    /// Resumes the stream elsewhere after it broke off, if it may be resumed.
    async fn resume(&mut self, reason: String) -> Result<(), String> {
        self.body = None;
        if Instant::now() >= self.request.deadline {
            return Err(reason);
        }
        let failure = if self.has_begun { AttemptFailure::Lost } else { AttemptFailure::Severed };
        let Some(splitter) = &mut self.splitter else {
            if !self.has_begun {
                self.ticket.record_failure(failure);
            }
            return Err(reason);
        };
        splitter.discard_partial();
        self.tail.discard_partial(self.frames > 0);
        self.request.last_event_id = splitter.last_id().cloned();
        let failed = FailedAttempt { failure, reason, answer: None };
        self.trace.record_failure(&self.assignment.server, &failed);
        let mut decision = self.ticket.record_failure(failure);
        loop {
            decision = match decision {
                DispatchDecision::Refuse(refusal) => return Err(refusal.reason.to_owned()),
                DispatchDecision::Wait(reason, expected) => {
                    self.trace.record_wait(reason, expected);
                    self.ticket.next_decision().await
                }
                DispatchDecision::Send(assignment) => {
                    match self.ticket.prepare_send(&assignment, &self.trace).await {
                        Err(next) => next,
                        Ok(()) => match self.resume_at(assignment).await {
                            None => return Ok(()),
                            Some(failure) => self.ticket.record_failure(failure),
                        },
                    }
                }
            }
        }
    }

    /// Resumes the stream at another backend server; returns the failure if that is not possible.
    async fn resume_at(&mut self, assignment: Assignment) -> Option<AttemptFailure> {
        self.trace.record_assignment(&assignment);
        let backends = self.ticket.backends().clone();
        let attempt =
            Attempt { key: self.ticket.key(), side: HedgeSide::First, assignment: &assignment };
        let sent = attempt::send(&backends, &self.request, attempt).await;
        self.assignment = assignment;
        match sent {
            Ok(answer)
                if answer.status == self.status
                    && has_events(&answer.headers) == self.has_events =>
            {
                let event = self.request.last_event_id.as_ref();
                let after_event = event.and_then(|event| event.to_str().ok()).unwrap_or_default();
                self.trace.record(&DecisionEvent::StreamResumed {
                    call: self.trace.call(),
                    server: &self.assignment.server,
                    after_event,
                });
                self.body = Some(answer.body);
                None
            }
            Ok(answer) => {
                let reason = format!("answered with {} instead of going on", answer.status);
                let failure = AttemptFailure::Failed;
                let failed = FailedAttempt { failure, reason, answer: None };
                self.trace.record_failure(&self.assignment.server, &failed);
                Some(failure)
            }
            Err(failed) => {
                self.trace.record_failure(&self.assignment.server, &failed);
                Some(failed.failure)
            }
        }
    }

    fn finish(&mut self) {
        self.is_finished = true;
        self.ticket.finish(true);
        let first_byte = self.first_byte.unwrap_or_else(|| self.trace.elapsed());
        self.trace.record_answer(self.status.as_u16(), first_byte, self.longest_pause);
    }

    fn abort(&mut self, reason: &str) {
        self.is_finished = true;
        self.body = None;
        self.ticket.finish(false);
        self.trace.record_broken_answer(&self.assignment.server, reason, self.frames);
    }
}

/// Whether the answer consists of events; so it does unless its headers name another type.
fn has_events(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_none_or(|content_type| content_type.trim().starts_with("text/event-stream"))
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.is_finished {
            self.trace.record_dropped(self.ticket.backends().is_aborting());
        }
    }
}
