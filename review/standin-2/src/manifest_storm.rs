//! Manifests of nearly the largest size come in quick succession; the last one moves a route to another
//! service. Requests that are sent later than `config-apply-ms` after its acknowledgement must not be
//! run by the old service.

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

/// `platform.value-bytes`: no object is larger.
const VALUE_BYTES: usize = 1_048_576;
/// Size of a manifest, below that limit.
const MANIFEST_BYTES: usize = 1_000_000;
/// `gap_s` and `for_s` of the storm in the site file.
const STORM_GAP: Duration = Duration::from_millis(60);
const STORM_TIME: Duration = Duration::from_millis(1_500);
/// `config-apply-ms`.
const APPLY_TIME: Duration = Duration::from_millis(2_000);
/// Time for which requests are sent after that.
const CHECK_TIME: Duration = Duration::from_secs(12);
/// Interval between two requests at each gateway.
const CALL_INTERVAL: Duration = Duration::from_millis(250);

const HOST: &str = "ficu95.example";

fn route(name: &str, prefix: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"/{prefix}/\",\
         \"route-kind\":\"idempotent\",\"timeout-ms\":1000,\"goal-ms\":100,\"priority\":2,\
         \"service\":\"{service}\",\"attempts\":2}}"
    )
}

/// A manifest whose route `/level/` leads to `service`, filled up with routes that get no requests.
fn manifest(version: u64, service: &str) -> String {
    let mut routes = vec![route("level", "level", service)];
    let step = route("more-00000", "more-00000", "vrbovka").len() + 1;
    for index in 0..(MANIFEST_BYTES - 1_000) / step {
        let name = format!("more-{index:05}");
        routes.push(route(&name, &name, "vrbovka"));
    }
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/healthz\",\"max-conns\":96,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let text = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\"limits\":\
         {{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}}}",
        routes.join(","),
        service("vrbovka"),
        service("vrbovka-2"),
    );
    assert!(text.len() < VALUE_BYTES, "a manifest within the limit of the store");
    text
}

pub fn run(play: &Play) -> io::Result<Verdict> {
    let store = Store::start()?;
    let runs = Runs::default();
    for (id, service) in [
        ("i-old1", "vrbovka"),
        ("i-old2", "vrbovka"),
        ("i-new1", "vrbovka-2"),
        ("i-new2", "vrbovka-2"),
    ] {
        replica::start(&store, id, service, Behaviour::Sound, &runs)?;
    }
    let mut version = 1;
    let first = manifest(version, "vrbovka");
    play.record.line(format!("manifests have {} bytes", first.len()));
    store.write("config", "main", &first);
    let gateways = [
        Gateway::start(&play.folder, "edge-1", &store, &SLATINA_EDGE)?,
        Gateway::start(&play.folder, "edge-2", &store, &SLATINA_EDGE)?,
    ];
    thread::sleep(Duration::from_secs(3));
    let send = |gateway: usize, id: &str| {
        let request = ClientRequest {
            address: gateways[gateway].callers,
            method: "GET",
            path: "/level/a",
            host: HOST,
            id,
            deadline_ms: 1_000,
            body: b"",
            patience: Duration::from_secs(2),
        };
        call(&request)
    };
    for gateway in 0..gateways.len() {
        let outcome = send(gateway, &format!("before-{gateway}"));
        play.record.line(format!("gateway {gateway}, before: {outcome:?}"));
        if outcome.status != Some(200) {
            return Err(io::Error::other("a gateway does not serve before the disruption"));
        }
    }
    if play.has_trouble {
        let began = Instant::now();
        while began.elapsed() < STORM_TIME {
            version += 1;
            store.write("config", "main", &manifest(version, "vrbovka"));
            thread::sleep(STORM_GAP);
        }
        play.record.line(format!("storm: {} versions", version - 1));
    }
    version += 1;
    store.write("config", "main", &manifest(version, "vrbovka-2"));
    let acknowledged = Instant::now();
    play.record.line(format!("version {version} moves the route to vrbovka-2, acknowledged"));
    thread::sleep(APPLY_TIME);
    let (mut sent, mut by_old, mut last_old) = (0, 0, Duration::ZERO);
    while acknowledged.elapsed() < APPLY_TIME + CHECK_TIME {
        for gateway in 0..gateways.len() {
            let after = acknowledged.elapsed();
            let id = format!("after-{gateway}-{sent}");
            let outcome = send(gateway, &id);
            sent += 1;
            let known = runs.lock().expect("no thread panics with the lock");
            let service = known.iter().find(|run| run.id == id).map(|run| run.service.clone());
            drop(known);
            if service.as_deref() == Some("vrbovka") {
                by_old += 1;
                last_old = after;
            }
            play.record.line(format!(
                "gateway {gateway}, sent {:.3} s after the acknowledgement: {:?}, run by {service:?}",
                after.as_secs_f64(),
                outcome.status
            ));
        }
        thread::sleep(CALL_INTERVAL);
    }
    play.record.line(format!(
        "{by_old} of {sent} requests sent later than {APPLY_TIME:?} after the acknowledgement were run \
         by the old service, the last one {:.3} s after it",
        last_old.as_secs_f64()
    ));
    Ok(if by_old > 0 { Verdict::Broken } else { Verdict::Held })
}
