//! Stand-ins of replicas of a plain service.

use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{answer, read_body, read_head, Head, Reader},
    store::Store,
};

/// How a replica behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs each request within some milliseconds.
    Sound,
    /// Reads bodies slowly, and answers with a stream of one event.
    SlowReader,
    /// Is in trouble: it runs nothing and says so, in answers whose bodies have no end.
    FullWithoutEnd,
}

/// A request that a replica runs.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub service: String,
    pub replica: String,
    /// When its head reached the replica.
    pub arrived: Instant,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Time of a request at a sound replica.
const WORK: Duration = Duration::from_millis(15);
/// What a slow reader takes of a body at a time, and the pause before the next piece.
const READ_SIZE: usize = 40_000;
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two pieces of an answer without end.
const PIECE_INTERVAL: Duration = Duration::from_millis(100);

/// Writes the entry of a replica; the return of this call is the acknowledgement.
pub fn register(
    store: &Store,
    id: &str,
    service: &str,
    address: SocketAddr,
    state: &str,
    sequence: u32,
) {
    let entry = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
         \"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"cold-left-ms\":0,\
         \"sequence\":{sequence},\"born\":1}}"
    );
    store.write("servers", id, &entry);
}

/// Starts a replica `id` of `service` and registers it in the store.
pub fn start(
    store: &Store,
    id: &str,
    service: &str,
    behaviour: Behaviour,
    runs: &Runs,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    register(store, id, service, address, "ready", 1);
    let (id, service, runs) = (id.to_owned(), service.to_owned(), Arc::clone(runs));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, service, runs) = (id.clone(), service.clone(), Arc::clone(&runs));
            thread::spawn(move || {
                let _ = serve(stream, &id, &service, behaviour, &runs);
            });
        }
    });
    Ok(address)
}

fn serve(
    stream: TcpStream,
    id: &str,
    service: &str,
    behaviour: Behaviour,
    runs: &Runs,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let arrived = Instant::now();
        if behaviour == Behaviour::SlowReader {
            read_slowly(&mut reader, &head)?;
        } else {
            read_body(&mut reader, &head)?;
        }
        let call = head.header("attempt-id").unwrap_or_default().to_owned();
        if head.header("expect-instance").is_some_and(|expected| expected != id) {
            writer.write_all(&answer(421, &[("attempt-id", &call)], b""))?;
            continue;
        }
        let is_probe = head.word(1) == "/healthz";
        match behaviour {
            _ if is_probe => {
                writer.write_all(&answer(
                    200,
                    &[("instance-id", id), ("server-load", "0,0,6")],
                    b"",
                ))?;
            }
            Behaviour::Sound | Behaviour::SlowReader => {
                let started =
                    Run { id: call, service: service.to_owned(), replica: id.to_owned(), arrived };
                run(&mut writer, started, behaviour == Behaviour::SlowReader, runs)?;
            }
            Behaviour::FullWithoutEnd => {
                let head = format!(
                    "HTTP/1.1 503 Full\r\nattempt-id: {call}\r\nnot-executed: 1\r\n\
                     transfer-encoding: chunked\r\n\r\n"
                );
                writer.write_all(head.as_bytes())?;
                // Ends when the gateway closes the connection.
                loop {
                    writer.write_all(b"4\r\nfull\r\n")?;
                    thread::sleep(PIECE_INTERVAL);
                }
            }
        }
    }
    Ok(())
}

/// Reads a body piece by piece.
fn read_slowly(reader: &mut Reader, head: &Head) -> io::Result<()> {
    let length = head.header("content-length").and_then(|text| text.parse().ok());
    let mut left: usize = length.unwrap_or(0);
    let mut piece = vec![0; READ_SIZE];
    while left > 0 {
        let size = left.min(READ_SIZE);
        reader.read_exact(&mut piece[..size])?;
        left -= size;
        thread::sleep(READ_INTERVAL);
    }
    Ok(())
}

/// Answers a request that has run.
fn run(writer: &mut TcpStream, run: Run, is_stream: bool, runs: &Runs) -> io::Result<()> {
    let (call, service) = (run.id.clone(), run.service.clone());
    runs.lock().expect("no thread panics with the lock").push(run);
    thread::sleep(WORK);
    let (kind, body) = match is_stream {
        true => ("text/event-stream", format!("id: 1\ndata: {service} ran {call}\n\n")),
        false => ("text/plain", format!("{service} ran {call}")),
    };
    let seal = format!("seal.{service}.{call}");
    let headers = [
        ("attempt-id", call.as_str()),
        ("server-seal", seal.as_str()),
        ("server-load", "1,0,6"),
        ("content-type", kind),
    ];
    writer.write_all(&answer(200, &headers, body.as_bytes()))
}
