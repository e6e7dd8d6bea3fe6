//! Whether the head of an answer is valid in HTTP/1.1 as that of a final answer.

use http::{HeaderMap, StatusCode, header};
use snafu::Snafu;

/// Longest part of a line that is kept: more than the names that are looked for, and more than a
/// status line up to its status.
const LINE_PREFIX: usize = 32;
/// Position of the status in a status line, behind the protocol and its version.
const STATUS_POSITION: usize = "HTTP/1.1 ".len();

/// Why a head is not that of a final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum HeadDefect {
    /// Only 200 to 599 are final statuses (RFC 9110, section 15).
    #[snafu(display("{status} is not the status of a final answer"))]
    Status {
        /// The status received.
        status: u16,
    },
    /// Receivers that differ in which header they heed see different bodies (RFC 9112, section 6.1).
    #[snafu(display("the answer has both a length and a transfer coding"))]
    LengthAndCoding,
    /// The lengths differ, or one of them is not a number.
    #[snafu(display("the lengths of the answer contradict each other or are no numbers"))]
    Length,
    /// The chunked coding is applied more than once.
    #[snafu(display("the answer is chunked more than once"))]
    ChunkedTwice,
}

/// Framing headers of a head as it was received. An HTTP library drops the length if there is a
/// transfer coding too, so that the headers it returns do not show the contradiction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReceivedFraming {
    /// Whether the head has a `content-length` header.
    pub has_length: bool,
    /// Whether the head has a `transfer-encoding` header.
    pub has_coding: bool,
}

/// The defect of a head; `None` if it is valid.
pub fn find_defect(
    status: StatusCode,
    headers: &HeaderMap,
    framing: ReceivedFraming,
) -> Option<HeadDefect> {
    if !(200..=599).contains(&status.as_u16()) {
        Some(HeadDefect::Status { status: status.as_u16() })
    } else if framing.has_length && framing.has_coding {
        Some(HeadDefect::LengthAndCoding)
    } else if !has_one_length(headers) {
        Some(HeadDefect::Length)
    } else if count_chunked(headers) > 1 {
        Some(HeadDefect::ChunkedTwice)
    } else {
        None
    }
}

/// Whether the headers state at most one length, maybe repeatedly.
fn has_one_length(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONTENT_LENGTH).into_iter();
    let values = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    let mut lengths = values.map(|text| {
        let digits = text.trim_ascii();
        let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
        is_number.then(|| str::from_utf8(digits).ok()?.parse::<u64>().ok()).flatten()
    });
    match lengths.next() {
        None => true,
        Some(None) => false,
        Some(first) => lengths.all(|length| length == first),
    }
}

fn count_chunked(headers: &HeaderMap) -> usize {
    let values = headers.get_all(header::TRANSFER_ENCODING).into_iter();
    let codings = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    codings.filter(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked")).count()
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum ScanStage {
    #[default]
    StatusLine,
    Headers {
        is_interim: bool,
    },
    Done,
}

/// Reads the bytes of a connection up to the end of the final head, and finds its framing headers.
#[derive(Debug, Default)]
pub struct HeadScanner {
    stage: ScanStage,
    line: Vec<u8>,
    framing: ReceivedFraming,
}

impl HeadScanner {
    /// Begins to expect the answer to another request.
    pub fn restart(&mut self) {
        self.stage = ScanStage::StatusLine;
        self.line.clear();
        self.framing = ReceivedFraming::default();
    }

    /// Framing headers of the last head.
    pub fn framing(&self) -> ReceivedFraming {
        self.framing
    }

    /// Reads the next bytes of the connection; those behind the final head are ignored.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.stage == ScanStage::Done {
                return;
            }
            match *byte {
                b'\n' => self.end_line(),
                other if self.line.len() < LINE_PREFIX => self.line.push(other),
                _ => {}
            }
        }
    }

    fn end_line(&mut self) {
        let line = self.line.strip_suffix(b"\r").unwrap_or(&self.line);
        match self.stage {
            // Empty lines may precede a status line.
            ScanStage::StatusLine if line.is_empty() => {}
            ScanStage::StatusLine => {
                let status = line.get(STATUS_POSITION..STATUS_POSITION + 3).unwrap_or_default();
                let is_interim = status.first() == Some(&b'1') && status != b"101";
                self.framing = ReceivedFraming::default();
                self.stage = ScanStage::Headers { is_interim };
            }
            ScanStage::Headers { is_interim: true } if line.is_empty() => {
                self.stage = ScanStage::StatusLine;
            }
            ScanStage::Headers { is_interim: false } if line.is_empty() => {
                self.stage = ScanStage::Done;
            }
            ScanStage::Headers { .. } => {
                let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
                self.framing.has_length |= name.eq_ignore_ascii_case(b"content-length");
                self.framing.has_coding |= name.eq_ignore_ascii_case(b"transfer-encoding");
            }
            ScanStage::Done => {}
        }
        self.line.clear();
    }
}
