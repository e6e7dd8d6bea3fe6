//! Fleet of real processes on loopback, started from the release build.

use std::{
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use base::prelude::{KeyHash, ListVersion};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use lists::store::{EditOrder, ListTexts, apply_edit};
use measures::usage::ProcessUsage;
use object_api::http::{ClientSettings, PlatformClient};

const RIGHTS: &str = "[plan field]\npriority = 1\nshare = 10\nservices = *\nmodels = *\nqueue = 1000\n\
    [service vrbovka]\nkind = plain\nreplicas = 1\nslots = 256\n\
    [service rosnatka]\nkind = engine\nreplicas = 1\nmemory = 80GiB\nslots = 256\n\
    [model summary]\nservice = rosnatka\nreplicas = 1\nmemory = 14GiB\n";

/// HTTP client for entries and stand-ins.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client with its own connection pool.
pub fn http_client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Running process; killed when dropped.
pub struct Process {
    child: Child,
    /// First line of output, which has the addresses.
    line: String,
}

impl Process {
    /// Starts `program` and waits until it prints its addresses.
    pub fn start(program: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program_directory().join(program))
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts; run `cargo build --release` first");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("the output is piped");
        BufReader::new(stdout).read_line(&mut line).expect("the program prints its addresses");
        Self { child, line: line.trim().to_owned() }
    }

    /// The address that follows `word` in the first line of output.
    pub fn address(&self, word: &str) -> SocketAddr {
        let mut words = self.line.split(' ');
        words.find(|found| *found == word).expect("the program prints this address");
        words.next().and_then(|text| text.parse().ok()).expect("an address follows")
    }

    /// CPU time and memory used by the process.
    pub fn usage(&self) -> ProcessUsage {
        ProcessUsage::read(self.child.id()).expect("the process runs")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Directory of the release programs: the parent of `deps`, where this bench is.
fn program_directory() -> PathBuf {
    let bench = std::env::current_exe().expect("the bench has a path");
    bench.parent().and_then(Path::parent).expect("the bench is in the deps directory").to_owned()
}

fn write_settings(name: &str, text: &str) -> String {
    let path = program_directory().join(format!("bench-path-{}-{name}.ini", std::process::id()));
    let mut file = std::fs::File::create(&path).expect("the target directory is writable");
    file.write_all(text.as_bytes()).expect("the target directory is writable");
    path.display().to_string()
}

fn process_section(vm: &str) -> String {
    format!(
        "[log]\nlevel = warn\n[process]\nvm = {vm}\nzone = z1\nregion = r1\nsecret = bench-secret\n\
         peer-address = 127.0.0.1:0\nhttp-address = 127.0.0.1:0\n"
    )
}

/// Processes of one plain service, one engine service and two entries.
pub struct Fleet {
    /// Backend server of the plain service.
    pub service: Process,
    /// Side process of the plain service.
    pub service_side: Process,
    /// Side process of the engine.
    pub engine_side: Process,
    /// Entries; each owns some of the services and models.
    pub entries: [Process; 2],
    _engine: Process,
    _platform: Process,
}

/// Starts all processes, writes the lists, and waits 3 s for them to take effect.
pub async fn start_fleet() -> Fleet {
    let platform = Process::start("fescuewalk", &["standin", "platform"]);
    let platform_address = platform.address("http");
    let service = Process::start("fescuewalk", &["standin", "service", "--call-time", "0ms"]);
    let engine_args = ["standin", "engine", "--batch", "64", "--token-time", "2ms"];
    let engine = Process::start("fescuewalk", &engine_args);
    let service_side = start_side("vrbovka", "plain", service.address("http"), platform_address);
    let engine_side = start_side("rosnatka", "engine", engine.address("http"), platform_address);
    let entries = ["entry-0", "entry-1"].map(|vm| {
        let text = format!("{}[platform]\naddress = {platform_address}\n", process_section(vm));
        Process::start("fescuewalk", &["entry", &write_settings(vm, &text)])
    });
    let vms = serde_json::json!([
        vm_json("vrbovka-0", "backend", Some("vrbovka"), service_side.address("peers")),
        vm_json("rosnatka-0", "backend", Some("rosnatka"), engine_side.address("peers")),
        vm_json("entry-0", "entry", None, entries[0].address("peers")),
        vm_json("entry-1", "entry", None, entries[1].address("peers")),
    ]);
    let body = Full::from(vms.to_string());
    let put = Request::put(format!("http://{platform_address}/admin/vms"))
        .body(body)
        .expect("a valid request");
    http_client().request(put).await.expect("the stand-in answers");
    write_lists(platform_address).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    Fleet { service, service_side, engine_side, entries, _engine: engine, _platform: platform }
}

fn start_side(service: &str, kind: &str, backend: SocketAddr, platform: SocketAddr) -> Process {
    let text = format!(
        "{}[backend]\nkind = {kind}\nservice = {service}\naddress = {backend}\nmemory = 80GiB\n\
         concurrency = 256\n[platform]\naddress = {platform}\n",
        process_section(&format!("{service}-0"))
    );
    Process::start("fescuewalk-side", &[&write_settings(service, &text)])
}

fn vm_json(id: &str, role: &str, service: Option<&str>, address: SocketAddr) -> serde_json::Value {
    serde_json::json!({
        "id": id, "role": role, "service": service, "zone": "z1", "address": address,
        "state": "live",
    })
}

async fn write_lists(platform: SocketAddr) {
    let store = PlatformClient::new(ClientSettings::new(platform));
    let hash = KeyHash::of_key("bench-key");
    let plans = format!("[customer crew]\nplan = field\nkey-hash = {hash}\nhome-region = r1\n");
    let order = EditOrder {
        texts: ListTexts { plans, rights: RIGHTS.to_owned() },
        read_at: ListVersion(0),
        operator: "bench".parse().expect("a valid name"),
        note: String::new(),
    };
    apply_edit(&store, &order).await.expect("the lists are accepted");
}
