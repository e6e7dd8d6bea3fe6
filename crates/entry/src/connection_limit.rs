//! A listener that bounds the open connections of callers.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
};

use base::prelude::*;
use memory_budget::{AddressCounts, BudgetLimits, Holding, SharedBudget};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use crate::{
    settings::RequestLimits,
    unread::{ReaderWatch, UnreadMark},
};

/// Time for which a connection has waited for a request before it is closed for another one.
const MIN_IDLE: Duration = Duration::from_secs(5);
/// Time between two log lines on refused connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Size of the socket buffers of a connection, for each direction. What they hold counts as memory
/// of the VM, and the kernel would let them grow to several MiB. It doubles this value.
const SOCKET_BUFFER: usize = 64 * 1_024;
/// Bytes that a caller must take for its reading to count as progress.
const READ_PROGRESS: usize = 16 * 1_024;

/// A TCP listener with a bound on the connections that are open.
///
/// At the bound the connection that has waited for a request for the longest is closed, or the new
/// one if none has waited for [`MIN_IDLE`]. A connection that receives a request is not closed.
#[derive(Debug)]
pub struct LimitedListener {
    listener: TcpListener,
    places: SharedBudget,
    addresses: Arc<Mutex<AddressCounts>>,
    max_open: u64,
    readers: ReaderWatch,
}

impl LimitedListener {
    /// Bounds the connections of `listener`, whose reading `readers` watches.
    pub fn new(listener: TcpListener, limits: &RequestLimits, readers: ReaderWatch) -> Self {
        let max_open = limits.max_connections;
        let places = SharedBudget::new(BudgetLimits { total: max_open, min_stall: MIN_IDLE });
        let addresses = AddressCounts::new(limits.max_connections_per_address);
        // Accepted connections inherit the sizes from the listener.
        let socket = SockRef::from(&listener);
        let sized = socket
            .set_recv_buffer_size(SOCKET_BUFFER)
            .and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER));
        if let Err(error) = sized {
            log::warn!("server: socket buffers stay at the sizes of the system: {error}");
        }
        Self { listener, places, addresses: Arc::new(Mutex::new(addresses)), max_open, readers }
    }

    async fn accept_below_limit(&self) -> io::Result<(LimitedStream, CallerConnection)> {
        let mut logged: Option<Instant> = None;
        loop {
            let (stream, address) = self.listener.accept().await?;
            let Some(counted) = CountedAddress::open(&self.addresses, address.ip()) else {
                if is_due(&mut logged) {
                    log::warn!("server: {address} has too many connections, closed a new one");
                }
                continue;
            };
            let place = self.places.hold();
            match place.grow(1) {
                Ok(0) => {}
                Ok(_) => log::warn!(
                    "server: {} connections of callers are open, closed an idle one for another",
                    self.max_open
                ),
                Err(_) => {
                    if is_due(&mut logged) {
                        log::warn!(
                            "server: {} connections of callers are open, closed a new one of \
                             {address}",
                            self.max_open
                        );
                    }
                    continue;
                }
            }
            let close = place.ended().clone();
            let connection = CallerConnection { address, close, readers: self.readers.clone() };
            let stream = LimitedStream::new(stream, place, counted, &connection);
            return Ok((stream, connection));
        }
    }
}

/// Whether the time for another log line has come.
fn is_due(logged: &mut Option<Instant>) -> bool {
    let now = Instant::now();
    let is_due = logged.is_none_or(|logged| now - logged >= LOG_INTERVAL);
    if is_due {
        *logged = Some(now);
    }
    is_due
}

/// A connection of a caller, as its requests refer to it.
#[derive(Debug)]
pub struct CallerConnection {
    /// Address of the caller.
    pub address: SocketAddr,
    close: CancellationToken,
    readers: ReaderWatch,
}

impl CallerConnection {
    /// Watches the reading of an answer, and closes the connection if it stays unread.
    pub fn watch_reader(&self) -> UnreadMark {
        self.readers.watch(self.close.clone())
    }
}

/// A connection that counts for its address until this is dropped.
#[derive(Debug)]
struct CountedAddress {
    addresses: Arc<Mutex<AddressCounts>>,
    address: IpAddr,
}

impl CountedAddress {
    fn open(addresses: &Arc<Mutex<AddressCounts>>, address: IpAddr) -> Option<Self> {
        let mut counts = addresses.lock().expect("no thread panics while holding the lock");
        counts.open(address).then(|| Self { addresses: Arc::clone(addresses), address })
    }
}

impl Drop for CountedAddress {
    fn drop(&mut self) {
        let mut counts = self.addresses.lock().expect("no thread panics while holding the lock");
        counts.close(self.address);
    }
}

impl viz::Listener for LimitedListener {
    type Io = LimitedStream;
    type Addr = CallerConnection;

    fn accept(&self) -> impl Future<Output = io::Result<(Self::Io, Self::Addr)>> + Send {
        self.accept_below_limit()
    }

    fn local_addr(&self) -> io::Result<Self::Addr> {
        let address = self.listener.local_addr()?;
        let readers = self.readers.clone();
        Ok(CallerConnection { address, close: CancellationToken::new(), readers })
    }
}

/// A connection with its place among those that may be open.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    place: Holding,
    ended: Pin<Box<WaitForCancellationFutureOwned>>,
    unread: UnreadMark,
    /// Bytes written since the reader has last made progress.
    written: usize,
    _counted: CountedAddress,
}

impl LimitedStream {
    fn new(
        stream: TcpStream,
        place: Holding,
        counted: CountedAddress,
        connection: &CallerConnection,
    ) -> Self {
        let ended = Box::pin(place.ended().clone().cancelled_owned());
        let unread = connection.watch_reader();
        Self { stream, place, ended, unread, written: 0, _counted: counted }
    }

    fn poll_ended(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        self.ended.as_mut().poll(context).map(|()| io::ErrorKind::ConnectionAborted.into())
    }

    fn record_write(&mut self, polled: &Poll<io::Result<usize>>) {
        match polled {
            Poll::Pending if !self.unread.is_waiting() => self.restart_wait(),
            Poll::Pending => {}
            Poll::Ready(written) => {
                self.place.record_progress();
                self.written += written.as_ref().copied().unwrap_or(0);
                if self.unread.is_waiting() && self.written >= READ_PROGRESS {
                    self.restart_wait();
                }
            }
        }
    }

    fn restart_wait(&mut self) {
        self.unread.begin();
        self.written = 0;
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Poll::Ready(error) = self.poll_ended(context) {
            return Poll::Ready(Err(error));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.place.protect();
        }
        polled
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(error) = self.poll_ended(context) {
            return Poll::Ready(Err(error));
        }
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(error) = self.poll_ended(context) {
            return Poll::Ready(Err(error));
        }
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The connection flushes when nothing is left to be written.
        self.unread.end();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
