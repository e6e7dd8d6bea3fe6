//! Splits a stream of server-sent events at event boundaries, so that another engine can resume it
//! after the last complete event.

use bytes::{Bytes, BytesMut};
use http::HeaderValue;

/// Longest event that is buffered until it is complete, in bytes. Events hold a few tokens, and a
/// VM buffers one for each of its streams.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// Bytes of the longest end of an event.
const MAX_END_BYTES: usize = 4;

/// Buffers the bytes of an event until it is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Length of the start of `partial` in which no event ends.
    searched: usize,
    last_id: Option<HeaderValue>,
    events: u64,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are complete now; may be empty.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let searched = self.searched.saturating_sub(MAX_END_BYTES);
        let Some(end) = last_event_end(&self.partial[searched..]) else {
            self.searched = self.partial.len();
            return Bytes::new();
        };
        let complete = self.partial.split_to(searched + end).freeze();
        self.searched = self.partial.len();
        self.record_ids(&complete);
        complete
    }

    /// Whether the incomplete event is longer than one that is buffered.
    pub fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Takes the buffered bytes of an incomplete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.searched = 0;
        self.partial.split().freeze()
    }

    /// Discards the buffered bytes of an incomplete event; the engine that resumes the stream sends
    /// the event from its start.
    pub fn discard_partial(&mut self) {
        self.searched = 0;
        self.partial.clear();
    }

    /// Id of the last complete event; `None` before the first one with an id.
    pub fn last_id(&self) -> Option<&HeaderValue> {
        self.last_id.as_ref()
    }

    /// Number of complete events with an id so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn record_ids(&mut self, complete: &[u8]) {
        for line in complete.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(id) = line.strip_prefix(b"id:") {
                self.events += 1;
                let id = id.strip_prefix(b" ").unwrap_or(id);
                if let Ok(id) = HeaderValue::from_bytes(id) {
                    self.last_id = Some(id);
                }
            }
        }
    }
}

/// The last bytes of a stream, which show whether it ends between two events.
#[derive(Debug, Default)]
pub struct StreamTail {
    last: Vec<u8>,
}

impl StreamTail {
    /// Discards the bytes of an incomplete event after whole ones.
    pub fn discard_partial(&mut self, has_events: bool) {
        self.last = if has_events { b"\n\n".to_vec() } else { Vec::new() };
    }

    /// Adds bytes of the stream.
    pub fn push(&mut self, data: &[u8]) {
        let data = &data[data.len().saturating_sub(MAX_END_BYTES)..];
        let excess = (self.last.len() + data.len()).saturating_sub(MAX_END_BYTES);
        self.last.drain(..excess);
        self.last.extend_from_slice(data);
    }

    /// Whether the bytes so far end with a blank line, as a whole event does.
    pub fn ends_event(&self) -> bool {
        let line = without_line_end(&self.last);
        line.is_some_and(|line| without_line_end(line).is_some())
    }
}

fn without_line_end(bytes: &[u8]) -> Option<&[u8]> {
    let ends: [&[u8]; 3] = [b"\r\n", b"\n", b"\r"];
    ends.iter().find_map(|end| bytes.strip_suffix(*end))
}

/// Whether an event ends within `bytes`.
pub fn ends_event(bytes: &[u8]) -> bool {
    last_event_end(bytes).is_some()
}

/// Index after the blank line that ends the last complete event; `None` without such a line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}
