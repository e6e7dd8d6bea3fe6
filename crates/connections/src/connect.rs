//! A single HTTP/1 connection.

use std::{io, net::SocketAddr};

use base::prelude::*;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use socket2::SockRef;
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
    time,
};

use crate::{
    answer_head,
    scanned_stream::{ScannedStream, SharedScanner},
};

/// Why a request got no answer.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No byte of the request was sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// The error, as text.
        reason: String,
    },
    /// At least a part of the request was sent, but no answer arrived.
    #[snafu(display("no answer: {reason}"))]
    NoAnswer {
        /// The error, as text.
        reason: String,
    },
    /// At least a part of the request was sent, and what arrived is not a valid answer.
    #[snafu(display("an invalid answer: {reason}"))]
    InvalidAnswer {
        /// What is invalid, as text.
        reason: String,
    },
}

/// Result of a call over a connection.
pub type Result<T, E = SendError> = std::result::Result<T, E>;

impl SendError {
    fn not_sent(reason: &(impl ToString + ?Sized)) -> Self {
        SendError::NotSent { reason: reason.to_string() }
    }

    fn no_answer(reason: &(impl ToString + ?Sized)) -> Self {
        SendError::NoAnswer { reason: reason.to_string() }
    }

    fn invalid_answer(reason: &(impl ToString + ?Sized)) -> Self {
        SendError::InvalidAnswer { reason: reason.to_string() }
    }

    /// Whether the server may have read the request, and so may have run it.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, SendError::NotSent { .. })
    }
}

/// Limits for opening and using a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectSettings {
    /// Longest wait for a new connection.
    pub connect_timeout: Duration,
    /// Time after which the kernel closes a connection with unacknowledged data
    /// (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
    /// Size of the read buffer; an answer whose head is larger fails.
    pub read_buffer: ByteSize,
}

/// An open connection, which carries one request at a time.
///
/// Dropping it resets the TCP connection. This discards the bytes of an abandoned request that the
/// server has not read yet; after an orderly close the server would still read and run them.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    scanner: SharedScanner,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] if the connection is refused or is not open within
    /// `settings.connect_timeout`.
    pub async fn open(address: SocketAddr, settings: &ConnectSettings) -> Result<Self> {
        let opening = Self::open_socket(address, settings);
        let stream = time::timeout(settings.connect_timeout, opening)
            .await
            .map_err(|_| SendError::not_sent("the connection was not accepted in time"))?
            .map_err(|error| SendError::not_sent(&error))?;
        let scanner = SharedScanner::default();
        let buffer = usize::try_from(settings.read_buffer.0).unwrap_or(usize::MAX);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(buffer)
            .handshake(TokioIo::new(ScannedStream::new(stream, scanner.clone())))
            .await
            .map_err(|error| SendError::not_sent(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connections: the connection to {address} failed: {error}");
            }
        });
        Ok(Self { sender, scanner, driver: driver.abort_handle() })
    }

    async fn open_socket(address: SocketAddr, settings: &ConnectSettings) -> io::Result<TcpStream> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        // Without a listener, the kernel may have given that port of this VM to the connection itself.
        if stream.local_addr()? == address {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        SockRef::from(&stream).set_tcp_user_timeout(Some(settings.user_timeout))?;
        Ok(stream)
    }

    /// Whether the connection is open and can carry a request now.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can carry another request; returns false if it has closed.
    pub(crate) async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends `request` and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The error says whether the server may have read the request. A head that is invalid in
    /// HTTP/1.1, or is not that of a final answer, is an error too.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.scanner.lock().restart();
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut failure) => {
                let is_sent = failure.take_message().is_none();
                return Err(failed_send(is_sent, &failure.into_error()));
            }
        };
        let framing = self.scanner.lock().framing();
        match answer_head::find_defect(response.status(), response.headers(), framing) {
            Some(defect) => Err(SendError::invalid_answer(&defect)),
            None => Ok(response),
        }
    }
}

fn failed_send(is_sent: bool, error: &hyper::Error) -> SendError {
    match is_sent {
        false => SendError::not_sent(error),
        true if error.is_parse() => SendError::invalid_answer(error),
        true => SendError::no_answer(error),
    }
}
