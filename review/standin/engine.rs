//! A model replica, as far as orders, reports and short streams go.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::{self, Connection, Message},
    store::Store,
    world::{Record, World, unix_ms},
};

/// Memory for weights, in MB, as on the users' sheet.
pub const WEIGHTS_MB: f64 = 220_000.0;
/// Weights of each model, in MB.
pub const MODEL_MB: f64 = 72_700.0;
/// Time of a load from the replica's own disk.
pub const DISK_LOAD: Duration = Duration::from_millis(1_700);
/// Shortest time after which an order without an answer is carried out.
const MIN_LATE: Duration = Duration::from_secs(2);
/// Longest one.
const MAX_LATE: Duration = Duration::from_secs(12);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

struct State {
    models: BTreeSet<String>,
    is_busy: bool,
    sequence: u64,
    born: u128,
    running: u32,
    is_down: bool,
    check_ins: u64,
    /// Models whose first order to load is left unanswered and carried out late.
    leaves_unanswered: BTreeSet<String>,
    /// When the first order to load each model came.
    first_orders: BTreeMap<String, Instant>,
    orders: u32,
    unanswered: u32,
    overloads: Vec<String>,
    broken_streams: u32,
}

/// Clones are the same replica.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    state: Arc<Mutex<State>>,
    record: Record,
}

fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let rest = text.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    Some(rest[..end].trim().trim_matches('"'))
}

impl Engine {
    /// Starts a replica that holds `models` and registers itself in `store`.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        models: &[&str],
        listener: TcpListener,
        store: &Store,
        world: &World,
    ) -> Self {
        let state = State {
            models: models.iter().map(ToString::to_string).collect(),
            is_busy: false,
            sequence: 0,
            born: unix_ms(),
            running: 0,
            is_down: false,
            check_ins: 0,
            leaves_unanswered: BTreeSet::new(),
            first_orders: BTreeMap::new(),
            orders: 0,
            unanswered: 0,
            overloads: Vec::new(),
            broken_streams: 0,
        };
        let engine = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            state: Arc::new(Mutex::new(state)),
            record: world.record.clone(),
        };
        let served = engine.clone();
        net::serve(listener, move |connection| served.serve(connection));
        let (registered, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            loop {
                if let Some(entry) = registered.entry() {
                    store.put("servers", &registered.id, &entry);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        engine
    }

    /// Leaves the first order to load `model` unanswered, and carries it out late.
    pub fn leave_unanswered(&self, model: &str) {
        self.state.lock().unwrap().leaves_unanswered.insert(model.to_owned());
    }

    pub fn has_order_for(&self, model: &str) -> bool {
        self.state.lock().unwrap().first_orders.contains_key(model)
    }

    pub fn holds(&self, model: &str) -> bool {
        self.state.lock().unwrap().models.contains(model)
    }

    /// Orders to load more than there is memory for.
    pub fn overloads(&self) -> Vec<String> {
        self.state.lock().unwrap().overloads.clone()
    }

    /// All orders, those without an answer, and streams that a crash broke off.
    pub fn counts(&self) -> (u32, u32, u32) {
        let state = self.state.lock().unwrap();
        (state.orders, state.unanswered, state.broken_streams)
    }

    fn model_list(state: &State) -> String {
        let models = state.models.iter();
        let models: Vec<String> = models
            .map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"))
            .collect();
        models.join(",")
    }

    fn entry(&self) -> Option<String> {
        let mut state = self.state.lock().unwrap();
        if state.is_down {
            return None;
        }
        state.check_ins += 1;
        Some(format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold-left-ms\":0,\"stage\":\"unified\",\
             \"models\":[{}],\"sequence\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            Self::model_list(&state),
            state.check_ins,
            state.born
        ))
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let on_disk: Vec<String> = (1..=6).map(|number| format!("\"m{number}\"")).collect();
        format!(
            "{{\"stage\":\"unified\",\"born\":{},\"models\":[{}],\"busy\":{},\"sequence\":{},\
             \"queued\":0,\"active\":{},\"kv-used\":0,\"kv-total\":120615,\"handles\":0,\
             \"pending\":[],\"available\":{{\"in-memory\":[],\"on-disk\":[{}]}}}}",
            state.born,
            Self::model_list(&state),
            state.is_busy,
            state.sequence,
            state.running,
            on_disk.join(",")
        )
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read_message(false) {
            if self.state.lock().unwrap().is_down {
                return;
            }
            let written = match request.path() {
                "/api/report" => {
                    let head = "Content-Type: application/json\r\n";
                    connection.write(&net::answer("200 OK", head, self.report().as_bytes()))
                }
                "/api/order" => match self.order(&request) {
                    Some(status) => connection.write(&net::answer(status, "", b"")),
                    None => {
                        // Without an answer: the caller gives up and closes the channel.
                        let _ = connection.read_head();
                        return;
                    }
                },
                _ => self.stream(&request, &mut connection),
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// The status of the answer to an order; none if it is left unanswered.
    fn order(&self, request: &Message) -> Option<&'static str> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            return Some("421 Misdirected Request");
        }
        if field(&text, "holder").is_none() || field(&text, "fencing-token").is_none() {
            return Some("400 Bad Request");
        }
        let model = field(&text, "model").unwrap_or_default().to_owned();
        let is_load = field(&text, "operation") == Some("load");
        let mut state = self.state.lock().unwrap();
        state.orders += 1;
        if is_load {
            state.first_orders.entry(model.clone()).or_insert_with(Instant::now);
        }
        if is_load && state.leaves_unanswered.remove(&model) {
            state.unanswered += 1;
            drop(state);
            self.record.note(&format!("{} gets and does not answer: {text}", self.id));
            self.carry_out_late(model, text);
            return None;
        }
        drop(state);
        let status = self.carry_out(&text);
        self.record.note(&format!("{} answers {status} to: {text}", self.id));
        Some(status)
    }

    /// Carries out an unanswered order at least two seconds later, the one for m4 moreover after the
    /// first order for m5 has come.
    fn carry_out_late(&self, model: String, text: String) {
        let engine = self.clone();
        let came = Instant::now();
        thread::spawn(move || {
            thread::sleep(MIN_LATE);
            let is_due = || match model.as_str() {
                "m4" => engine.has_order_for("m5"),
                _ => came.elapsed() > MIN_LATE * 2,
            };
            while !is_due() && came.elapsed() < MAX_LATE - Duration::from_millis(500) {
                thread::sleep(Duration::from_millis(20));
            }
            thread::sleep(Duration::from_millis(100));
            let status = engine.carry_out(&text);
            engine.record.note(&format!(
                "{} handles late, after {:.1} s, with {status}: {text}",
                engine.id,
                came.elapsed().as_secs_f64()
            ));
        });
    }

    fn carry_out(&self, text: &str) -> &'static str {
        let model = field(text, "model").unwrap_or_default().to_owned();
        let is_load = field(text, "operation") == Some("load");
        let expected = field(text, "expect").and_then(|text| text.parse::<u64>().ok());
        let mut state = self.state.lock().unwrap();
        if state.is_down || state.is_busy || expected.is_some_and(|at| at != state.sequence) {
            return "409 Conflict";
        }
        if is_load == state.models.contains(&model) {
            return "200 OK";
        }
        state.sequence += 1;
        let held = state.models.len() as f64 * MODEL_MB;
        if is_load && held + MODEL_MB > WEIGHTS_MB {
            let held: Vec<String> = state.models.iter().cloned().collect();
            let overload = format!("load {model} while it holds {}", held.join(" "));
            self.record.note(&format!("{} is ordered to {overload}: it crashes", self.id));
            state.overloads.push(overload);
            drop(state);
            self.crash();
            return "202 Accepted";
        }
        state.is_busy = true;
        drop(state);
        let engine = self.clone();
        thread::spawn(move || {
            let is_running = || engine.state.lock().unwrap().running > 0;
            while !is_load && is_running() {
                thread::sleep(Duration::from_millis(10));
            }
            thread::sleep(if is_load { DISK_LOAD } else { Duration::ZERO });
            let mut state = engine.state.lock().unwrap();
            state.is_busy = false;
            if is_load {
                state.models.insert(model.clone());
            } else {
                state.models.remove(&model);
            }
            let done = if is_load { "has loaded" } else { "has unloaded" };
            engine.record.note(&format!("{} {done} {model}", engine.id));
        });
        "202 Accepted"
    }

    /// Ends, breaks off what runs, and is back after two seconds without models.
    fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_down = true;
        state.broken_streams += state.running;
        drop(state);
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(2));
            let mut state = engine.state.lock().unwrap();
            state.models.clear();
            state.is_busy = false;
            state.sequence = 0;
            state.born = unix_ms();
            state.is_down = false;
        });
    }

    fn stream(&self, request: &Message, connection: &mut Connection) -> std::io::Result<()> {
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        let model = request.header("model").unwrap_or_default().to_owned();
        let is_own = request.header("expect-instance").is_none_or(|expected| expected == self.id);
        if !is_own || !self.holds(&model) {
            let head = format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
            return connection.write(&net::answer("421 Misdirected Request", &head, b""));
        }
        self.record.note(&format!("{} runs {attempt} ({model})", self.id));
        self.state.lock().unwrap().running += 1;
        let written = self.write_events(&attempt, connection);
        let mut state = self.state.lock().unwrap();
        state.running -= 1;
        written
    }

    fn write_events(&self, attempt: &str, connection: &mut Connection) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt}\r\n\
             Server-Seal: {}.{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        connection.write(head.as_bytes())?;
        for number in 1..=20 {
            thread::sleep(Duration::from_millis(50));
            if self.state.lock().unwrap().is_down {
                return Err(std::io::Error::other("the replica has crashed"));
            }
            let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
            connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        connection.write(b"0\r\n\r\n")
    }
}
