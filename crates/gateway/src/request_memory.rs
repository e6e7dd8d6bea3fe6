//! What a request holds beside its body and beside the buffers of its connection.

use base::prelude::*;
use http::{HeaderMap, request::Parts};

/// State of a request that is served.
const REQUEST_STATE: ByteSize = ByteSize(16 * 1024);
/// Smallest read buffer. The one that a head lies in is kept as long as the head.
const READ_BUFFER: ByteSize = ByteSize(8 * 1024);
/// One header in the table of the request and in that of its copy for a backend server.
const HEADER_ENTRY: ByteSize = ByteSize(2 * 144);
/// What stands between the name and the value of a header, and at the end of its line.
const HEADER_PUNCTUATION: usize = 4;

/// Memory of the request with this head.
pub fn of_head(parts: &Parts) -> ByteSize {
    let buffer = head_length(parts).next_multiple_of(READ_BUFFER.0).max(READ_BUFFER.0);
    REQUEST_STATE.plus(ByteSize(buffer)).plus(table_memory(&parts.headers))
}

fn head_length(parts: &Parts) -> u64 {
    let target = parts.uri.path_and_query().map_or(0, |target| target.as_str().len());
    let lines = parts.headers.iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + HEADER_PUNCTUATION);
    (target + lines.sum::<usize>()) as u64
}

fn table_memory(headers: &HeaderMap) -> ByteSize {
    ByteSize(HEADER_ENTRY.0 * headers.capacity() as u64)
}
