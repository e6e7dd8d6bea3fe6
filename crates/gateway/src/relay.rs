//! A streamed answer on its way to the caller.

use std::io;

use base::prelude::*;
use bytes::Bytes;
use dispatch::{Assignment, AttemptFailure, DispatchDecision};
use events::DecisionEvent;
use futures::{FutureExt, Stream, future::BoxFuture, stream};
use http::StatusCode;
use hyper::body::Frame;

use crate::{
    attempt::{self, AnswerRest, FailedAttempt, ForwardRequest, OpenAnswer},
    backends::Ticket,
    sse::EventSplitter,
    story::{CallStory, LongestPause},
};

/// Bytes of an answer, or the reason why it ends early. An error makes the connection to the caller
/// end without the mark of a whole answer.
pub type RelayItem = io::Result<Frame<Bytes>>;

/// A streamed answer.
pub struct StreamRelay {
    ticket: Ticket,
    story: CallStory,
    request: ForwardRequest,
    assignment: Assignment,
    rest: Option<AnswerRest>,
    expired: BoxFuture<'static, ()>,
    splitter: Option<EventSplitter>,
    frames: u64,
    first: Option<Duration>,
    last: Option<Instant>,
    pause: LongestPause,
    status: StatusCode,
    is_done: bool,
}

enum Step {
    Data(Bytes),
    End,
    Broken(String),
}

impl StreamRelay {
    /// Relays `answer`. A stream that is resumable goes on at another engine if it breaks off.
    pub fn new(
        ticket: Ticket,
        story: CallStory,
        request: ForwardRequest,
        assignment: Assignment,
        answer: OpenAnswer,
    ) -> Self {
        let splitter = request.may_repeat.then(EventSplitter::default);
        let (backends, deadline) = (ticket.backends().clone(), request.deadline);
        let expired = async move { backends.expired(deadline).await }.boxed();
        Self {
            ticket,
            story,
            request,
            assignment,
            rest: Some(answer.body),
            expired,
            splitter,
            frames: 0,
            first: None,
            last: None,
            pause: LongestPause::default(),
            status: answer.status,
            is_done: false,
        }
    }

    /// The bytes for the caller.
    pub fn into_stream(self) -> impl Stream<Item = RelayItem> {
        stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Step::Data(data) => Some((Ok(Frame::data(data)), Some(relay))),
                Step::End => {
                    relay.end();
                    None
                }
                Step::Broken(reason) => {
                    relay.break_off(&reason);
                    Some((Err(io::Error::other(reason)), None))
                }
            }
        })
    }

    async fn next(&mut self) -> Step {
        loop {
            match self.read().await {
                Step::Data(data) => {
                    self.note_data();
                    let whole = match &mut self.splitter {
                        Some(splitter) => splitter.push(&data),
                        None => data,
                    };
                    if !whole.is_empty() {
                        self.frames += 1;
                        return Step::Data(whole);
                    }
                }
                Step::End => match self.splitter.as_mut().map(EventSplitter::rest) {
                    Some(rest) if !rest.is_empty() => return Step::Data(rest),
                    _ => return Step::End,
                },
                Step::Broken(reason) => {
                    if let Err(reason) = self.resume(reason).await {
                        return Step::Broken(reason);
                    }
                }
            }
        }
    }

    async fn read(&mut self) -> Step {
        let Some(rest) = &mut self.rest else { return Step::End };
        let read = tokio::select! {
            read = rest.next() => read,
            () = &mut self.expired => {
                return Step::Broken("the answer did not end in time".to_owned());
            }
        };
        match read {
            Ok(Some(data)) => Step::Data(data),
            Ok(None) => {
                if let Some(rest) = self.rest.take() {
                    rest.finish();
                }
                Step::End
            }
            Err(error) => Step::Broken(error.to_string()),
        }
    }

    fn note_data(&mut self) {
        let now = Instant::now();
        match self.last.replace(now) {
            Some(last) => {
                self.pause.note(now.saturating_duration_since(last), self.story.held());
            }
            None => {
                self.first = Some(self.story.held());
                self.ticket.start();
            }
        }
    }

    async fn resume(&mut self, reason: String) -> Result<(), String> {
        self.rest = None;
        let Some(splitter) = &mut self.splitter else { return Err(reason) };
        if Instant::now() >= self.request.deadline {
            return Err(reason);
        }
        splitter.cut();
        self.request.after_event = splitter.last_id().cloned();
        let failed = FailedAttempt { failure: AttemptFailure::Lost, reason, answer: None };
        self.story.fail(&self.assignment.server, &failed);
        let mut verdict = self.ticket.fail(AttemptFailure::Lost);
        loop {
            verdict = match verdict {
                DispatchDecision::Refuse(refusal) => return Err(refusal.reason.to_owned()),
                DispatchDecision::Wait(reason, expected) => {
                    self.story.wait(reason, expected);
                    self.ticket.next().await
                }
                DispatchDecision::Send(assignment) => {
                    match self.ticket.go(&assignment, &self.story).await {
                        Err(next) => next,
                        Ok(()) => match self.go_on(assignment).await {
                            None => return Ok(()),
                            Some(failure) => self.ticket.fail(failure),
                        },
                    }
                }
            }
        }
    }

    /// Lets another engine go on; returns the failure if it does not.
    async fn go_on(&mut self, assignment: Assignment) -> Option<AttemptFailure> {
        self.story.assign(&assignment);
        let backends = self.ticket.backends().clone();
        let sent = attempt::send(&backends, &self.request, &assignment).await;
        self.assignment = assignment;
        match sent {
            Ok(answer) if answer.status == self.status => {
                let event = self.request.after_event.as_ref();
                let after_event = event.and_then(|event| event.to_str().ok()).unwrap_or_default();
                self.story.record(&DecisionEvent::StreamResumed {
                    call: self.story.call(),
                    server: &self.assignment.server,
                    after_event,
                });
                self.rest = Some(answer.body);
                None
            }
            Ok(answer) => {
                let reason = format!("answered with {} instead of going on", answer.status);
                let failure = AttemptFailure::Failed;
                let failed = FailedAttempt { failure, reason, answer: None };
                self.story.fail(&self.assignment.server, &failed);
                Some(failure)
            }
            Err(failed) => {
                self.story.fail(&self.assignment.server, &failed);
                Some(failed.failure)
            }
        }
    }

    fn end(&mut self) {
        self.is_done = true;
        self.ticket.finish(true);
        let first = self.first.unwrap_or_else(|| self.story.held());
        self.story.answer(self.status.as_u16(), first, self.pause);
    }

    fn break_off(&mut self, reason: &str) {
        self.is_done = true;
        self.rest = None;
        self.ticket.finish(false);
        self.story.break_off(&self.assignment.server, reason, self.frames);
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.is_done {
            self.story.leave();
        }
    }
}
