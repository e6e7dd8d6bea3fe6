//! A gateway process between stand-ins, for the tests of its memory.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use platform_standin::{CatalogBuilder, RouteSpec, ServiceStandin, StoreStandin};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{self, Instant},
};

use super::{WorkDir, fescuewalk, fescuewalk_side};

/// Limit of a request body in the configuration of these tests (`max-body-bytes`).
pub const POST_LIMIT: usize = 4_194_304;
/// Size of the answers under `/file/`.
const LARGE_ANSWER: usize = 2 * 1024 * 1024;
/// Timeout of the routes: long, because the machine of a test is shared.
const ROUTE_TIMEOUT_MS: u64 = 20_000;
/// Ends a case in which the process hangs.
const SAFETY_TIME: Duration = Duration::from_secs(30);
/// Pause before a caller asks again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A process that uses less of its core in a second, in ticks of 10 ms, has nothing left to read.
const SETTLED_TICKS: u64 = 10;

/// Result of an ordinary request.
#[derive(Debug, PartialEq, Eq)]
pub enum OrdinaryCall {
    /// Answered with 200, perhaps after it was refused with 503 and sent again.
    Served,
    /// Not answered with 200 within 30 s; holds the last answer.
    NotServed(String),
}

/// Descriptors that a process may open, as the kernel limits them.
#[derive(Debug, Clone, Copy)]
pub struct DescriptorLimits {
    /// The limit that is in force, which the process may raise.
    pub soft: usize,
    /// The limit that the process cannot raise.
    pub hard: usize,
}

impl DescriptorLimits {
    /// Runs `program` under these limits.
    pub fn apply(self, program: &Command) -> Command {
        let limited = format!(
            "ulimit -S -n {} && ulimit -H -n {} && exec \"$0\" \"$@\"",
            self.soft, self.hard
        );
        let mut shell = Command::new("sh");
        shell.arg("-c").arg(limited).arg(program.get_program()).args(program.get_args());
        shell
    }
}

/// A gateway process on loopback with a store, a plain service and a server of large answers.
pub struct GatewayFixture {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Stand-in of the store.
    pub store: StoreStandin,
    child: Child,
    large_answers: Arc<AtomicUsize>,
    _service: ServiceStandin,
    _dir: WorkDir,
}

fn route(spec: RouteSpec) -> RouteSpec {
    RouteSpec { timeout_ms: ROUTE_TIMEOUT_MS, ..spec }
}

async fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port")
}

async fn free_address() -> SocketAddr {
    listen().await.local_addr().expect("it is bound")
}

fn server_entry(service: &str, address: SocketAddr) -> serde_json::Value {
    json!({ "service": service, "zone": "zone-a", "version": "v1", "address": address.to_string(),
        "slots": 6, "state": "ready", "cold-left-ms": 0, "sequence": 1, "born": 1 })
}

impl GatewayFixture {
    /// Starts all of it and waits until an ordinary request is served.
    pub async fn start() -> Self {
        Self::start_with("").await
    }

    /// The same with more lines in `[limits]` of its settings.
    pub async fn start_with(limits: &str) -> Self {
        Self::start_program(fescuewalk(), Stdio::null(), limits).await
    }

    /// The same for a process that writes its log to `output`.
    pub async fn start_logging_to(output: Stdio) -> Self {
        Self::start_program(fescuewalk(), output, "").await
    }

    /// The same for a process that may open as many descriptors as `limit` says.
    pub async fn start_under(limit: DescriptorLimits, limits: &str) -> Self {
        Self::start_program(limit.apply(&fescuewalk()), Stdio::null(), limits).await
    }

    async fn start_program(mut program: Command, output: Stdio, limits: &str) -> Self {
        let store = StoreStandin::start(listen().await).expect("it listens");
        let catalog = CatalogBuilder::new("memory.example")
            .plain_service("orders")
            .plain_service("files")
            .plain_service("mute")
            .route(route(RouteSpec::non_idempotent("/order/", "orders")))
            .route(route(RouteSpec::non_idempotent("/mute/", "mute")))
            .route(route(RouteSpec::idempotent("/file/", "files")));
        store.write("config", "main", &catalog.build(1));
        let service = ServiceStandin::start(listen().await, "i-1", Duration::from_millis(3))
            .expect("it listens");
        store.write("servers", "i-1", &server_entry("orders", service.address()));
        let large_answers = Arc::<AtomicUsize>::default();
        let files = start_file_server(Arc::clone(&large_answers)).await;
        store.write("servers", "i-2", &server_entry("files", files));
        let mute = start_mute_server().await;
        store.write("servers", "i-3", &server_entry("mute", mute));
        let (callers, ready) = (free_address().await, free_address().await);
        let metrics = free_address().await;
        let settings = format!(
            "[process]\nvm = entry-1\nzone = zone-a\n[listen]\ncallers = {callers}\nready = {ready}\n\
             metrics = {metrics}\npeers = {}\n[store]\naddress = {}\nknown-within = 600ms\n[limits]\n\
             repeat-ratio = 0.2\nrepeat-allowance = 60\nrepeat-window = 10s\ngrace = 5s\n{limits}",
            free_address().await,
            store.address()
        );
        let dir = WorkDir::new("memory");
        let path = dir.write("gateway.ini", &settings);
        let child = program
            .arg("gateway")
            .arg(path)
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let gateway = Self {
            callers,
            ready,
            metrics,
            store,
            child,
            large_answers,
            _service: service,
            _dir: dir,
        };
        assert_eq!(gateway.call_ordinary().await, OrdinaryCall::Served, "before the load");
        gateway
    }

    /// Id of the process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    fn proc_path(&self, name: &str) -> String {
        format!("/proc/{}/{name}", self.child.id())
    }

    /// Whether the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        self.child.try_wait().expect("it is a child").is_none()
    }

    /// Sends SIGTERM; returns the exit status, or `None` if the process runs 30 s later.
    pub async fn terminate(&mut self) -> Option<ExitStatus> {
        terminate(&mut self.child).await
    }

    /// Peak of the resident memory in bytes.
    pub fn peak_resident_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(self.proc_path("status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1_024)
    }

    /// Number of open descriptors.
    pub fn open_descriptors(&self) -> Option<usize> {
        Some(fs::read_dir(self.proc_path("fd")).ok()?.count())
    }

    /// Time that the process has used its core for, in ticks of 10 ms.
    fn cpu_ticks(&self) -> Option<u64> {
        let stat = fs::read_to_string(self.proc_path("stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
    }

    /// Waits until the process has read what its clients sent and does little any more.
    pub async fn wait_until_settled(&self) {
        let end = Instant::now() + SAFETY_TIME;
        let mut before = None;
        while Instant::now() < end {
            let ticks = self.cpu_ticks();
            let Some(now) = ticks else { return };
            if before.is_some_and(|before| now - before < SETTLED_TICKS) {
                return;
            }
            before = Some(now);
            time::sleep(Duration::from_secs(1)).await;
        }
    }

    /// Waits until the server has sent `count` large answers, or no more of them arrive.
    pub async fn wait_for_large_answers(&self, count: usize) {
        let mut before = usize::MAX;
        while self.large_answers.load(Ordering::Relaxed) < count
            && before != self.large_answers.load(Ordering::Relaxed)
        {
            before = self.large_answers.load(Ordering::Relaxed);
            time::sleep(Duration::from_secs(2)).await;
        }
    }

    /// Sends a small request on a fresh connection, again after a refusal as callers do.
    pub async fn call_ordinary(&self) -> OrdinaryCall {
        self.call_with_body(&[b'a'; 200]).await
    }

    /// Sends a request with `body` in the same way.
    pub async fn call_with_body(&self, body: &[u8]) -> OrdinaryCall {
        let end = Instant::now() + SAFETY_TIME;
        let mut last = String::new();
        while Instant::now() < end {
            match time::timeout_at(end, call_once(self.callers, body)).await {
                Ok(Ok(answer)) if answer.starts_with("HTTP/1.1 200") => {
                    return OrdinaryCall::Served;
                }
                Ok(Ok(answer)) => last = answer,
                Ok(Err(error)) => last = error.to_string(),
                Err(_) => last.push_str(", then no answer in time"),
            }
            time::sleep(RETRY_PAUSE).await;
        }
        OrdinaryCall::NotServed(last)
    }
}

impl Drop for GatewayFixture {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An agent process on loopback whose engine and store do not listen.
pub struct AgentFixture {
    /// Address for metrics.
    pub metrics: SocketAddr,
    child: Child,
    _dir: WorkDir,
}

impl AgentFixture {
    /// Starts it as a process that may open as many descriptors as `limit` says, and waits until it
    /// serves its metrics.
    pub async fn start_under(limit: DescriptorLimits) -> Self {
        Self::start_program(limit.apply(&fescuewalk_side()), Stdio::null()).await
    }

    /// Starts it as a process that writes its log to `output`, and waits until it serves its metrics.
    pub async fn start_logging_to(output: Stdio) -> Self {
        Self::start_program(fescuewalk_side(), output).await
    }

    async fn start_program(mut program: Command, output: Stdio) -> Self {
        let metrics = free_address().await;
        let settings = format!(
            "[process]\nvm = side-1\n[engine]\naddress = {}\nservice = reports\n[listen]\n\
             peers = {}\nmetrics = {metrics}\n[store]\naddress = {}\n",
            free_address().await,
            free_address().await,
            free_address().await
        );
        let dir = WorkDir::new("agent");
        let path = dir.write("agent.ini", &settings);
        let child = program
            .arg("agent")
            .arg(path)
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let agent = Self { metrics, child, _dir: dir };
        let status = fetch_status(metrics, "/metrics").await;
        assert_eq!(status.as_deref(), Some("200"), "before the load");
        agent
    }

    /// Whether the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        self.child.try_wait().expect("it is a child").is_none()
    }

    /// Sends SIGTERM; returns the exit status, or `None` if the process runs 30 s later.
    pub async fn terminate(&mut self) -> Option<ExitStatus> {
        terminate(&mut self.child).await
    }
}

impl Drop for AgentFixture {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends SIGTERM; returns the exit status, or `None` if the process runs 30 s later.
pub async fn terminate(child: &mut Child) -> Option<ExitStatus> {
    let process = Pid::from_raw(child.id().try_into().expect("a process ID"));
    kill(process, Signal::SIGTERM).expect("it is a child");
    let end = Instant::now() + SAFETY_TIME;
    while Instant::now() < end {
        if let Some(status) = child.try_wait().expect("it is a child") {
            return Some(status);
        }
        time::sleep(RETRY_PAUSE).await;
    }
    None
}

/// Status of the first answer to a request for `path`; `None` if there is none within 30 s.
pub async fn fetch_status(address: SocketAddr, path: &str) -> Option<String> {
    let end = Instant::now() + SAFETY_TIME;
    while Instant::now() < end {
        if let Ok(Ok(status)) = time::timeout_at(end, fetch_status_once(address, path)).await {
            return Some(status);
        }
        time::sleep(RETRY_PAUSE).await;
    }
    None
}

async fn fetch_status_once(address: SocketAddr, path: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let head = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    let status = answer.split(' ').nth(1).map(str::to_owned);
    status.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

async fn call_once(address: SocketAddr, body: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let head = format!("content-length: {}\r\nconnection: close\r\n\r\n", body.len());
    send_head(&mut stream, &head).await?;
    stream.write_all(body).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Sends the head of a request whose last lines are `rest`.
pub async fn send_head(stream: &mut TcpStream, rest: &str) -> std::io::Result<()> {
    let head =
        format!("POST /order/a HTTP/1.1\r\nhost: memory.example\r\nattempt-id: c-1\r\n{rest}");
    stream.write_all(head.as_bytes()).await
}

/// Sends a request that is answered with [`LARGE_ANSWER`] bytes.
pub async fn request_large_answer(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"GET /file/a HTTP/1.1\r\nhost: memory.example\r\n\r\n").await
}

/// Answers each connection's first request with [`LARGE_ANSWER`] bytes, and counts the answers.
async fn start_file_server(sent: Arc<AtomicUsize>) -> SocketAddr {
    let listener = listen().await;
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sent = Arc::clone(&sent);
            tokio::spawn(async move {
                // The gateway may close the connection of an answer that it has no memory for.
                let _ = send_large_answer(stream).await;
                sent.fetch_add(1, Ordering::Relaxed);
            });
        }
    });
    address
}

async fn send_large_answer(mut stream: TcpStream) -> std::io::Result<()> {
    static BLOCK: [u8; 65_536] = [b'a'; 65_536];
    let mut request = [0; 4_096];
    let _length = stream.read(&mut request).await?;
    let head = format!(
        "HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-length: {LARGE_ANSWER}\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..LARGE_ANSWER / BLOCK.len() {
        stream.write_all(&BLOCK).await?;
    }
    Ok(())
}

/// Takes requests and answers none.
async fn start_mute_server() -> SocketAddr {
    let listener = listen().await;
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let _ = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
            });
        }
    });
    address
}
