//! An open connection to a peer: ordered messages in both directions, heartbeats and a heartbeat
//! timeout.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
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
use tokio::{net::TcpStream, sync::mpsc, time};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{
    codec::{self, DecodeSnafu, FrameError, FrameStream, TransportSnafu},
    envelope::{Envelope, Message},
    handshake::{self, FleetSecret, HandshakeError, PeerIdentity},
};

/// Number of messages that the send queue of a connection holds before senders have to wait.
const SEND_QUEUE: usize = 1024;

/// A connection could not be opened or has ended.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The connection could not be opened.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The connection did not open within [`LinkOptions::connect_timeout`].
    #[snafu(display("connecting timed out"))]
    ConnectTimeout,
    /// The handshake failed.
    #[snafu(display("{source}"))]
    Handshake {
        /// Reason for which the handshake failed.
        source: HandshakeError,
    },
    /// A frame could not be read.
    #[snafu(display("{source}"))]
    Frame {
        /// Error of the connection or of the decoder.
        source: FrameError,
    },
    /// No message or heartbeat was received within [`HeartbeatTiming::timeout`].
    #[snafu(display("no heartbeat was received in time"))]
    HeartbeatTimeout,
    /// The connection has ended; the message was not sent.
    #[snafu(display("the connection has ended"))]
    Ended,
}

/// Result of using a connection.
pub type Result<T, E = LinkError> = std::result::Result<T, E>;

/// Heartbeat interval of a connection, and the timeout after which the peer counts as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatTiming {
    /// Time between heartbeats while no messages are sent.
    pub interval: Duration,
    /// Time without a message or heartbeat after which the peer counts as lost.
    pub timeout: Duration,
}

/// Timeouts and heartbeat intervals of a connection.
///
/// A connection is busy until [`busy_duration`](Self::busy_duration) after its last message other
/// than a heartbeat, then idle. Idle connections send fewer heartbeats, so that thousands of them
/// cost little.
#[derive(Debug, Clone, Copy)]
pub struct LinkOptions {
    /// Time limit for opening the connection, without the handshake.
    pub connect_timeout: Duration,
    /// Heartbeats of a busy connection.
    pub busy: HeartbeatTiming,
    /// Heartbeats of an idle connection.
    pub idle: HeartbeatTiming,
    /// Time after the last message for which a sender keeps the busy heartbeat interval.
    ///
    /// A receiver switches to the idle timeout earlier, by one busy timeout, so that it never
    /// expects busy heartbeats that the sender has ceased to send.
    pub busy_duration: Duration,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            busy: HeartbeatTiming {
                interval: Duration::from_secs(1),
                timeout: Duration::from_secs(4),
            },
            idle: HeartbeatTiming {
                interval: Duration::from_secs(5),
                timeout: Duration::from_secs(16),
            },
            busy_duration: Duration::from_secs(12),
        }
    }
}

/// Time of the last message on a connection, in either direction; heartbeats do not count.
#[derive(Debug)]
struct LinkActivity {
    options: LinkOptions,
    last: Mutex<Instant>,
}

impl LinkActivity {
    fn new(options: LinkOptions) -> Self {
        Self { options, last: Mutex::new(Instant::now()) }
    }

    fn record_message(&self) {
        *self.last.lock().expect("no thread panics while holding the lock") = Instant::now();
    }

    fn idle_time(&self) -> Duration {
        self.last.lock().expect("no thread panics while holding the lock").elapsed()
    }

    fn heartbeat_interval(&self) -> Duration {
        let LinkOptions { busy, idle, busy_duration, .. } = self.options;
        if self.idle_time() < busy_duration { busy.interval } else { idle.interval }
    }

    fn receive_timeout(&self) -> Duration {
        let LinkOptions { busy, idle, busy_duration, .. } = self.options;
        let expects_busy_interval = self.idle_time() + busy.timeout < busy_duration;
        if expects_busy_interval { busy.timeout } else { idle.timeout }
    }
}

/// Traffic counters of a connection; bytes do not include the length prefixes of frames.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    /// Bytes received since the handshake.
    pub received_bytes: AtomicU64,
    /// Bytes sent since the handshake.
    pub sent_bytes: AtomicU64,
    /// Frames sent, heartbeats included.
    pub sent_frames: AtomicU64,
}

/// Sends messages in order; clones share the connection.
#[derive(Debug, Clone)]
pub struct LinkSender {
    queue: mpsc::Sender<Envelope>,
    activity: Arc<LinkActivity>,
    ended: CancellationToken,
}

impl LinkSender {
    /// Puts `message` into the send queue, and waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended. Success does not mean that the peer has received
    /// the message.
    pub async fn send(&self, message: Message) -> Result<()> {
        self.queue.send(message.into()).await.ok().ok_or(LinkError::Ended)
    }

    /// Waits for a place in the send queue, for a message that is built when it can be sent.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub async fn reserve(&self) -> Result<SendSlot<'_>> {
        Ok(SendSlot(self.queue.reserve().await.ok().ok_or(LinkError::Ended)?))
    }

    /// Puts `message` into the send queue without waiting. Returns `false` and drops the message if
    /// the queue is full or the connection has ended.
    pub fn offer(&self, message: Message) -> bool {
        self.queue.try_send(message.into()).is_ok()
    }

    /// Ends the connection after the queued messages have been sent.
    pub fn close(&self) {
        self.ended.cancel();
    }

    /// Time since the last message in either direction; heartbeats do not count.
    pub fn idle_time(&self) -> Duration {
        self.activity.idle_time()
    }

    /// Number of clones of this sender, itself included.
    pub fn holders(&self) -> usize {
        self.queue.strong_count()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// A place in the send queue of a connection; free again if it is dropped.
#[derive(Debug)]
pub struct SendSlot<'a>(mpsc::Permit<'a, Envelope>);

impl SendSlot<'_> {
    /// Puts `message` into the send queue. Drops it if the connection has ended meanwhile.
    pub fn send(self, message: Message) {
        self.0.send(message.into());
    }
}

/// Receives messages in order.
#[derive(Debug)]
pub struct LinkReceiver {
    frames: SplitStream<FrameStream<TcpStream>>,
    activity: Arc<LinkActivity>,
    traffic: Arc<LinkTraffic>,
    /// Ends the sending half when the receiver is dropped.
    _guard: DropGuard,
}

impl LinkReceiver {
    /// Waits for the next message and returns it; skips heartbeats.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends, no message or heartbeat arrives in time, or a frame cannot be
    /// decoded.
    pub async fn next(&mut self) -> Result<Message> {
        loop {
            let received = time::timeout(self.activity.receive_timeout(), self.frames.next()).await;
            let Ok(received) = received else { return HeartbeatTimeoutSnafu.fail() };
            let frame = received
                .unwrap_or_else(|| Err(std::io::ErrorKind::UnexpectedEof.into()))
                .context(TransportSnafu)
                .context(FrameSnafu)?;
            self.traffic.received_bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
            let envelope = Envelope::decode(frame).context(DecodeSnafu).context(FrameSnafu)?;
            if let Some(message) = envelope.message {
                self.activity.record_message();
                return Ok(message);
            }
        }
    }
}

/// An open connection after the handshake.
#[derive(Debug)]
pub struct PeerLink {
    /// Identity that the peer has proved.
    pub peer: PeerIdentity,
    /// Half that sends messages to the peer.
    pub sender: LinkSender,
    /// Half that receives the messages of the peer.
    pub receiver: LinkReceiver,
    /// Traffic counters, shared by both halves.
    pub traffic: Arc<LinkTraffic>,
}

impl PeerLink {
    /// Connects to `address` and performs the handshake with identity `local`.
    ///
    /// # Errors
    ///
    /// Fails if the connection does not open in time or the handshake fails.
    pub async fn dial(
        address: SocketAddr,
        secret: &FleetSecret,
        local: &PeerIdentity,
        options: LinkOptions,
    ) -> Result<Self> {
        let connect = time::timeout(options.connect_timeout, TcpStream::connect(address)).await;
        let Ok(connected) = connect else { return ConnectTimeoutSnafu.fail() };
        let stream = connected.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let mut frames = codec::frames(stream);
        let peer = handshake::dial(&mut frames, secret, local).await.context(HandshakeSnafu)?;
        Ok(Self::start(frames, peer, options))
    }

    /// Performs the handshake on an accepted `stream`, with identity `local`.
    ///
    /// # Errors
    ///
    /// Fails if the handshake fails.
    pub async fn accept(
        stream: TcpStream,
        secret: &FleetSecret,
        local: &PeerIdentity,
        options: LinkOptions,
    ) -> Result<Self> {
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let mut frames = codec::frames(stream);
        let peer = handshake::accept(&mut frames, secret, local).await.context(HandshakeSnafu)?;
        Ok(Self::start(frames, peer, options))
    }

    fn start(frames: FrameStream<TcpStream>, peer: PeerIdentity, options: LinkOptions) -> Self {
        let (sink, stream) = frames.split();
        let (queue, queued) = mpsc::channel(SEND_QUEUE);
        let traffic = Arc::new(LinkTraffic::default());
        let ended = CancellationToken::new();
        let activity = Arc::new(LinkActivity::new(options));
        let writer = LinkWriter {
            sink,
            queued,
            activity: Arc::clone(&activity),
            traffic: Arc::clone(&traffic),
            ended: ended.clone(),
        };
        tokio::spawn(writer.run());
        let sender = LinkSender { queue, activity: Arc::clone(&activity), ended: ended.clone() };
        let receiver = LinkReceiver {
            frames: stream,
            activity,
            traffic: Arc::clone(&traffic),
            _guard: ended.drop_guard(),
        };
        Self { peer, sender, receiver, traffic }
    }
}

/// Task that writes queued messages, and heartbeats while the queue is empty.
struct LinkWriter {
    sink: SplitSink<FrameStream<TcpStream>, Bytes>,
    queued: mpsc::Receiver<Envelope>,
    activity: Arc<LinkActivity>,
    traffic: Arc<LinkTraffic>,
    ended: CancellationToken,
}

impl LinkWriter {
    async fn run(mut self) {
        let mut heartbeat_at = Instant::now();
        loop {
            let envelope = tokio::select! {
                envelope = self.queued.recv() => match envelope {
                    Some(envelope) => envelope,
                    None => break,
                },
                () = time::sleep_until(heartbeat_at) => Envelope::default(),
                () = self.ended.cancelled(), if !self.queued.is_closed() => {
                    self.queued.close();
                    continue;
                }
            };
            let limit = self.activity.options.idle.timeout;
            if !matches!(time::timeout(limit, self.write(envelope)).await, Ok(Ok(()))) {
                break;
            }
            heartbeat_at = Instant::now() + self.activity.heartbeat_interval();
        }
        let _ = self.sink.close().await;
    }

    /// Writes `first` and all other queued messages, then flushes, so that small messages share one
    /// system call.
    async fn write(&mut self, first: Envelope) -> std::io::Result<()> {
        self.feed(first).await?;
        while let Ok(next) = self.queued.try_recv() {
            self.feed(next).await?;
        }
        self.sink.flush().await
    }

    async fn feed(&mut self, envelope: Envelope) -> std::io::Result<()> {
        if envelope.message.is_some() {
            self.activity.record_message();
        }
        let frame = Bytes::from(envelope.encode_to_vec());
        self.traffic.sent_bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
        self.traffic.sent_frames.fetch_add(1, Ordering::Relaxed);
        self.sink.feed(frame).await
    }
}
