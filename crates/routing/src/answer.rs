//! Assembly of an answer from the frames of a side process.

use base::{ids::AttemptId, prelude::*};
use bytes::{Buf, Bytes};

/// Where a frame comes from and what it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameOrigin {
    /// Attempt that the frame answers.
    pub id: AttemptId,
    /// Life of the side process that sent it.
    pub incarnation: ProcessIncarnation,
}

/// What a frame carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameBody {
    /// Status and headers have arrived.
    Head,
    /// Bytes from `offset` on.
    Chunk {
        /// Position of the first byte in the answer.
        offset: u64,
        /// Bytes.
        data: Bytes,
    },
    /// The answer has ended.
    End {
        /// Length of the whole answer, in bytes.
        length: u64,
        /// Success, or why it ended early.
        code: ResultCode,
    },
    /// The side process was lost.
    Lost,
}

/// What to do with the caller's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamAction {
    /// Show the head.
    ShowHead,
    /// Show these bytes, which follow those shown before.
    ShowData(Bytes),
    /// The answer is whole.
    Complete,
    /// The answer ends here and must not be taken for whole.
    Cut(ResultCode),
}

/// The safeguards of a stream; all are on except in tests that show what each prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamGuards {
    /// Frames of other attempts and incarnations are dropped.
    pub origin: bool,
    /// Offsets are compared.
    pub offsets: bool,
    /// The length told at the end is compared.
    pub length: bool,
}

impl Default for StreamGuards {
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

/// One answer under assembly.
#[derive(Debug)]
pub struct AnswerStream {
    guards: StreamGuards,
    origin: FrameOrigin,
    stage: StreamStage,
    offset: u64,
}

impl AnswerStream {
    /// Waits for the answer of `origin`.
    pub fn new(origin: FrameOrigin) -> Self {
        Self::with_guards(origin, StreamGuards::default())
    }

    /// A stream with some safeguards off, to show what they prevent.
    pub fn with_guards(origin: FrameOrigin, guards: StreamGuards) -> Self {
        Self { guards, origin, stage: StreamStage::Head, offset: 0 }
    }

    /// Takes one frame; `None` if nothing is to be done for the caller.
    ///
    /// After [`StreamAction::Complete`] or [`StreamAction::Cut`] every frame is ignored.
    pub fn take(&mut self, origin: FrameOrigin, body: FrameBody) -> Option<StreamAction> {
        let is_foreign = self.guards.origin && origin != self.origin;
        if is_foreign || self.has_ended() {
            return None;
        }
        match (self.stage, body) {
            (_, FrameBody::Lost) => Some(self.cut(ResultCode::BackendLost)),
            (StreamStage::Head, FrameBody::Head) => {
                self.stage = StreamStage::Body;
                Some(StreamAction::ShowHead)
            }
            (StreamStage::Head, FrameBody::Chunk { .. }) => Some(self.cut(ResultCode::AnswerCut)),
            (StreamStage::Body, FrameBody::Chunk { offset, data }) => self.append(offset, data),
            (stage, FrameBody::End { length, code }) => Some(self.end(stage, length, code)),
            (_, FrameBody::Head) | (StreamStage::Ended, _) => None,
        }
    }

    /// Whether the answer has ended, whole or cut.
    pub fn has_ended(&self) -> bool {
        self.stage == StreamStage::Ended
    }

    fn append(&mut self, offset: u64, mut data: Bytes) -> Option<StreamAction> {
        if self.guards.offsets && offset > self.offset {
            return Some(self.cut(ResultCode::AnswerCut));
        }
        if self.guards.offsets {
            let repeated = (self.offset - offset).min(data.len() as u64) as usize;
            data.advance(repeated);
        }
        if data.is_empty() {
            return None;
        }
        self.offset += data.len() as u64;
        Some(StreamAction::ShowData(data))
    }

    fn end(&mut self, stage: StreamStage, length: u64, code: ResultCode) -> StreamAction {
        if code != ResultCode::Success {
            return self.cut(code);
        }
        let is_whole = stage == StreamStage::Body && length == self.offset;
        if self.guards.length && !is_whole {
            return self.cut(ResultCode::AnswerCut);
        }
        self.stage = StreamStage::Ended;
        StreamAction::Complete
    }

    fn cut(&mut self, code: ResultCode) -> StreamAction {
        self.stage = StreamStage::Ended;
        StreamAction::Cut(code)
    }
}
