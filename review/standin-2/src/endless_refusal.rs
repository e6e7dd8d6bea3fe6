//! One of three replicas of a plain service is in trouble: it says that it has not executed a request,
//! and the body of that answer has no end. Each request must be answered soon after its route's
//! timeout, and another replica could run it.

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

/// `timeout-ms` of the routes `sluice-order` and `level-read`.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// What the rule adds to it.
const SLACK: Duration = Duration::from_millis(500);
/// How long the clients wait.
const PATIENCE: Duration = Duration::from_millis(6_000);
/// Time for which the clients send, and the interval between two requests over all gateways: a few more
/// than the 8.8 a second of the deployment.
const SEND_TIME: Duration = Duration::from_secs(30);
const SEND_INTERVAL: Duration = Duration::from_millis(80);
/// Edge machines of the deployment.
const GATEWAYS: usize = 4;
/// The rule counts from eight such requests on.
const MIN_HELD: usize = 8;

const HOST: &str = "ficu95.example";

fn manifest() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"/{name}/\",\
             \"route-kind\":\"{kind}\",\"timeout-ms\":{},\"goal-ms\":100,\"priority\":2,\
             \"service\":\"vrbovka\",\"attempts\":{attempts}}}",
            TIMEOUT.as_millis()
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"vrbovka\",\
         \"health-path\":\"/healthz\",\"max-conns\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        route("order", "non_idempotent", 1),
        route("level", "idempotent", 2)
    )
}

pub fn run(play: &Play) -> io::Result<Verdict> {
    let store = Store::start()?;
    let runs = Runs::default();
    let in_trouble = if play.has_trouble { Behaviour::FullWithoutEnd } else { Behaviour::Sound };
    for (id, behaviour) in
        [("i-1", Behaviour::Sound), ("i-2", Behaviour::Sound), ("i-3", in_trouble)]
    {
        replica::start(&store, id, "vrbovka", behaviour, &runs)?;
    }
    store.write("config", "main", &manifest());
    let gateways = (1..=GATEWAYS)
        .map(|number| {
            Gateway::start(&play.folder, &format!("edge-{number}"), &store, &SLATINA_EDGE)
        })
        .collect::<io::Result<Vec<_>>>()?;
    // Longer than `contact-ms`.
    thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    let mut clients = Vec::new();
    let mut number = 0_usize;
    while began.elapsed() < SEND_TIME {
        // Two orders for each reading, as in the deployment.
        let (method, path) =
            if number % 3 == 0 { ("GET", "/level/a") } else { ("POST", "/order/a") };
        let id = format!("c-{number:04}");
        let address = gateways[number % gateways.len()].callers;
        clients.push(thread::spawn(move || {
            let request = ClientRequest {
                address,
                method,
                path,
                host: HOST,
                id: &id,
                deadline_ms: PATIENCE.as_millis() as u64,
                body: if method == "POST" { b"open the sluice" } else { b"" },
                patience: PATIENCE,
            };
            (id.clone(), path, call(&request))
        }));
        number += 1;
        thread::sleep(SEND_INTERVAL);
    }
    let (mut unanswered, mut held, mut served) = (0, 0, 0);
    for client in clients {
        let (id, path, outcome) = client.join().map_err(|_| io::Error::other("a client failed"))?;
        let is_unanswered = outcome.took > TIMEOUT;
        let is_held = outcome.took > TIMEOUT + SLACK;
        unanswered += usize::from(is_unanswered);
        held += usize::from(is_held);
        served += usize::from(outcome.status == Some(200));
        let ran = runs.lock().expect("no thread panics with the lock");
        let ran = ran.iter().filter(|run| run.id == id).count();
        play.record.line(format!(
            "{id} {path}: {:?} {:?} after {:.3} s, run {ran} times{}",
            outcome.status,
            outcome.text.trim(),
            outcome.took.as_secs_f64(),
            if is_held { ", held" } else { "" }
        ));
    }
    play.record.line(format!(
        "{number} requests, {served} served; {unanswered} had no answer at the timeout of their route, \
         {held} of them had none {SLACK:?} later"
    ));
    Ok(if held >= MIN_HELD && held * 2 > unanswered { Verdict::Broken } else { Verdict::Held })
}
