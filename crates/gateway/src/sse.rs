//! Splits a stream of server-sent events, so that it can go on elsewhere after a whole event.

use bytes::{Bytes, BytesMut};
use http::HeaderValue;

/// Longest event that is held back until it is whole, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Holds back the bytes of an event until it is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<HeaderValue>,
    events: u64,
}

impl EventSplitter {
    /// Takes in bytes and returns the whole events.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial) else {
            // An event of this size is none of ours; it is passed on and cannot be resumed.
            let is_too_long = self.partial.len() > MAX_EVENT;
            return if is_too_long { self.partial.split().freeze() } else { Bytes::new() };
        };
        let whole = self.partial.split_to(end).freeze();
        self.note(&whole);
        whole
    }

    /// The bytes of an event that is not whole.
    pub fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Forgets an event that is not whole; another engine sends it from its start.
    pub fn cut(&mut self) {
        self.partial.clear();
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&HeaderValue> {
        self.last_id.as_ref()
    }

    /// Whole events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn note(&mut self, whole: &[u8]) {
        for line in whole.split(|byte| *byte == b'\n') {
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

/// Where the last blank line ends.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}
