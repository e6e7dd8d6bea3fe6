//! An attempt that runs at a side process, until its answer has ended.

use std::sync::Arc;

use base::{ids::AttemptId, prelude::*};
use once::{CrashId, CrashedRequest, RequestFingerprint};
use routing::{AnswerStream, FrameBody, FrameOrigin, StreamAction};
use tokio::{sync::mpsc, time};
use wire::{
    Message, PeerIdentity,
    credit::CreditUse,
    run::{AnswerChunk, AnswerEnd, RunCancel},
};

use super::{AttemptEnd, REFUSAL_MARGIN, credit::HeldCredit};
use crate::{
    answers::AnswerPart, calls::CallerCall, peers::PeerHandle, process::EntryState, runs::RunEvent,
};

/// Data for the report to the quarantine at the end of a run.
pub(super) struct QuarantineContext {
    pub(super) call: Arc<CallerCall>,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) is_alone: bool,
}

impl QuarantineContext {
    fn crashed_request(&self, end: &AnswerEnd) -> CrashedRequest {
        let target = self.call.wire_target();
        let model = if target.model.is_empty() { target.service } else { target.model };
        let incarnation = ProcessIncarnation(end.incarnation);
        CrashedRequest {
            fingerprint: self.fingerprint,
            customer: self.call.rights.customer.id.to_string(),
            model,
            crash: CrashId { incarnation, number: end.crash },
        }
    }
}

/// How the credit was used, by the result code of the answer.
fn credit_use(end: &AnswerEnd) -> CreditUse {
    match ResultCode::from_number(end.code) {
        Some(ResultCode::Success) => CreditUse::Served,
        Some(ResultCode::CallerCancelled | ResultCode::AnswerTimeout) => CreditUse::Withdrawn,
        _ => CreditUse::Failed,
    }
}

/// An attempt at a side process; cancelled if it is dropped before its answer has ended.
pub(super) struct ActiveRun {
    state: Arc<EntryState>,
    id: AttemptId,
    side: PeerHandle,
    pub(super) credit: HeldCredit,
    events: mpsc::UnboundedReceiver<RunEvent>,
    quarantine: QuarantineContext,
    pub(super) epoch: u64,
    stream: AnswerStream,
    pub(super) is_open: bool,
}

impl ActiveRun {
    pub(super) fn register(
        state: Arc<EntryState>,
        id: AttemptId,
        side: &PeerHandle,
        credit: HeldCredit,
        quarantine: QuarantineContext,
    ) -> Self {
        let peer: &PeerIdentity = &side.peer;
        let events = state.runs.register(id, peer);
        let side = side.clone();
        let origin = FrameOrigin { id, incarnation: peer.incarnation };
        let stream = AnswerStream::new(origin);
        Self { state, id, side, credit, events, quarantine, epoch: 0, stream, is_open: true }
    }

    pub(super) async fn next_event(&mut self) -> RunEvent {
        let event = self.events.recv().await.unwrap_or(RunEvent::Lost);
        if event == RunEvent::Lost {
            self.is_open = false;
            self.credit.used = CreditUse::Failed;
        }
        if let RunEvent::End(end) = &event {
            self.credit.used = credit_use(end);
            self.update_quarantine(end);
        }
        event
    }

    fn update_quarantine(&self, end: &AnswerEnd) {
        let quarantine = &self.state.quarantine;
        if end.crash > 0 {
            quarantine.record_crash(self.quarantine.crashed_request(end));
        } else if self.quarantine.is_alone && end.code == ResultCode::Success.number() {
            quarantine.clear_suspect(self.quarantine.fingerprint);
        }
    }

    /// The next part of the body; an unexpected frame aborts the answer.
    pub(super) async fn next_part(&mut self) -> AnswerPart {
        loop {
            let event = self.next_event().await;
            if matches!(event, RunEvent::End(_)) {
                self.is_open = false;
            }
            let action = self.apply_frame(event);
            match action {
                Some(StreamAction::SendData(data)) => return AnswerPart::Data(data),
                Some(StreamAction::Complete) => return AnswerPart::End,
                Some(StreamAction::Abort(code)) => return AnswerPart::Abort(code),
                Some(StreamAction::SendHead) | None => {}
            }
        }
    }

    pub(super) fn apply_frame(&mut self, event: RunEvent) -> Option<StreamAction> {
        let (incarnation, body) = match event {
            RunEvent::Head(head) => (head.incarnation, FrameBody::Head),
            RunEvent::Chunk(chunk) => {
                let AnswerChunk { incarnation, offset, data, .. } = chunk;
                (incarnation, FrameBody::Chunk { offset, data })
            }
            RunEvent::End(end) => {
                let code = ResultCode::from_number(end.code).unwrap_or(ResultCode::AnswerCut);
                (end.incarnation, FrameBody::End { length: end.length, code })
            }
            RunEvent::Lost => (self.side.peer.incarnation.0, FrameBody::Lost),
            RunEvent::Refused(_) | RunEvent::CancelAck { .. } | RunEvent::Unread => {
                return Some(StreamAction::Abort(ResultCode::AnswerCut));
            }
        };
        let origin = FrameOrigin { id: self.id, incarnation: ProcessIncarnation(incarnation) };
        self.stream.apply_frame(origin, body)
    }

    /// Cancels the attempt because the deadline has passed, and waits briefly to learn whether it
    /// ran.
    pub(super) async fn withdraw(mut self) -> AttemptEnd {
        self.cancel();
        let ack = time::timeout(REFUSAL_MARGIN, self.next_event()).await;
        match ack {
            Ok(RunEvent::CancelAck { may_have_run: false }) => {
                AttemptEnd::NotRun(ResultCode::DeadlinePassed)
            }
            Ok(RunEvent::Refused(code)) if code.run_state() == RunState::NotRun => {
                AttemptEnd::NotRun(code)
            }
            _ => AttemptEnd::MayHaveRun(ResultCode::AnswerTimeout),
        }
    }

    fn cancel(&mut self) {
        self.is_open = false;
        let cancel = RunCancel {
            request: self.id.request_bytes(),
            attempt: self.id.attempt,
            incarnation: self.side.peer.incarnation.0,
            epoch: self.epoch,
        };
        self.side.sender.offer(Message::RunCancel(cancel));
    }
}

impl Drop for ActiveRun {
    fn drop(&mut self) {
        if self.is_open {
            self.cancel();
        }
        self.state.runs.remove(self.id);
    }
}
