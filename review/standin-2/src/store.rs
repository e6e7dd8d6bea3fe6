//! Stand-in of the platform's store: objects by kind and name, listings, watches and writes. It keeps
//! the history of the last `HISTORY`, and answers a watch from before that with 410.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{answer, read_body, read_head};

/// `platform.history-s` of the deployment.
const HISTORY: Duration = Duration::from_secs(20);

struct Change {
    revision: u64,
    kind: String,
    /// The event as it is sent.
    event: String,
    at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), String>,
    changes: Vec<Change>,
    /// Watches from an earlier revision are answered with 410.
    first_known: u64,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State { revision: 10, first_known: 10, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object; the return of this call is the acknowledgement.
    pub fn write(&self, kind: &str, name: &str, spec: &str) -> String {
        self.change(kind, name, Some(spec))
    }

    fn change(&self, kind: &str, name: &str, spec: Option<&str>) -> String {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no thread panics with the lock");
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let object = match spec {
            Some(spec) => format!(
                "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
                 \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
            ),
            None => state.objects.get(&key).cloned().unwrap_or_else(|| "null".to_owned()),
        };
        let event = format!("{{\"object\":{object},\"deleted\":{}}}", spec.is_none());
        match spec {
            Some(_) => state.objects.insert(key, object.clone()),
            None => state.objects.remove(&key),
        };
        state.changes.push(Change { revision, kind: kind.to_owned(), event, at: Instant::now() });
        changed.notify_all();
        object
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head)?;
            let (status, text) = self.handle(head.word(0), head.word(1), &body);
            let headers = [("store-era", "1"), ("content-type", "application/json")];
            writer.write_all(&answer(status, &headers, text.as_bytes()))?;
        }
        Ok(())
    }

    fn handle(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/api/objects/").split('/');
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        let value = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| *name == key).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        match (method, name) {
            ("GET", None) => match value("watch") {
                Some(since) => self.watch(kind, since, value("wait-ms").unwrap_or(0)),
                None => self.list(kind),
            },
            ("GET", Some(name)) => {
                let state = self.state.0.lock().expect("no thread panics with the lock");
                let found = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
                found.map_or((404, "{}".to_owned()), |object| (200, object))
            }
            ("POST", None) => {
                let body = String::from_utf8_lossy(body);
                let (Some(name), Some(spec)) = (object_name(&body), object_spec(&body)) else {
                    return (400, "{}".to_owned());
                };
                let known = {
                    let state = self.state.0.lock().expect("no thread panics with the lock");
                    state.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
                };
                match known {
                    Some(object) => (409, object),
                    None => (200, self.write(kind, name, spec)),
                }
            }
            ("PUT", Some(name)) => match object_spec(&String::from_utf8_lossy(body)) {
                Some(spec) => (200, self.write(kind, name, spec)),
                None => (400, "{}".to_owned()),
            },
            ("DELETE", Some(name)) => (200, self.change(kind, name, None)),
            _ => (400, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.state.0.lock().expect("no thread panics with the lock");
        let objects = state.objects.iter().filter(|((known, _), _)| known == kind);
        let items: Vec<&str> = objects.map(|(_, object)| object.as_str()).collect();
        let revision = state.revision;
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"more-pages\":false,\"store-revision\":{revision}}}"))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no thread panics with the lock");
        loop {
            forget_old(&mut state);
            if since < state.first_known {
                return (410, "{}".to_owned());
            }
            let events: Vec<&str> = state
                .changes
                .iter()
                .filter(|change| change.revision > since && change.kind == kind)
                .map(|change| change.event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"store-revision\":{revision}}}"));
            }
            state = changed.wait_timeout(state, left).expect("no thread panics with the lock").0;
        }
    }
}

fn forget_old(state: &mut State) {
    let is_old = |change: &Change| change.at.elapsed() > HISTORY;
    if let Some(last) = state.changes.iter().filter(|change| is_old(change)).last() {
        state.first_known = last.revision;
    }
    state.changes.retain(|change| !is_old(change));
}

/// Name in the body of a write, which the system writes without spaces.
fn object_name(body: &str) -> Option<&str> {
    body.split_once("\"name\":\"")?.1.split('"').next()
}

/// Contents in the body of a write: what follows `"spec":` to the last brace.
fn object_spec(body: &str) -> Option<&str> {
    body.split_once("\"spec\":")?.1.strip_suffix('}')
}
