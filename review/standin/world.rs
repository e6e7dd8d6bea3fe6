//! The record, the processes of the project, and the addresses of a small deployment.

use std::{
    collections::HashMap,
    fs::{self, File},
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit code for a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Kills and reaps the process `name` by its id.
pub fn kill(name: &str) {
    let mut children = CHILDREN.lock().unwrap();
    if let Some(index) = children.iter().position(|(found, _)| found == name) {
        let (_, mut child) = children.remove(index);
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub fn kill_all() {
    for (_, mut child) in CHILDREN.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// Writes what was sent, answered and run; clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }
}

/// One run of a case.
pub struct World {
    pub record: Record,
    /// Whether the disruption is left out.
    pub is_calm: bool,
    repository: PathBuf,
    folder: PathBuf,
    subnet: (u8, u8),
    peer_port: u16,
    settings: HashMap<&'static str, String>,
}

/// Bounds of the small deployments.
const BOUNDS: [(&str, &str); 6] = [
    ("bounds.drain-ms", "2000"),
    ("bounds.config-apply-ms", "2000"),
    ("bounds.retry-budget-ratio", "0.2"),
    ("bounds.retry-allowance", "52"),
    ("bounds.budget-window-s", "10"),
    ("bounds.grace-s", "8"),
];

/// Port of the metrics in the templates.
const METRICS_PORT: u16 = 9464;

impl World {
    /// Prepares a run that records into the folder `case`.
    pub fn new(case: &Path) -> Self {
        let file = File::create(case.join("record.txt")).unwrap_or_else(|error| {
            eprintln!("cannot write the record: {error}");
            exit(COULD_NOT_RUN)
        });
        let record = Record { file: Arc::new(Mutex::new(file)), start: Instant::now() };
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        // A subnet of its own for each run, so that runs side by side do not meet.
        let id = std::process::id();
        let subnet = (100 + (id / 250 % 100) as u8, (id % 250) as u8);
        let socket = UdpSocket::bind((Ipv4Addr::new(127, subnet.0, subnet.1, 1), 0)).unwrap();
        let peer_port = socket.local_addr().unwrap().port();
        let is_calm = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
        record.note(&format!("start, disruption: {}", if is_calm { "none" } else { "as claimed" }));
        let watched = record.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(116));
            watched.note("the run takes too long and is given up");
            kill_all();
            exit(COULD_NOT_RUN);
        });
        Self {
            record,
            is_calm,
            repository: case.join("../..").canonicalize().unwrap(),
            folder,
            subnet,
            peer_port,
            settings: BOUNDS.iter().map(|(key, value)| (*key, value.to_string())).collect(),
        }
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.subnet.0, self.subnet.1, host))
    }

    /// A listener on a free port of `host`.
    pub fn listen(&self, host: u8) -> TcpListener {
        TcpListener::bind((self.ip(host), 0)).unwrap_or_else(|error| {
            self.give_up(&format!("no port on host {host}: {error}"));
        })
    }

    /// Takes the bounds of the grown deployment instead of those of the small ones.
    pub fn use_grown_bounds(&mut self) {
        self.settings.insert("bounds.drain-ms", "3000".to_owned());
        self.settings.insert("bounds.config-apply-ms", "3000".to_owned());
        self.settings.insert("bounds.retry-allowance", "82".to_owned());
    }

    pub fn give_up(&self, reason: &str) -> ! {
        self.record.note(&format!("could not run: {reason}"));
        eprintln!("could not run: {reason}");
        self.clean_up();
        exit(COULD_NOT_RUN)
    }

    fn clean_up(&self) {
        kill_all();
        let _ = fs::remove_dir_all(&self.folder);
    }

    /// Ends all processes and exits with 1 if the rule was broken.
    pub fn finish(&self, is_broken: bool) -> ! {
        self.record.note(if is_broken { "the rule was BROKEN" } else { "the rule held" });
        println!("{}", if is_broken { "the rule was broken" } else { "the rule held" });
        self.clean_up();
        exit(i32::from(is_broken))
    }

    /// Words of the command of a role in the deploy file.
    fn command(&self, role: &str) -> Vec<String> {
        let text = fs::read_to_string(self.repository.join("deploy/system.toml")).unwrap();
        let section = text.split(&format!("[roles.{role}]")).nth(1).unwrap_or_default();
        let run = section.lines().find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|rest| rest.strip_suffix('"')).unwrap_or_default();
        run.split(' ').map(str::to_owned).collect()
    }

    /// Starts a role by its command and template, as the deploy file says.
    fn start(&self, role: &str, name: &str, values: &[(&str, String)]) {
        let path = format!("deploy/{role}.ini");
        let mut text = fs::read_to_string(self.repository.join(path)).unwrap();
        let shared = self.settings.iter().map(|(key, value)| (*key, value));
        for (key, value) in shared.chain(values.iter().map(|(key, value)| (*key, value))) {
            text = text.replace(&format!("{{{{{key}}}}}"), value);
        }
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, text).unwrap();
        let log = self.folder.join(format!("{name}-{}.log", unix_ms()));
        let output = || File::create(&log).map(Stdio::from).unwrap();
        let words = self.command(role);
        let started = Command::new(self.repository.join(&words[0]))
            .args(&words[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("FESCUEWALK_SETTINGS", settings)
            .current_dir(&self.repository)
            .stdin(Stdio::null())
            .stdout(output())
            .stderr(Stdio::null())
            .spawn();
        match started {
            Ok(child) => CHILDREN.lock().unwrap().push((name.to_owned(), child)),
            Err(error) => self.give_up(&format!("{role} does not start: {error}")),
        }
        self.record.note(&format!("{name} is started"));
        if let Ok(keep) = std::env::var("KEEP_LOGS") {
            let _ = fs::remove_file(format!("{keep}/{name}.log"));
            let _ = fs::hard_link(&log, format!("{keep}/{name}.log"));
        }
    }

    /// Starts a gateway on `host`, and returns its address for callers once it is ready.
    pub fn start_gateway(&self, name: &str, zone: &str, host: u8, store: SocketAddr) -> SocketAddr {
        let (callers, ready) = self.begin_gateway(name, zone, host, store);
        self.wait_until_ready(name, ready);
        callers
    }

    /// Starts a gateway on `host`; returns its addresses for callers and for questions whether it is
    /// ready.
    pub fn begin_gateway(
        &self,
        name: &str,
        zone: &str,
        host: u8,
        store: SocketAddr,
    ) -> (SocketAddr, SocketAddr) {
        // Both are held until both are known, so that they differ.
        let held = [self.listen(host), self.listen(host)];
        let [callers, ready] = held.each_ref().map(|listener| listener.local_addr().unwrap());
        drop(held);
        let values = [
            ("node-name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("limits.cpu-share", "0.19".to_owned()),
            ("listen.frontend", callers.to_string()),
            ("listen.ready", ready.to_string()),
            ("ip", self.ip(host).to_string()),
            ("internal-ports.0", self.peer_port.to_string()),
            ("platform.address", store.to_string()),
        ];
        self.start("gateway", name, &values);
        (callers, ready)
    }

    pub fn wait_until_ready(&self, name: &str, ready: SocketAddr) {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if is_ready(ready) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.give_up(&format!("{name} is not ready"))
    }

    /// Starts an agent on `host` beside the engine at `engine`.
    pub fn start_agent(
        &self,
        name: &str,
        host: u8,
        (engine, service): (SocketAddr, &str),
        store: SocketAddr,
    ) {
        let values = [
            ("node-name", name.to_owned()),
            ("app", engine.to_string()),
            ("service", service.to_owned()),
            ("ip", self.ip(host).to_string()),
            ("internal-ports.0", self.peer_port.to_string()),
            ("platform.address", store.to_string()),
        ];
        self.start("agent", name, &values);
    }

    /// Gives up if a port that the templates name is taken on `host`.
    pub fn check_host(&self, host: u8) {
        if let Err(error) = TcpListener::bind((self.ip(host), METRICS_PORT)) {
            self.give_up(&format!("a port of host {host} is taken: {error}"));
        }
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let connection = crate::net::Connection::connect(address, Duration::from_millis(200));
    let Ok(mut connection) = connection else { return false };
    let request = "GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    connection.write(request.as_bytes()).is_ok()
        && connection.read_message(true).is_ok_and(|answer| answer.status() == 200)
}
