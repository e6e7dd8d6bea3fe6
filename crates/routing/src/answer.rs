//! Assembly of an answer from the frames that a side process sends.

use base::{ids::AttemptId, prelude::*};
use bytes::{Buf, Bytes};

/// Attempt and sender of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameOrigin {
    /// Attempt that the frame answers.
    pub id: AttemptId,
    /// Incarnation of the side process that sent it.
    pub incarnation: ProcessIncarnation,
}

/// Content of a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameBody {
    /// Status and headers of the answer.
    Head,
    /// Part of the body.
    Chunk {
        /// Position of the first byte in the body.
        offset: u64,
        /// Content of the part.
        data: Bytes,
    },
    /// The answer has ended.
    End {
        /// Length of the complete body, in bytes.
        length: u64,
        /// [`ResultCode::Success`], or why the answer ended early.
        code: ResultCode,
    },
    /// The connection to the side process was lost.
    Lost,
}

/// Next step for the answer to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamAction {
    /// Send status and headers.
    SendHead,
    /// Send these bytes, which follow those sent before.
    SendData(Bytes),
    /// End the answer: it is complete.
    Complete,
    /// Abort the answer for this reason, so that the caller sees that it is incomplete.
    Abort(ResultCode),
}

/// Checks of an [`AnswerStream`]; tests turn single ones off to show what each prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamChecks {
    /// Frames of other attempts and incarnations are dropped.
    pub origin: bool,
    /// Repeated bytes are skipped, and a gap aborts the answer.
    pub offsets: bool,
    /// The length in the last frame is compared with the bytes received.
    pub length: bool,
}

impl Default for StreamChecks {
    fn default() -> Self {
        Self { origin: true, offsets: true, length: true }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamStage {
    Head,
    Body,
    Ended,
}

/// Assembly of one answer from its frames.
#[derive(Debug)]
pub struct AnswerStream {
    checks: StreamChecks,
    origin: FrameOrigin,
    stage: StreamStage,
    offset: u64,
}

impl AnswerStream {
    /// Creates a stream for the answer of `origin`.
    pub fn new(origin: FrameOrigin) -> Self {
        Self::with_checks(origin, StreamChecks::default())
    }

    /// Creates a stream with the given checks; other than the default only in tests.
    pub fn with_checks(origin: FrameOrigin, checks: StreamChecks) -> Self {
        Self { checks, origin, stage: StreamStage::Head, offset: 0 }
    }

    /// Applies one frame; `None` if nothing is to be sent to the caller.
    ///
    /// After [`StreamAction::Complete`] or [`StreamAction::Abort`] every frame is ignored.
    pub fn apply_frame(&mut self, origin: FrameOrigin, body: FrameBody) -> Option<StreamAction> {
        let is_foreign = self.checks.origin && origin != self.origin;
        if is_foreign || self.has_ended() {
            return None;
        }
        match (self.stage, body) {
            (_, FrameBody::Lost) => Some(self.abort(ResultCode::BackendLost)),
            (StreamStage::Head, FrameBody::Head) => {
                self.stage = StreamStage::Body;
                Some(StreamAction::SendHead)
            }
            (StreamStage::Head, FrameBody::Chunk { .. }) => Some(self.abort(ResultCode::AnswerCut)),
            (StreamStage::Body, FrameBody::Chunk { offset, data }) => self.append(offset, data),
            (stage, FrameBody::End { length, code }) => Some(self.end(stage, length, code)),
            (_, FrameBody::Head) | (StreamStage::Ended, _) => None,
        }
    }

    /// Whether the answer was completed or aborted.
    pub fn has_ended(&self) -> bool {
        self.stage == StreamStage::Ended
    }

    fn append(&mut self, offset: u64, mut data: Bytes) -> Option<StreamAction> {
        if self.checks.offsets && offset > self.offset {
            return Some(self.abort(ResultCode::AnswerCut));
        }
        if self.checks.offsets {
            let repeated = (self.offset - offset).min(data.len() as u64) as usize;
            data.advance(repeated);
        }
        if data.is_empty() {
            return None;
        }
        self.offset += data.len() as u64;
        Some(StreamAction::SendData(data))
    }

    fn end(&mut self, stage: StreamStage, length: u64, code: ResultCode) -> StreamAction {
        if code != ResultCode::Success {
            return self.abort(code);
        }
        let is_complete = stage == StreamStage::Body && length == self.offset;
        if self.checks.length && !is_complete {
            return self.abort(ResultCode::AnswerCut);
        }
        self.stage = StreamStage::Ended;
        StreamAction::Complete
    }

    fn abort(&mut self, code: ResultCode) -> StreamAction {
        self.stage = StreamStage::Ended;
        StreamAction::Abort(code)
    }
}
