//! A small fleet of separate processes: two engines, one plain service, two entries.

use std::{net::SocketAddr, time::Duration};

use base::prelude::{KeyHash, ListVersion};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use lists::store::{EditOrder, EditOutcome, ListTexts, apply_edit};
use object_api::{
    ObjectKey, ObjectStore, WriteCondition,
    http::{ClientSettings, PlatformClient},
};
use serde_json::Value;

use super::{Process, WorkDir, fescuewalk, fescuewalk_side};

pub const RIGHTS: &str = "
[plan field]
priority = 1
share = 10
models = *
services = *
[service rosnatka]
kind = engine
replicas = 2
memory = 40GiB
[service vrbovka]
kind = plain
replicas = 1
[model summary]
service = rosnatka
replicas = 1
memory = 14GiB
[model dam-check]
service = rosnatka
replicas = 2
memory = 14GiB
";

/// All processes of a small fleet.
pub struct Fleet {
    pub dir: WorkDir,
    /// Platform, weight store, two engines and plain service, in this order.
    pub standins: Vec<Process>,
    /// Side processes of the two engines and of the plain service, in this order.
    pub sides: Vec<Process>,
    pub entries: Vec<Process>,
}

impl Fleet {
    pub fn platform(&self) -> SocketAddr {
        self.standins[0].address("http")
    }

    pub fn engines(&self) -> [SocketAddr; 2] {
        [self.engine(0), self.engine(1)]
    }

    pub fn service(&self) -> SocketAddr {
        self.standins[4].address("http")
    }

    pub fn engine(&self, number: usize) -> SocketAddr {
        self.standins[2 + number].address("http")
    }

    /// Kills the side process of an engine and starts a new one on the same peer address.
    pub fn replace_side(&mut self, number: usize) {
        let peer = self.sides[number].address("peers");
        let (engine, platform) = (self.engine(number), self.platform());
        drop(self.sides.remove(number));
        let vm = format!("rosnatka-{number}");
        let process = side(&self.dir, &vm, "engine", "rosnatka", engine, platform, peer);
        self.sides.insert(number, process);
    }

    /// Kills all entries but the first `kept` and starts new ones on the same peer addresses.
    pub fn restart_entries(&mut self, kept: usize) {
        let peers: Vec<_> = self.entries.iter().map(|entry| entry.address("peers")).collect();
        let platform = self.platform();
        self.entries.truncate(kept);
        for (number, peer) in peers.into_iter().enumerate().skip(kept) {
            self.entries.push(entry(&self.dir, &format!("entry-{number}"), platform, peer, ""));
        }
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address("http")).collect()
    }
}

pub fn plans() -> String {
    let hash = KeyHash::of_key("crew-key");
    format!("[customer crew]\nplan = field\nkey-hash = {hash}\nhome-region = cz-central\n")
}

fn standin(kind: &str, args: &[&str]) -> Process {
    let mut command = fescuewalk();
    command.args(["standin", kind]).args(args);
    Process::start(command)
}

fn free_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn process_section(vm: &str, peer: SocketAddr) -> String {
    format!(
        "[process]\nvm = {vm}\nzone = cz-central-1\nregion = cz-central\nsecret = test-secret\n\
         peer-address = {peer}\nhttp-address = 127.0.0.1:0\n"
    )
}

fn side(
    dir: &WorkDir,
    vm: &str,
    kind: &str,
    service: &str,
    backend: SocketAddr,
    platform: SocketAddr,
    peer: SocketAddr,
) -> Process {
    let text = format!(
        "{}[backend]\nkind = {kind}\nservice = {service}\naddress = {backend}\nmemory = 40GiB\n\
         [platform]\naddress = {platform}\n[limits]\nreport-interval = 100ms\n",
        process_section(vm, peer)
    );
    let path = dir.write(&format!("{vm}.ini"), &text);
    let mut command = fescuewalk_side();
    command.arg(path);
    Process::start(command)
}

fn entry(
    dir: &WorkDir,
    vm: &str,
    platform: SocketAddr,
    peer: SocketAddr,
    settings: &str,
) -> Process {
    let text = format!(
        "{}[platform]\naddress = {platform}\nvm-poll = 100ms\nreads = 200/s\nwrites = 200/s\n{settings}",
        process_section(vm, peer)
    );
    let path = dir.write(&format!("{vm}.ini"), &text);
    let mut command = fescuewalk();
    command.arg("entry").arg(path);
    Process::start(command)
}

fn vm(id: &str, role: &str, service: Option<&str>, address: SocketAddr) -> Value {
    serde_json::json!({
        "id": id, "role": role, "service": service, "zone": "cz-central-1",
        "address": address, "state": "live",
    })
}

/// Starts the stand-ins, three side processes and two entries, applies the lists, and waits until
/// both entries are ready.
pub async fn start_fleet() -> Fleet {
    start_fleet_with(&FleetSetup::default()).await
}

/// What differs between fleets.
#[derive(Debug, Clone, Default)]
pub struct FleetSetup {
    /// Address of the plain service; `None` for its stand-in.
    pub service: Option<SocketAddr>,
    /// Address of the engine of both side processes; `None` for a stand-in of each.
    pub engine: Option<SocketAddr>,
    /// Further sections of the settings of the entries.
    pub entry_settings: String,
    /// Entries of other writers that the platform sends in its lists, in the form of `/admin/odd`.
    pub odd_entries: Option<Value>,
    /// Names and contents of objects that are in the store before the other processes start.
    pub objects: Vec<(String, Bytes)>,
}

/// Starts a fleet like [`start_fleet`], with these differences.
pub async fn start_fleet_with(setup: &FleetSetup) -> Fleet {
    let dir = WorkDir::new("path");
    let platform = standin("platform", &[]);
    let platform_address = platform.address("http");
    if let Some(entries) = &setup.odd_entries {
        admin(platform_address, "PUT", "odd", entries.clone()).await;
    }
    let store = PlatformClient::new(ClientSettings::new(platform_address));
    for (name, body) in &setup.objects {
        let key = ObjectKey::new(name);
        store.put(&key, body.clone(), WriteCondition::Absent).await.unwrap();
    }
    let weights = standin("weights", &["--rate", "50/s"]);
    let weights_address = weights.address("http").to_string();
    let mut standins = vec![platform, weights];
    let mut sides = Vec::new();
    let mut vms = Vec::new();
    for number in 0..2 {
        let engine =
            standin("engine", &["--memory", "40GiB", "--weights", weights_address.as_str()]);
        let id = format!("rosnatka-{number}");
        let engine_address = setup.engine.unwrap_or_else(|| engine.address("http"));
        let process =
            side(&dir, &id, "engine", "rosnatka", engine_address, platform_address, free_port());
        vms.push(vm(&id, "backend", Some("rosnatka"), process.address("peers")));
        sides.push(process);
        standins.push(engine);
    }
    let service = standin("service", &[]);
    let service_address = setup.service.unwrap_or_else(|| service.address("http"));
    let process =
        side(&dir, "vrbovka-0", "plain", "vrbovka", service_address, platform_address, free_port());
    vms.push(vm("vrbovka-0", "backend", Some("vrbovka"), process.address("peers")));
    sides.push(process);
    standins.push(service);
    let mut entries = Vec::new();
    for number in 0..2 {
        let id = format!("entry-{number}");
        let process = entry(&dir, &id, platform_address, free_port(), &setup.entry_settings);
        vms.push(vm(&id, "entry", None, process.address("peers")));
        entries.push(process);
    }
    put_vms(platform_address, &vms).await;
    apply_lists(platform_address).await;
    let fleet = Fleet { dir, standins, sides, entries };
    for address in fleet.addresses() {
        wait_until_ready(address).await;
    }
    fleet
}

async fn put_vms(platform: SocketAddr, vms: &[Value]) {
    let body = serde_json::to_vec(vms).unwrap();
    let request = Request::put(format!("http://{platform}/admin/vms"))
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let answer = client().request(request).await.unwrap();
    assert!(answer.status().is_success());
}

pub fn client() -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Calls `/admin/{path}` of a stand-in; returns `null` if the answer has no JSON body.
pub async fn admin(address: SocketAddr, method: &str, path: &str, body: Value) -> Value {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}/admin/{path}"))
        .header("content-type", "application/json")
        .body(Full::from(body.to_string()))
        .unwrap();
    let answer = client().request(request).await.unwrap();
    let bytes = answer.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&bytes).unwrap_or(Value::Null)
}

async fn apply_lists(platform: SocketAddr) {
    let store = PlatformClient::new(ClientSettings::new(platform));
    let order = EditOrder {
        texts: ListTexts { plans: plans(), rights: RIGHTS.to_owned() },
        read_at: ListVersion(0),
        operator: "tester".parse().unwrap(),
        note: "first lists".to_owned(),
    };
    let outcome = apply_edit(&store, &order).await.unwrap();
    assert!(matches!(outcome, EditOutcome::Accepted(_)));
}

pub async fn wait_until_ready(address: SocketAddr) {
    for _ in 0..500 {
        let request =
            Request::get(format!("http://{address}/readyz")).body(Full::default()).unwrap();
        let answer = client().request(request).await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{address} did not become ready");
}

/// Sends a GET request and parses the JSON answer.
pub async fn get_json(address: SocketAddr, path: &str) -> Value {
    let request = Request::get(format!("http://{address}{path}")).body(Full::default()).unwrap();
    let answer = client().request(request).await.unwrap();
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&body).unwrap()
}

/// Sets the faults that a stand-in injects.
pub async fn put_fault(address: SocketAddr, fault: Value) {
    let request = Request::put(format!("http://{address}/admin/fault"))
        .body(Full::new(Bytes::from(fault.to_string())))
        .unwrap();
    let answer = client().request(request).await.unwrap();
    assert!(answer.status().is_success());
}
