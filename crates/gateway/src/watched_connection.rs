//! Open connections of callers, and what is known of each while it is served.

use std::{
    collections::HashMap,
    io,
    net::IpAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use base::{locks, prelude::*};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, Join, ReadBuf},
    net::TcpStream,
    sync::Notify,
    time,
};

use crate::{
    call::AnswerBody,
    connection_table::{AdmissionDecision, ConnectionId, ConnectionLimits, ConnectionTable},
    memory::ProcessMemory,
    metrics::GatewayMetrics,
};

/// Time after which a connection is closed whose caller reads nothing of its answer. It is the idle
/// timeout of the platform.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(15);
/// The same while memory is short. Callers on links with losses pause for less.
const MAX_UNREAD_TIME_IF_SHORT: Duration = Duration::from_secs(2);
/// Time between two checks for answers that are not read.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Size of the buffer that the kernel receives into. A caller can fill it behind a request that is at
/// work, and the kernel doubles this value.
pub const RECEIVE_BUFFER: ByteSize = ByteSize(16 * 1024);
/// The same while a large body is read.
const LARGE_RECEIVE_BUFFER: ByteSize = ByteSize(64 * 1024);
/// Value of `blocked_since` of a connection whose writes are not blocked.
const NOT_BLOCKED: u64 = u64::MAX;

#[derive(Debug)]
struct RegistryState {
    table: ConnectionTable,
    watches: HashMap<ConnectionId, Arc<WatchState>>,
}

#[derive(Debug)]
struct WatchState {
    close: Notify,
    /// Milliseconds from the start of the registry until writing blocked, or `NOT_BLOCKED`.
    blocked_since: AtomicU64,
    /// Whether the body of the current request is a large one.
    has_large_body: AtomicBool,
}

/// A stream whose receive buffer can be set.
pub trait ReceiveBuffer {
    /// Sets the size of the buffer that the kernel receives into.
    fn set_receive_buffer(&self, size: ByteSize);
}

impl ReceiveBuffer for TcpStream {
    fn set_receive_buffer(&self, size: ByteSize) {
        let size = usize::try_from(size.0).unwrap_or(usize::MAX);
        if let Err(error) = SockRef::from(self).set_recv_buffer_size(size) {
            log::debug!("front: failed to set a receive buffer to {size} bytes: {error}");
        }
    }
}

impl<R, W> ReceiveBuffer for Join<R, W> {
    /// Serves one request of a connection that closes, whose buffer stays as it is.
    fn set_receive_buffer(&self, _size: ByteSize) {}
}

/// The open connections of callers; clones share them.
#[derive(Debug, Clone)]
pub struct ConnectionRegistry {
    state: Arc<Mutex<RegistryState>>,
    started: Instant,
    metrics: GatewayMetrics,
}

impl ConnectionRegistry {
    /// A registry without connections.
    pub fn new(limits: ConnectionLimits, metrics: GatewayMetrics) -> Self {
        let state = RegistryState { table: ConnectionTable::new(limits), watches: HashMap::new() };
        Self { state: Arc::new(Mutex::new(state)), started: Instant::now(), metrics }
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        locks::lock(&self.state)
    }

    fn millis_since_start(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX - 1)
    }

    /// Adds a connection; returns `None` if it must be closed because too many are open.
    pub fn admit(&self, address: IpAddr) -> Option<ConnectionWatch> {
        let mut state = self.lock();
        let id = match state.table.admit(address, Instant::now()) {
            AdmissionDecision::Admitted(id) => id,
            AdmissionDecision::AdmittedFor(id, evicted) => {
                if let Some(watch) = state.watches.remove(&evicted) {
                    watch.close.notify_one();
                }
                self.metrics.evicted_connections.inc();
                log::debug!("front: closing an idle connection for a new one");
                id
            }
            AdmissionDecision::Refused => {
                self.metrics.refused_connections.inc();
                log::debug!("front: too many connections, refusing one of {address}");
                return None;
            }
        };
        let watch = Arc::new(WatchState {
            close: Notify::new(),
            blocked_since: AtomicU64::new(NOT_BLOCKED),
            has_large_body: AtomicBool::new(false),
        });
        state.watches.insert(id, Arc::clone(&watch));
        self.record_count(&state);
        drop(state);
        Some(ConnectionWatch { registry: self.clone(), id, state: watch })
    }

    fn record_count(&self, state: &RegistryState) {
        self.metrics.caller_connections.set(i64::try_from(state.table.len()).unwrap_or(i64::MAX));
    }

    /// Closes connections whose callers do not read their answers, until the process ends.
    pub async fn close_unread(self, memory: ProcessMemory) {
        loop {
            time::sleep(CHECK_INTERVAL).await;
            let limit = if memory.is_short() { MAX_UNREAD_TIME_IF_SHORT } else { MAX_UNREAD_TIME };
            let now = self.millis_since_start();
            let limit_ms = limit.as_millis() as u64;
            let state = self.lock();
            let unread = state.watches.values().filter(|watch| {
                let since = watch.blocked_since.load(Ordering::Relaxed);
                since != NOT_BLOCKED && now.saturating_sub(since) >= limit_ms
            });
            let mut closed = 0;
            for watch in unread {
                watch.blocked_since.store(NOT_BLOCKED, Ordering::Relaxed);
                watch.close.notify_one();
                closed += 1;
            }
            drop(state);
            if closed > 0 {
                self.metrics.evicted_connections.inc_by(closed);
                log::info!("front: closing {closed} connections whose answers are not read");
            }
        }
    }
}

/// One open connection, which is removed from the registry when this is dropped.
#[derive(Debug)]
pub struct ConnectionWatch {
    registry: ConnectionRegistry,
    id: ConnectionId,
    state: Arc<WatchState>,
}

impl ConnectionWatch {
    /// Waits until the connection has to be closed.
    pub async fn wait_for_close(&self) {
        self.state.close.notified().await;
    }

    /// Records that a request has arrived completely.
    pub fn begin_request(&self) {
        self.registry.lock().table.begin_request(self.id);
    }

    /// Records that a request, or the rest of one, is awaited from now on.
    pub fn await_request(&self) {
        self.registry.lock().table.await_request(self.id, Instant::now());
    }

    /// Records whether a large body is read, for which the kernel receives more at a time.
    pub fn set_large_body(&self, has_large_body: bool) {
        self.state.has_large_body.store(has_large_body, Ordering::Relaxed);
    }

    /// Observes the writes to `stream`.
    pub fn observe<I>(&self, stream: I) -> WatchedStream<I> {
        WatchedStream {
            stream,
            registry: self.registry.clone(),
            state: Arc::clone(&self.state),
            is_widened: false,
        }
    }
}

impl Drop for ConnectionWatch {
    fn drop(&mut self) {
        let mut state = self.registry.lock();
        state.table.remove(self.id);
        state.watches.remove(&self.id);
        self.registry.record_count(&state);
    }
}

/// A stream that records since when its writes are blocked.
#[derive(Debug)]
pub struct WatchedStream<I> {
    stream: I,
    registry: ConnectionRegistry,
    state: Arc<WatchState>,
    /// Whether the receive buffer is that for a large body.
    is_widened: bool,
}

impl<I> WatchedStream<I> {
    /// The stream itself.
    pub fn into_inner(self) -> I {
        self.stream
    }

    fn record<T>(&self, written: &Poll<T>) {
        let blocked_since = &self.state.blocked_since;
        match (written, blocked_since.load(Ordering::Relaxed)) {
            (Poll::Pending, NOT_BLOCKED) => {
                blocked_since.store(self.registry.millis_since_start(), Ordering::Relaxed);
            }
            (Poll::Pending, _) | (Poll::Ready(_), NOT_BLOCKED) => {}
            (Poll::Ready(_), _) => blocked_since.store(NOT_BLOCKED, Ordering::Relaxed),
        }
    }
}

impl<I: ReceiveBuffer> WatchedStream<I> {
    fn fit_receive_buffer(&mut self) {
        let is_large = self.state.has_large_body.load(Ordering::Relaxed);
        if is_large != self.is_widened {
            self.is_widened = is_large;
            let size = if is_large { LARGE_RECEIVE_BUFFER } else { RECEIVE_BUFFER };
            self.stream.set_receive_buffer(size);
        }
    }
}

impl<I: AsyncRead + ReceiveBuffer + Unpin> AsyncRead for WatchedStream<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.fit_receive_buffer();
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<I: AsyncWrite + Unpin> AsyncWrite for WatchedStream<I> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.record(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The body of an answer; its connection waits for the next request once this is dropped.
pub struct WatchedBody {
    body: AnswerBody,
    watch: Arc<ConnectionWatch>,
}

impl WatchedBody {
    /// The body of an answer on the connection of `watch`.
    pub fn new(body: AnswerBody, watch: Arc<ConnectionWatch>) -> Self {
        Self { body, watch }
    }
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = <AnswerBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        self.watch.await_request();
    }
}
