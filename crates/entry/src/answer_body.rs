//! The body of a response to a caller, in pieces whose reading is watched.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    vec,
};

use base::prelude::*;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::{
    answers::AnswerPart, refusals::CallRefusal, server::InFlightGuard, unread::UnreadMark,
};

/// Largest piece that is given to a connection at once. Each piece that its caller takes counts as
/// progress.
const PIECE: usize = 16 * 1_024;

/// Where the bytes come from after those at hand.
enum AnswerSource {
    /// Blocks of a complete answer.
    Blocks(vec::IntoIter<Bytes>),
    /// Further parts arrive until the answer ends.
    Stream { id: RequestId, parts: mpsc::Receiver<AnswerPart>, _guard: Arc<InFlightGuard> },
}

/// Body of an answer.
pub struct AnswerBody {
    rest: Bytes,
    source: AnswerSource,
    /// `None` if the connection is not known.
    unread: Option<UnreadMark>,
}

impl AnswerBody {
    /// An answer that is complete.
    pub fn buffered(blocks: Vec<Bytes>, unread: Option<UnreadMark>) -> Self {
        Self { rest: Bytes::new(), source: AnswerSource::Blocks(blocks.into_iter()), unread }
    }

    /// An answer that arrives in parts. If it is aborted, it ends with an event that contains the
    /// refusal and without the event that marks a complete answer.
    pub fn stream(
        id: RequestId,
        parts: mpsc::Receiver<AnswerPart>,
        guard: Arc<InFlightGuard>,
        unread: Option<UnreadMark>,
    ) -> Self {
        let source = AnswerSource::Stream { id, parts, _guard: guard };
        Self { rest: Bytes::new(), source, unread }
    }

    /// Fills `rest`; it stays empty at the end of the answer.
    fn poll_rest(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.rest.is_empty() {
            let (id, parts) = match &mut self.source {
                AnswerSource::Stream { id, parts, .. } => (*id, parts),
                AnswerSource::Blocks(blocks) => match blocks.next() {
                    Some(block) => {
                        self.rest = block;
                        continue;
                    }
                    None => break,
                },
            };
            let part = ready!(parts.poll_recv(context));
            match part.unwrap_or(AnswerPart::Abort(ResultCode::AnswerCut)) {
                AnswerPart::Data(data) => self.rest = data,
                AnswerPart::End => self.source = AnswerSource::Blocks(Vec::new().into_iter()),
                AnswerPart::Abort(code) => {
                    let mut event = b"data: ".to_vec();
                    event.extend(CallRefusal::from(code).body(id));
                    event.extend(b"\n\n");
                    self.rest = Bytes::from(event);
                    self.source = AnswerSource::Blocks(Vec::new().into_iter());
                }
            }
        }
        Poll::Ready(())
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let polled = self.poll_rest(context);
        if polled.is_pending() || self.rest.is_empty() {
            // The caller has taken all that there is.
            if let Some(unread) = &mut self.unread {
                unread.end();
            }
            return polled.map(|()| None);
        }
        if let Some(unread) = &mut self.unread {
            unread.begin();
        }
        let length = self.rest.len().min(PIECE);
        let piece = self.rest.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    // `is_end_stream` stays false until the end was polled: an HTTP/2 connection drops the body
    // otherwise before the caller has taken the last piece, and its reading is no longer watched.

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            AnswerSource::Blocks(blocks) => {
                let length = blocks.as_slice().iter().map(Bytes::len).sum::<usize>();
                SizeHint::with_exact((self.rest.len() + length) as u64)
            }
            AnswerSource::Stream { .. } => SizeHint::default(),
        }
    }
}
