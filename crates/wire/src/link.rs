//! An open connection to a peer: ordered messages both ways, heartbeats and a silence limit.

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
    HeartbeatTimeout,
    /// The connection has ended; nothing was sent.
    #[snafu(display("the connection has ended"))]
    Ended,
}

/// Result of using a connection.
pub type Result<T, E = LinkError> = std::result::Result<T, E>;

/// How often a peer is heard of, and after how much silence it counts as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatTiming {
    /// Time between heartbeats.
    pub interval: Duration,
    /// Silence after which the peer counts as lost.
    pub timeout: Duration,
}

/// Times of a connection.
///
/// A connection is busy while messages other than heartbeats went over it a short time ago. The
/// pace of an idle one is slower, so that thousands of them cost little.
#[derive(Debug, Clone, Copy)]
pub struct LinkOptions {
    /// Time for the connection to open.
    pub connect_timeout: Duration,
    /// Pace of a busy connection.
    pub busy: HeartbeatTiming,
    /// Pace of an idle connection.
    pub idle: HeartbeatTiming,
    /// Time after its last message for which a sender keeps to the busy pace.
    ///
    /// A receiver keeps to it for a shorter time, by one busy silence limit, so that it never
    /// expects heartbeats that are not sent any more.
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

/// When the last message went over a connection, in either direction.
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
        *self.last.lock().expect("no holder panics") = Instant::now();
    }

    fn idle_time(&self) -> Duration {
        self.last.lock().expect("no holder panics").elapsed()
    }

    fn heartbeat_interval(&self) -> Duration {
        let LinkOptions { busy, idle, busy_duration, .. } = self.options;
        if self.idle_time() < busy_duration { busy.interval } else { idle.interval }
    }

    fn receive_timeout(&self) -> Duration {
        let LinkOptions { busy, idle, busy_duration, .. } = self.options;
        let expects_busy = self.idle_time() + busy.timeout < busy_duration;
        if expects_busy { busy.timeout } else { idle.timeout }
    }
}

/// What went over a connection; frames' heads are not counted in bytes.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    /// Bytes received.
    pub received_bytes: AtomicU64,
    /// Bytes sent.
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

    /// Ends the connection after what has been queued.
    pub fn close(&self) {
        self.ended.cancel();
    }

    /// Time since the last message in either direction.
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

/// Receives messages in order.
#[derive(Debug)]
pub struct LinkReceiver {
    frames: SplitStream<FrameStream<TcpStream>>,
    activity: Arc<LinkActivity>,
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

/// Writes queued messages, and heartbeats when there are none.
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

    /// Writes `first` and whatever has queued up meanwhile, so that many small messages share a
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
