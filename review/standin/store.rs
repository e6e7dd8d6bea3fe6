//! The platform's store.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::net::{self, Connection, Message};

#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    kind: String,
    object: String,
    is_deleted: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// Revision and contents by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    history: Vec<Change>,
}

/// Clones share the objects.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
    /// Whether it answers all calls with 503.
    pub is_busy: Arc<AtomicBool>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{revision},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl State {
    /// Records the change, and returns the object.
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, _)) = self.objects.get(&key).filter(|(_, found)| found == spec) {
            return object(name, *revision, spec);
        }
        self.revision += 1;
        self.objects.insert(key, (self.revision, spec.to_owned()));
        self.record(kind, object(name, self.revision, spec), false)
    }

    fn delete(&mut self, kind: &str, name: &str) -> Option<String> {
        let (_, spec) = self.objects.remove(&(kind.to_owned(), name.to_owned()))?;
        self.revision += 1;
        Some(self.record(kind, object(name, self.revision, &spec), true))
    }

    fn record(&mut self, kind: &str, object: String, is_deleted: bool) -> String {
        let kind = kind.to_owned();
        let change = Change { revision: self.revision, kind, object: object.clone(), is_deleted };
        self.history.push(change);
        object
    }

    fn list(&self, kind: &str) -> String {
        let of_kind = self.objects.iter().filter(|((found, _), _)| found == kind);
        let items: Vec<String> =
            of_kind.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
        let (items, revision) = (items.join(","), self.revision);
        format!("{{\"items\":[{items}],\"more-pages\":false,\"store-revision\":{revision}}}")
    }

    fn events(&self, kind: &str, since: u64) -> Vec<String> {
        let later = self.history.iter().filter(|change| change.revision > since);
        let text = |change: &Change| {
            format!("{{\"object\":{},\"deleted\":{}}}", change.object, change.is_deleted)
        };
        later.filter(|change| change.kind == kind).map(text).collect()
    }
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("it is bound");
        let state = State { revision: 1, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Self { shared, address, is_busy: Arc::default() };
        let served = store.clone();
        net::serve(listener, move |connection| served.serve(connection));
        store
    }

    /// Writes as the operator, a backend server or another writer does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.shared.0.lock().unwrap().put(kind, name, spec);
        self.shared.1.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.shared.0.lock().unwrap().delete(kind, name);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read_message(false) {
            let (status, body) = match self.is_busy.load(Ordering::SeqCst) {
                true => ("503 Service Unavailable", String::new()),
                false => self.handle(&request),
            };
            let head = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if connection.write(&net::answer(status, head, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (&'static str, String) {
        let path = request.path().strip_prefix("/api/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').map_or((path, None), |(k, n)| (k, Some(n)));
        match (request.method(), name) {
            ("GET", None) => match request.query("watch").and_then(|text| text.parse().ok()) {
                Some(since) => {
                    let wait = request.query("wait-ms").and_then(|text| text.parse().ok());
                    ("200 OK", self.watch(kind, since, Duration::from_millis(wait.unwrap_or(0))))
                }
                None => ("200 OK", self.shared.0.lock().unwrap().list(kind)),
            },
            ("GET", Some(name)) => {
                let state = self.shared.0.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some((revision, spec)) => ("200 OK", object(name, *revision, spec)),
                    None => ("404 Not Found", String::new()),
                }
            }
            (method, name) => self.change(method, kind, name, &request.body),
        }
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events = state.events(kind, since);
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"store-revision\":{revision}}}");
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// A write of the system, whose bodies have the form `{"metadata":{"name":..},"spec":..}`.
    fn change(
        &self,
        method: &str,
        kind: &str,
        name: Option<&str>,
        body: &[u8],
    ) -> (&'static str, String) {
        let text = String::from_utf8_lossy(body);
        let named = text.split("\"name\":\"").nth(1).and_then(|rest| rest.split('"').next());
        let spec = text.split_once("\"spec\":").map(|(_, rest)| rest.trim_end());
        let spec = spec.and_then(|rest| rest.strip_suffix('}')).unwrap_or("null");
        let name = name.or(named).unwrap_or_default();
        let mut state = self.shared.0.lock().unwrap();
        let is_found = state.objects.contains_key(&(kind.to_owned(), name.to_owned()));
        let outcome = match (method, is_found) {
            ("POST", true) => ("409 Conflict", "{}".to_owned()),
            ("POST", false) | ("PUT", true) => ("200 OK", state.put(kind, name, spec)),
            ("DELETE", true) => ("200 OK", state.delete(kind, name).unwrap_or_default()),
            _ => ("404 Not Found", String::new()),
        };
        drop(state);
        self.shared.1.notify_all();
        outcome
    }
}
