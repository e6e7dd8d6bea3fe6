//! An answer on its way to the caller.

use base::prelude::*;
use bytes::Bytes;
use tokio::sync::mpsc;
use wire::run::{AnswerHead, HeaderField};

/// Parts of an answer that may wait for a slow caller.
pub const PART_QUEUE: usize = 256;

/// Part of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerPart {
    /// Bytes of the body.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// The answer ends early; the caller must not take it for whole.
    Abort(ResultCode),
}

/// Status and headers of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadParts {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<HeaderField>,
}

impl From<AnswerHead> for HeadParts {
    fn from(head: AnswerHead) -> Self {
        Self { status: head.status as u16, headers: head.headers }
    }
}

/// An answer to a caller.
#[derive(Debug)]
pub enum CallAnswer {
    /// The whole answer.
    Whole {
        /// Status and headers.
        head: HeadParts,
        /// Body.
        body: Bytes,
    },
    /// The head and the parts that follow.
    Stream {
        /// Status and headers.
        head: HeadParts,
        /// Parts, the last of which is an end or a cut.
        parts: mpsc::Receiver<AnswerPart>,
    },
}
