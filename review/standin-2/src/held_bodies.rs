//! Many large bodies of legal size come at once, and replicas read them slowly. One replica leaves
//! meanwhile. Nothing may reach it later than `drain-ms` after the store has acknowledged that.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    gateway::{Gateway, SLATINA_EDGE},
    http::{call, ClientRequest},
    replica::{self, Behaviour, Runs},
    store::Store,
    Play, Verdict,
};

/// Bodies that come at once, and their size; `max-body-bytes` is 4,194,304.
const BODIES: usize = 34;
const BODY_SIZE: usize = 2_000_000;
/// `drain-ms`.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Time from the first request to the planned leave of a replica.
const LEAVE_AFTER: Duration = Duration::from_millis(700);
/// Time limit of the clients, and `timeout-ms` of their route: grant-report.
const TIMEOUT: Duration = Duration::from_secs(30);

const HOST: &str = "ficu95.example";

fn manifest() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"report\",\"host\":\"{HOST}\",\
         \"path-prefix\":\"/report/\",\"route-kind\":\"streaming\",\"timeout-ms\":{},\
         \"goal-ms\":4000,\"priority\":1,\"service\":\"vrbovka\",\"attempts\":2,\
         \"resumable\":true,\"gap-goal-ms\":300}}],\"services\":[{{\"name\":\"vrbovka\",\
         \"health-path\":\"/healthz\",\"max-conns\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        TIMEOUT.as_millis()
    )
}

pub fn run(play: &Play) -> io::Result<Verdict> {
    let store = Store::start()?;
    let runs = Runs::default();
    let mut leaving = None;
    for id in ["i-1", "i-2", "i-3"] {
        let address = replica::start(&store, id, "vrbovka", Behaviour::SlowReader, &runs)?;
        leaving = leaving.or(Some(address));
    }
    let leaving = leaving.ok_or_else(|| io::Error::other("no replica"))?;
    store.write("config", "main", &manifest());
    let gateway = Gateway::start(&play.folder, "edge-1", &store, &SLATINA_EDGE)?;
    // Longer than `contact-ms`.
    thread::sleep(Duration::from_secs(4));
    let address = gateway.callers;
    let began = Instant::now();
    let clients: Vec<_> = (0..BODIES)
        .map(|number| {
            thread::spawn(move || {
                let id = format!("c-{number:02}");
                let request = ClientRequest {
                    address,
                    method: "POST",
                    path: "/report/a",
                    host: HOST,
                    id: &id,
                    deadline_ms: TIMEOUT.as_millis() as u64,
                    body: &vec![b'x'; BODY_SIZE],
                    patience: TIMEOUT,
                };
                (id.clone(), call(&request))
            })
        })
        .collect();
    thread::sleep(LEAVE_AFTER);
    if play.has_trouble {
        replica::register(&store, "i-1", "vrbovka", leaving, "draining", 2);
        play.record.line("the store has acknowledged that i-1 is draining");
    }
    let acknowledged = Instant::now();
    let (mut refused, mut served) = (0, 0);
    for client in clients {
        let (id, outcome) = client.join().map_err(|_| io::Error::other("a client failed"))?;
        served += usize::from(outcome.status == Some(200));
        refused += usize::from(outcome.status == Some(503));
        play.record.line(format!(
            "{id}: {:?} after {:.3} s",
            outcome.status,
            outcome.took.as_secs_f64()
        ));
    }
    let mut late = 0;
    for run in runs.lock().expect("no thread panics with the lock").iter() {
        let since_leave = run.arrived.saturating_duration_since(acknowledged);
        let is_late = play.has_trouble && run.replica == "i-1" && since_leave > DRAIN_TIME;
        late += usize::from(is_late);
        play.record.line(format!(
            "{} reached {} {:.3} s after the first request{}",
            run.id,
            run.replica,
            run.arrived.saturating_duration_since(began).as_secs_f64(),
            if is_late { ", late" } else { "" }
        ));
    }
    play.record.line(format!(
        "{BODIES} requests, {served} served, {refused} refused; {late} reached the replica later than \
         {DRAIN_TIME:?} after it was acknowledged to be draining"
    ));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
