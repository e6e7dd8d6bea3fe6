//! The part of HTTP/1.1 that the stand-ins need, over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A head with its first line and headers; names are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// A word of the first line, separated by spaces.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    fn length(&self) -> usize {
        self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

pub type Reader = BufReader<TcpStream>;

/// Reads a head; none at the end of the connection.
pub fn read_head(reader: &mut Reader) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first_line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first_line.is_empty() {
            head.first_line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that belongs to `head`.
pub fn read_body(reader: &mut Reader, head: &Head) -> io::Result<Vec<u8>> {
    let is_chunked =
        head.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if !is_chunked {
        let mut body = vec![0; head.length()];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        let mut end = [0; 2];
        reader.read_exact(&mut end)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

/// A complete answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Answer\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("content-length: {}\r\n\r\n", body.len());
    [text.as_bytes(), body].concat()
}

/// What a client got for one request.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Status; none if the connection ended or nothing came in time.
    pub status: Option<u16>,
    /// The body, or why there is no answer.
    pub text: String,
    /// Time until the complete answer, or until the client gave up.
    pub took: Duration,
}

/// One request of a client on a connection of its own.
#[derive(Debug, Clone)]
pub struct ClientRequest<'a> {
    pub address: SocketAddr,
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
    /// How long the client waits for the answer.
    pub patience: Duration,
}

pub fn call(request: &ClientRequest<'_>) -> Outcome {
    let started = std::time::Instant::now();
    let answered = exchange(request);
    let took = started.elapsed();
    match answered {
        Ok((status, text)) => Outcome { status: Some(status), text, took },
        Err(error) => Outcome { status: None, text: error.to_string(), took },
    }
}

fn exchange(request: &ClientRequest<'_>) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&request.address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(request.patience))?;
    let head = format!(
        "{} {} HTTP/1.1\r\nhost: {}\r\nattempt-id: {}\r\ndeadline-ms: {}\r\ncontent-length: {}\r\n\r\n",
        request.method,
        request.path,
        request.host,
        request.id,
        request.deadline_ms,
        request.body.len()
    );
    stream.write_all(&[head.as_bytes(), request.body].concat())?;
    let mut reader = BufReader::new(stream);
    let ended = || io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended");
    let head = read_head(&mut reader)?.ok_or_else(ended)?;
    let body = read_body(&mut reader, &head)?;
    let status = head.word(1).parse().map_err(|_| ended())?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
