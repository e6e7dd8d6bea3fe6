//! A TCP stream whose received bytes pass through a [`HeadScanner`].

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
};

use base::locks;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::answer_head::HeadScanner;

/// The scanner of one connection; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct SharedScanner(Arc<Mutex<HeadScanner>>);

impl SharedScanner {
    pub(crate) fn lock(&self) -> MutexGuard<'_, HeadScanner> {
        locks::lock(&self.0)
    }
}

/// A stream that shows what it receives to a scanner.
#[derive(Debug)]
pub(crate) struct ScannedStream {
    stream: TcpStream,
    scanner: SharedScanner,
}

impl ScannedStream {
    pub(crate) fn new(stream: TcpStream, scanner: SharedScanner) -> Self {
        Self { stream, scanner }
    }
}

impl AsyncRead for ScannedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().get(before..).unwrap_or_default();
        if !received.is_empty() {
            self.scanner.lock().push(received);
        }
        polled
    }
}

impl AsyncWrite for ScannedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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
