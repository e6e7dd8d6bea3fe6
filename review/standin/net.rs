//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A request or an answer.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended with the connection instead of a length.
    pub ends_with_connection: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let read = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read > 0)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// The head of the next message.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message { start: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// The next chunk of a chunked body; none after the last.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = usize::from_str_radix(self.line()?.trim(), 16);
        let size = size.map_err(|_| io::Error::other("no chunk size"))?;
        let chunk = self.exactly(size)?;
        self.line()?;
        Ok((size > 0).then_some(chunk))
    }

    /// A request, or an answer if `is_answer`, with its whole body.
    pub fn read_message(&mut self, is_answer: bool) -> io::Result<Message> {
        let mut message = self.read_head()?;
        let is_chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        if is_chunked {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend(chunk);
            }
        } else if let Some(length) = length {
            message.body = self.exactly(length)?;
        } else if is_answer {
            message.ends_with_connection = true;
            while self.fill()? {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(message)
    }

    /// Whether the peer has closed it; also if bytes wait to be read, while none are expected.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// An answer with a length; `head` holds further header lines, each with its line end.
pub fn answer(status: &str, head: &str, body: &[u8]) -> Vec<u8> {
    let start = format!("HTTP/1.1 {status}\r\n{head}Content-Length: {}\r\n\r\n", body.len());
    [start.as_bytes(), body].concat()
}

/// Serves each connection of `listener` in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(Connection) + Send + Sync + 'static) {
    serve_unless(listener, Arc::default(), handle);
}

/// Like [`serve`], but accepts nothing while `is_paused`.
pub fn serve_unless(
    listener: TcpListener,
    is_paused: Arc<AtomicBool>,
    handle: impl Fn(Connection) + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        loop {
            if is_paused.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(Connection::new(stream)));
        }
    });
}
