//! A replica of a plain service, and clients.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::{self, Connection, Message},
    store::Store,
    world::{Record, unix_ms},
};

/// Work of one request; the mean of the orders on the users' sheet.
const WORK: Duration = Duration::from_millis(15);
/// Time between two check-ins.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// More channels than fit into the queue of a listener.
const MAX_QUEUE: usize = 6_000;

/// What a replica answers instead of its own answer, by the number of the request that it runs.
pub type Spoil = fn(u64, &str) -> Option<Vec<u8>>;

/// Clones are the same replica.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    born: u128,
    record: Record,
    checks_in: Arc<Mutex<bool>>,
    leaves: Arc<AtomicBool>,
    is_cut_off: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    running: Arc<AtomicU64>,
    runs: Arc<AtomicU64>,
    /// When each request that it was to run arrived, and its id.
    pub arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    spoil: Option<Spoil>,
}

impl Replica {
    /// Starts a replica that registers itself in `store`.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        listener: TcpListener,
        store: &Store,
        record: &Record,
        spoil: Option<Spoil>,
    ) -> Self {
        let replica = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: unix_ms(),
            record: record.clone(),
            checks_in: Arc::new(Mutex::new(true)),
            leaves: Arc::default(),
            is_cut_off: Arc::default(),
            sequence: Arc::default(),
            running: Arc::default(),
            runs: Arc::default(),
            arrivals: Arc::default(),
            spoil,
        };
        let (served, paused) = (replica.clone(), replica.is_cut_off.clone());
        net::serve_unless(listener, paused, move |connection| served.serve(connection));
        let (registered, store) = (replica.clone(), store.clone());
        thread::spawn(move || {
            loop {
                let checks_in = registered.checks_in.lock().unwrap();
                if !*checks_in {
                    return;
                }
                store.put("servers", &registered.id, &registered.entry());
                drop(checks_in);
                thread::sleep(HEARTBEAT);
            }
        });
        replica
    }

    fn entry(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold-left-ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    /// Leaves without reporting it: its entry is removed, and it serves on for a while. All its
    /// answers say so from now on.
    pub fn leave(&self, store: &Store) {
        *self.checks_in.lock().unwrap() = false;
        self.leaves.store(true, Ordering::SeqCst);
        store.delete("servers", &self.id);
        self.record.note(&format!("{} leaves: its entry is removed (acknowledged)", self.id));
    }

    /// Cuts the replica off from all who call it, or ends that. New channels to it hang, and what is
    /// sent on open ones is held up; it goes on checking in. Returns the channels that keep its queue
    /// of new channels full, to be dropped when the cut ends.
    pub fn cut_off(&self) -> Vec<TcpStream> {
        self.is_cut_off.store(true, Ordering::SeqCst);
        let connect = || TcpStream::connect_timeout(&self.address, Duration::from_millis(80));
        let (mut queued, mut failures) = (Vec::new(), 0);
        while queued.len() < MAX_QUEUE && failures < 3 {
            match connect() {
                Ok(stream) => {
                    failures = 0;
                    queued.push(stream);
                }
                Err(_) => failures += 1,
            }
        }
        queued
    }

    pub fn reconnect(&self, queued: Vec<TcpStream>) {
        drop(queued);
        self.is_cut_off.store(false, Ordering::SeqCst);
    }

    fn wait_for_path(&self) {
        while self.is_cut_off.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read_message(false) {
            self.wait_for_path();
            if connection.is_closed() {
                return;
            }
            let Some(answer) = self.answer(&request) else { return };
            let closes = !answer.starts_with(b"HTTP/1.1 ")
                || !String::from_utf8_lossy(&answer).to_lowercase().contains("content-length:");
            self.wait_for_path();
            if connection.write(&answer).is_err() || closes {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Option<Vec<u8>> {
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        let leaving = if self.leaves.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" };
        let running = self.running.load(Ordering::SeqCst);
        let head = format!("Attempt-Id: {attempt}\r\nServer-Load: {running},0,6\r\n{leaving}");
        if request.path() == "/healthz" {
            return Some(net::answer(
                "200 OK",
                &format!("Instance-Id: {}\r\n{head}", self.id),
                b"",
            ));
        }
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            self.record.note(&format!("{} rejects {attempt} with 421", self.id));
            let head = format!("{head}Not-Executed: 1\r\n");
            return Some(net::answer("421 Misdirected Request", &head, b""));
        }
        self.arrivals.lock().unwrap().push((Instant::now(), attempt.clone()));
        let number = self.runs.fetch_add(1, Ordering::SeqCst) + 1;
        self.record.note(&format!("{} runs {attempt}", self.id));
        self.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(WORK);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if let Some(spoiled) = self.spoil.and_then(|spoil| spoil(number, &attempt)) {
            self.record.note(&format!("{} spoils its answer to {attempt}", self.id));
            return Some(spoiled);
        }
        let head = format!("{head}Server-Seal: {}.{number:x}.{attempt}\r\n", self.id);
        Some(net::answer("200 OK", &head, body_of(&attempt).as_bytes()))
    }
}

/// The whole body of the answer to a request.
pub fn body_of(attempt: &str) -> String {
    format!("done {attempt} {}", "x".repeat(700))
}

/// A client with one kept channel.
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
    record: Record,
    name: String,
    count: u64,
    /// Time after which it closes its channel.
    patience: Duration,
}

impl Client {
    pub fn new(name: &str, address: SocketAddr, record: &Record) -> Self {
        let (name, record) = (name.to_owned(), record.clone());
        let patience = Duration::from_millis(1_500);
        Self { address, connection: None, record, name, count: 0, patience }
    }

    /// The same client, which leaves after `patience`.
    pub fn leaving_after(self, patience: Duration) -> Self {
        Self { patience, ..self }
    }

    /// Sends a request with a new id, and returns the id and the answer. A channel that was closed
    /// while it was idle is replaced.
    pub fn call(&mut self, method: &str, path: &str, extra: &str) -> (String, io::Result<Message>) {
        self.count += 1;
        let attempt = format!("{}{:06x}", self.name, self.count);
        let body = if method == "GET" { "" } else { "{\"gate\":3,\"open\":true}" };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: hub.example\r\nAttempt-Id: {attempt}\r\n\
             Deadline-Ms: 1000\r\n{extra}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.record.note(&format!("client sends {attempt} ({method} {path}) to {}", self.address));
        let answered = self.exchange(request.as_bytes());
        match &answered {
            Ok(answer) => {
                let seal = answer.header("server-seal").unwrap_or("none");
                let (status, length) = (answer.status(), answer.body.len());
                self.record.note(&format!(
                    "client gets {status} for {attempt}, Server-Seal: {seal}, {length} bytes"
                ));
            }
            Err(error) => self.record.note(&format!("client gets nothing for {attempt}: {error}")),
        }
        (attempt, answered)
    }

    fn exchange(&mut self, request: &[u8]) -> io::Result<Message> {
        if self.connection.as_ref().is_none_or(Connection::is_closed) {
            self.connection = Some(Connection::connect(self.address, Duration::from_secs(1))?);
        }
        let mut connection = self.connection.take().expect("it was opened");
        connection.stream.set_read_timeout(Some(self.patience))?;
        connection.write(request)?;
        let answer = connection.read_message(true)?;
        let closes = answer.header("connection").is_some_and(|value| value.contains("close"));
        if !closes && !answer.ends_with_connection {
            self.connection = Some(connection);
        }
        Ok(answer)
    }
}
