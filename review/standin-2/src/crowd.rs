//! Many clients send requests of legal size, stop just short of the end of their bodies, and stay. The
//! process must stay within the memory of its machine.

use std::{
    io::{self, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateway::{Gateway, SLATINA_EDGE},
    http::{call, ClientRequest},
    replica::{self, Behaviour, Runs},
    store::Store,
    Play, Verdict,
};

/// Clients that stay.
const CLIENTS: usize = 2_040;
/// Sizes of their bodies; `max-body-bytes` is 4,194,304.
const BODY_SIZES: [usize; 6] = [44_000, 44_000, 44_000, 44_000, 44_000, 16_000];
/// Headers of one of their requests besides four others, and the length of each value;
/// `max-header-bytes` is 16,384.
const HEADERS: usize = 96;
const VALUE_LENGTH: usize = 154;
const MAX_HEAD: usize = 16_384;
/// Time for which they stay, below their time limit of 30 s.
const STAY: Duration = Duration::from_secs(8);

const HOST: &str = "ficu95.example";

fn manifest() -> String {
    let route = |name: &str, kind: &str, timeout_ms: u32, goal_ms: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"/{name}/\",\
             \"route-kind\":\"{kind}\",\"timeout-ms\":{timeout_ms},\"goal-ms\":{goal_ms},\
             \"priority\":1,\"service\":\"vrbovka\",\"attempts\":2,\"resumable\":{},\
             \"gap-goal-ms\":300}}",
            kind == "streaming"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"vrbovka\",\
         \"health-path\":\"/healthz\",\"max-conns\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":{MAX_HEAD},\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        route("report", "streaming", 30_000, 4_000),
        route("level", "idempotent", 1_000, 100)
    )
}

fn head(number: usize, length: usize) -> String {
    let mut text = format!(
        "POST /report/a HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: crowd-{number:05}\r\n\
         deadline-ms: 30000\r\ncontent-length: {length}\r\n"
    );
    for header in 0..HEADERS {
        text += &format!("x{header:02}: {}\r\n", "v".repeat(VALUE_LENGTH));
    }
    text + "\r\n"
}

pub fn run(play: &Play) -> io::Result<Verdict> {
    let store = Store::start()?;
    let runs = Runs::default();
    for id in ["i-1", "i-2", "i-3"] {
        replica::start(&store, id, "vrbovka", Behaviour::Sound, &runs)?;
    }
    store.write("config", "main", &manifest());
    let mut gateway = Gateway::start(&play.folder, "edge-1", &store, &SLATINA_EDGE)?;
    thread::sleep(Duration::from_secs(1));
    let ordinary = |id: &str| {
        let request = ClientRequest {
            address: gateway.callers,
            method: "GET",
            path: "/level/a",
            host: HOST,
            id,
            deadline_ms: 1_000,
            body: b"",
            patience: Duration::from_secs(5),
        };
        call(&request)
    };
    let first = ordinary("before");
    play.record.line(format!("ordinary request before: {first:?}"));
    if first.status != Some(200) {
        return Err(io::Error::other("the gateway does not serve before the disruption"));
    }
    let mut clients = Vec::new();
    if play.has_trouble {
        let length = head(0, BODY_SIZES[0]).len();
        play.record.line(format!("heads of {length} bytes, {MAX_HEAD} are allowed"));
        assert!(length < MAX_HEAD, "a legal head");
        let body = vec![b'x'; BODY_SIZES[0]];
        for number in 0..CLIENTS {
            let size = BODY_SIZES[number % BODY_SIZES.len()];
            let mut stream = TcpStream::connect(gateway.callers)?;
            stream.set_write_timeout(Some(Duration::from_secs(2)))?;
            let bytes = [head(number, size).as_bytes(), &body[..size - 1]].concat();
            // A process that closes the connection of such a client is allowed to.
            if stream.write_all(&bytes).is_ok() {
                clients.push(stream);
            }
        }
        play.record.line(format!("{} clients have sent all but the last byte", clients.len()));
    }
    let (limit, began) = (SLATINA_EDGE.memory_mb * 1_024, Instant::now());
    while began.elapsed() < STAY && !gateway.has_ended() {
        let resident = gateway.memory_kib("VmRSS:").unwrap_or(0);
        play.record.line(format!("resident memory {resident} KiB"));
        thread::sleep(Duration::from_millis(500));
    }
    let peak = gateway.memory_kib("VmHWM:").unwrap_or(0);
    let has_ended = gateway.has_ended();
    drop(clients);
    thread::sleep(Duration::from_millis(500));
    play.record
        .line(format!("peak of the resident memory {peak} KiB, the machine has {limit} KiB"));
    play.record.line(format!("the process has ended by itself: {has_ended}"));
    Ok(if peak > limit || has_ended { Verdict::Broken } else { Verdict::Held })
}
