//! An open connection to a peer: ordered messages both ways, heartbeats and a silence limit.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use base::prelude::*;
use bytes::Bytes;
use futures::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use prost::Message as _;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{self, MissedTickBehavior},
};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{
    codec::{self, DecodeSnafu, FrameError, FrameStream, TransportSnafu},
    envelope::{Envelope, Message},
    handshake::{self, FleetSecret, HandshakeError, PeerIdentity},
};

/// Messages that may wait for the connection before senders have to wait.
const SEND_QUEUE: usize = 1024;

/// A connection could not be opened or has ended.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The address does not answer.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// Cause.
        source: std::io::Error,
    },
    /// The address does not answer in time.
    #[snafu(display("cannot connect in time"))]
    ConnectTimeout,
    /// The handshake failed.
    #[snafu(display("{source}"))]
    Handshake {
        /// Cause.
        source: HandshakeError,
    },
    /// A frame could not be read.
    #[snafu(display("{source}"))]
    Frame {
        /// Cause.
        source: FrameError,
    },
    /// The peer was silent for too long.
    #[snafu(display("the peer is silent"))]
    Silent,
    /// The connection has ended; nothing was sent.
    #[snafu(display("the connection has ended"))]
    Ended,
}

/// Result of using a connection.
pub type Result<T, E = LinkError> = std::result::Result<T, E>;

/// Times of a connection.
#[derive(Debug, Clone, Copy)]
pub struct LinkOptions {
    /// Time for the connection to open.
    pub connect_timeout: Duration,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Silence after which the peer counts as lost.
    pub silence_limit: Duration,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            heartbeat: Duration::from_secs(1),
            silence_limit: Duration::from_secs(4),
        }
    }
}

/// Bytes that went over a connection, frames' heads included.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    /// Bytes received.
    pub received: AtomicU64,
    /// Bytes sent.
    pub sent: AtomicU64,
}

/// Sends messages in order; clones share the connection.
#[derive(Debug, Clone)]
pub struct LinkSender {
    queue: mpsc::Sender<Envelope>,
}

impl LinkSender {
    /// Queues `message`, waiting while the queue is full.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended. Success does not mean that the peer has the message.
    pub async fn send(&self, message: Message) -> Result<()> {
        self.queue.send(message.into()).await.ok().ok_or(LinkError::Ended)
    }

    /// Queues `message` unless the queue is full or the connection has ended.
    pub fn offer(&self, message: Message) -> bool {
        self.queue.try_send(message.into()).is_ok()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Receives messages in order.
#[derive(Debug)]
pub struct LinkReceiver {
    frames: SplitStream<FrameStream<TcpStream>>,
    silence_limit: Duration,
    traffic: Arc<LinkTraffic>,
    /// Ends the sending half once nobody listens to the peer any more.
    _guard: DropGuard,
}

impl LinkReceiver {
    /// The next message; heartbeats are passed over.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends, the peer is silent for too long or sends garbage.
    pub async fn next(&mut self) -> Result<Message> {
        loop {
            let received = time::timeout(self.silence_limit, self.frames.next()).await;
            let Ok(received) = received else { return SilentSnafu.fail() };
            let frame = received
                .unwrap_or_else(|| Err(std::io::ErrorKind::UnexpectedEof.into()))
                .context(TransportSnafu)
                .context(FrameSnafu)?;
            self.traffic.received.fetch_add(frame.len() as u64, Ordering::Relaxed);
            let envelope = Envelope::decode(frame).context(DecodeSnafu).context(FrameSnafu)?;
            if let Some(message) = envelope.message {
                return Ok(message);
            }
        }
    }
}

/// An open connection.
#[derive(Debug)]
pub struct PeerLink {
    /// Who is at the other end.
    pub peer: PeerIdentity,
    /// Sending half.
    pub sender: LinkSender,
    /// Receiving half.
    pub receiver: LinkReceiver,
    /// Bytes so far.
    pub traffic: Arc<LinkTraffic>,
}

impl PeerLink {
    /// Connects to `address` and proves `me`.
    ///
    /// # Errors
    ///
    /// Fails if the address does not answer in time or the handshake fails.
    pub async fn dial(
        address: SocketAddr,
        secret: &FleetSecret,
        me: &PeerIdentity,
        options: LinkOptions,
    ) -> Result<Self> {
        let connect = time::timeout(options.connect_timeout, TcpStream::connect(address)).await;
        let Ok(connected) = connect else { return ConnectTimeoutSnafu.fail() };
        let stream = connected.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let mut frames = codec::frames(stream);
        let peer = handshake::dial(&mut frames, secret, me).await.context(HandshakeSnafu)?;
        Ok(Self::start(frames, peer, options))
    }

    /// Demands a proof from the peer behind `stream`.
    ///
    /// # Errors
    ///
    /// Fails if the handshake fails.
    pub async fn accept(
        stream: TcpStream,
        secret: &FleetSecret,
        me: &PeerIdentity,
        options: LinkOptions,
    ) -> Result<Self> {
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let mut frames = codec::frames(stream);
        let peer = handshake::accept(&mut frames, secret, me).await.context(HandshakeSnafu)?;
        Ok(Self::start(frames, peer, options))
    }

    fn start(frames: FrameStream<TcpStream>, peer: PeerIdentity, options: LinkOptions) -> Self {
        let (sink, stream) = frames.split();
        let (queue, queued) = mpsc::channel(SEND_QUEUE);
        let traffic = Arc::new(LinkTraffic::default());
        let ended = CancellationToken::new();
        tokio::spawn(write_frames(sink, queued, options, Arc::clone(&traffic), ended.clone()));
        let receiver = LinkReceiver {
            frames: stream,
            silence_limit: options.silence_limit,
            traffic: Arc::clone(&traffic),
            _guard: ended.drop_guard(),
        };
        Self { peer, sender: LinkSender { queue }, receiver, traffic }
    }
}

async fn write_frames(
    mut sink: SplitSink<FrameStream<TcpStream>, Bytes>,
    mut queued: mpsc::Receiver<Envelope>,
    options: LinkOptions,
    traffic: Arc<LinkTraffic>,
    ended: CancellationToken,
) {
    let mut heartbeat = time::interval(options.heartbeat);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let envelope = tokio::select! {
            envelope = queued.recv() => match envelope {
                Some(envelope) => envelope,
                None => break,
            },
            _ = heartbeat.tick() => Envelope::default(),
            () = ended.cancelled(), if !queued.is_closed() => {
                queued.close();
                continue;
            }
        };
        let sent = time::timeout(options.silence_limit, async {
            write_envelope(&mut sink, &envelope, &traffic).await?;
            while let Ok(queued) = queued.try_recv() {
                write_envelope(&mut sink, &queued, &traffic).await?;
            }
            sink.flush().await
        });
        if !matches!(sent.await, Ok(Ok(()))) {
            break;
        }
    }
    let _ = sink.close().await;
}

/// Encodes one message into the buffer of the connection; whatever has queued up meanwhile is sent
/// with it, so that many small messages share a system call.
async fn write_envelope(
    sink: &mut SplitSink<FrameStream<TcpStream>, Bytes>,
    envelope: &Envelope,
    traffic: &LinkTraffic,
) -> std::io::Result<()> {
    let frame = Bytes::from(envelope.encode_to_vec());
    traffic.sent.fetch_add(frame.len() as u64, Ordering::Relaxed);
    sink.feed(frame).await
}
