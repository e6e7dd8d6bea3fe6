//! Answers of backend servers as they are forwarded to callers.

use base::prelude::*;
use bytes::Bytes;
use tokio::sync::mpsc;
use wire::run::HeaderField;

/// Parts of a streamed answer that are buffered for a slow caller.
pub const PART_QUEUE: usize = 256;

/// Part of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerPart {
    /// Bytes of the body.
    Data(Bytes),
    /// The answer is complete.
    End,
    /// The answer ends early for this reason; the caller must not treat it as complete.
    Abort(ResultCode),
}

/// Status and headers of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadParts {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<HeaderField>,
}

impl HeadParts {
    /// Status and headers of a final answer; `None` if the status is not that of one.
    pub fn from_final(status: u32, headers: Vec<HeaderField>) -> Option<Self> {
        let status = u16::try_from(status).ok().filter(|status| (200..=599).contains(status))?;
        Some(Self { status, headers })
    }
}

/// An answer to a caller.
#[derive(Debug)]
pub enum CallAnswer {
    /// An answer that was buffered until it was complete.
    Buffered {
        /// Status and headers.
        head: HeadParts,
        /// Blocks of the complete body.
        body: Vec<Bytes>,
    },
    /// A streamed answer: the head, then parts of the body as they arrive.
    Stream {
        /// Status and headers.
        head: HeadParts,
        /// Parts of the body; the last one is [`AnswerPart::End`] or [`AnswerPart::Abort`].
        parts: mpsc::Receiver<AnswerPart>,
    },
}
