//! Stand-ins of replicas of a plain service.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{answer, read_body, read_head, Head},
    store::Store,
};

/// How a replica behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs each request within some milliseconds.
    Sound,
    /// Is in trouble: it runs nothing and says so, in answers whose bodies have no end.
    FullWithoutEnd,
}

/// A request that a replica began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub service: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Time of a request at a sound replica.
const WORK: Duration = Duration::from_millis(15);
/// Time between two pieces of an answer without end.
const PIECE_INTERVAL: Duration = Duration::from_millis(100);

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
    let entry = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
         \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-left-ms\":0,\"sequence\":1,\
         \"born\":1}}"
    );
    store.write("servers", id, &entry);
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
        read_body(&mut reader, &head)?;
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
            Behaviour::Sound => run(&mut writer, &head, &call, service, runs)?,
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

fn run(
    writer: &mut TcpStream,
    head: &Head,
    call: &str,
    service: &str,
    runs: &Runs,
) -> io::Result<()> {
    let run = Run { id: call.to_owned(), service: service.to_owned() };
    runs.lock().expect("no thread panics with the lock").push(run);
    thread::sleep(WORK);
    let body = format!("{service} ran {} {}", head.word(0), head.word(1));
    let seal = format!("seal.{service}.{call}");
    let headers = [("attempt-id", call), ("server-seal", seal.as_str()), ("server-load", "1,0,6")];
    writer.write_all(&answer(200, &headers, body.as_bytes()))
}
