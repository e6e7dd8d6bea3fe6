//! A replica leaves without reporting it, as the partition of an entry from the store heals.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::Connection,
    replica::{Client, Replica},
    store::Store,
    world::{Record, World},
};

const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Shortest length of a partition, to which a tenth of a second a round is added; the sheets allow
/// 5.5 s and more.
const CUT: Duration = Duration::from_millis(4_500);
const ROUNDS: usize = 9;

/// A path to the store that can be cut: bytes are held up both ways until it heals.
#[derive(Clone)]
struct Path {
    is_cut: Arc<AtomicBool>,
}

impl Path {
    fn start(listener: TcpListener, store: SocketAddr) -> Self {
        let path = Self { is_cut: Arc::default() };
        let served = path.clone();
        crate::net::serve(listener, move |connection| served.relay(connection, store));
        path
    }

    fn wait(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn relay(&self, mut connection: Connection, store: SocketAddr) {
        if self.is_cut.load(Ordering::SeqCst) {
            // Nothing of an attempt to connect passes; its sender gives it up and tries again.
            while connection.read_head().is_ok() {}
            return;
        }
        let Ok(upstream) = TcpStream::connect(store) else { return };
        let _ = upstream.set_nodelay(true);
        let downstream = connection.stream;
        let (path, from) = (self.clone(), downstream.try_clone().unwrap());
        let to = upstream.try_clone().unwrap();
        thread::spawn(move || path.copy(from, to));
        self.copy(upstream, downstream);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 16 * 1024];
        loop {
            let read = std::io::Read::read(&mut from, &mut bytes).unwrap_or(0);
            self.wait();
            if read == 0 || std::io::Write::write_all(&mut to, &bytes[..read]).is_err() {
                let _ = to.shutdown(std::net::Shutdown::Both);
                let _ = from.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

/// Keeps some traffic on another entry, which is never cut off.
fn keep_calling(address: SocketAddr, record: &Record) {
    let mut client = Client::new("b", address, record);
    thread::spawn(move || {
        loop {
            let _ = client.call("GET", "/read/level", "");
            thread::sleep(Duration::from_millis(500));
        }
    });
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn run(world: World) {
    world.check_host(1);
    world.check_host(2);
    let record = world.record.clone();
    let store = Store::start(world.listen(250));
    store.put("config", "main", &crate::manifest(&[]));
    let listener = world.listen(251);
    let cut_address = listener.local_addr().unwrap();
    let path = Path::start(listener, store.address);
    let start = |number: usize, zone: &str| {
        let (id, host) = (format!("i-{number:02}"), 100 + number as u8);
        let name = (id.as_str(), "vrbovka", zone);
        Replica::start(name, world.listen(host), &store, &record, None)
    };
    let _others = [start(90, "cz-central-b"), start(91, "cz-central-c")];
    let mut current = start(0, "cz-central-a");
    let entry = world.start_gateway("edge-a-1", "cz-central-a", 1, cut_address);
    let other = world.start_gateway("edge-b-1", "cz-central-b", 2, store.address);
    keep_calling(other, &record);
    let mut client = Client::new("a", entry, &record);
    thread::sleep(Duration::from_secs(2));
    let mut late = 0;
    for round in 1..=ROUNDS {
        let next = start(round, "cz-central-a");
        record.note(&format!("round {round}: {} starts, {} is to leave", next.id, current.id));
        let _ = client.call("POST", "/order/sluice", "");
        if !world.is_calm {
            record.note("edge-a-1 is cut off from the store");
            path.is_cut.store(true, Ordering::SeqCst);
        }
        thread::sleep(CUT / 2);
        let _ = client.call("POST", "/order/sluice", "");
        // The entry tries to reach the store about once a second; the rounds differ in its phase.
        thread::sleep(CUT / 2 + Duration::from_millis(110) * round as u32);
        let healed = Instant::now();
        if !world.is_calm {
            path.is_cut.store(false, Ordering::SeqCst);
            record.note("the path of edge-a-1 to the store is back");
        }
        thread::sleep(Duration::from_millis(100));
        current.leave(&store);
        let left = Instant::now();
        // Only now is the entry in touch again, and the replica has left longer ago than it drains.
        let from = (healed + CONTACT).max(left + DRAIN) + Duration::from_millis(20);
        sleep_until(from);
        record.note("edge-a-1 is in touch");
        while Instant::now() < from + Duration::from_millis(900) {
            let _ = client.call("POST", "/order/sluice", "");
            thread::sleep(Duration::from_millis(60));
        }
        let arrivals = current.arrivals.lock().unwrap().clone();
        for (at, attempt) in arrivals.iter().filter(|(at, _)| *at > from) {
            late += 1;
            record.note(&format!(
                "DRAIN: {attempt} reached {} {} ms after it had left (bound {} ms)",
                current.id,
                at.duration_since(left).as_millis(),
                DRAIN.as_millis()
            ));
        }
        current = next;
    }
    record.note(&format!("{late} requests reached replicas that had left"));
    world.finish(late > 0)
}
