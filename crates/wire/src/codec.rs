//! Frames with a length prefix of four bytes that hold one `prost` message each.

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest frame, in bytes, without its length prefix; a longer one ends the connection.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// A frame could not be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrameError {
    /// The connection failed or the frame was too long.
    #[snafu(display("the connection failed: {source}"))]
    Transport {
        /// Error of the connection or of the frame decoder.
        source: std::io::Error,
    },
    /// The frame does not hold the expected message.
    #[snafu(display("a frame could not be decoded: {source}"))]
    Decode {
        /// Error of the message decoder.
        source: prost::DecodeError,
    },
    /// The peer closed the connection.
    #[snafu(display("the peer closed the connection"))]
    Closed,
}

/// Result of reading or writing a frame.
pub type Result<T, E = FrameError> = std::result::Result<T, E>;

/// A byte stream with the frame codec on top.
pub type FrameStream<S> = Framed<S, LengthDelimitedCodec>;

/// Puts the frame codec on `stream`, with frames of at most [`MAX_FRAME_BYTES`].
pub fn frames<S>(stream: S) -> FrameStream<S>
where
    S: AsyncRead + AsyncWrite,
{
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Writes one message and flushes it.
///
/// # Errors
///
/// Fails if the connection fails or the message is longer than [`MAX_FRAME_BYTES`].
pub async fn write_message<S, M>(frames: &mut FrameStream<S>, message: &M) -> Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
    M: Message,
{
    frames.send(Bytes::from(message.encode_to_vec())).await.context(TransportSnafu)
}

/// Reads one message.
///
/// # Errors
///
/// Fails if the connection ends or fails, or the frame does not hold a message of type `M`.
pub async fn read_message<S, M>(frames: &mut FrameStream<S>) -> Result<M>
where
    S: AsyncRead + AsyncWrite + Unpin,
    M: Message + Default,
{
    let Some(frame) = frames.next().await else { return ClosedSnafu.fail() };
    M::decode(frame.context(TransportSnafu)?).context(DecodeSnafu)
}
