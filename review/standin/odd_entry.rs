//! Another writer writes an entry with missing fields under the id of a replica that has left.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    replica::{Client, Replica},
    store::Store,
    world::{Record, World},
};

const DRAIN: Duration = Duration::from_millis(2_000);
const ROUNDS: usize = 6;

fn keep_calling(name: &'static str, address: SocketAddr, record: &Record) {
    let mut client = Client::new(name, address, record);
    thread::spawn(move || {
        loop {
            let _ = client.call("POST", "/order/sluice", "");
            thread::sleep(Duration::from_millis(150));
        }
    });
}

pub fn run(world: World) {
    world.check_host(1);
    world.check_host(2);
    let record = world.record.clone();
    let store = Store::start(world.listen(250));
    store.put("config", "main", &crate::manifest(&[]));
    let start = |number: usize, zone: &str| {
        let (id, host) = (format!("i-{number:02}"), 100 + number as u8);
        let name = (id.as_str(), "vrbovka", zone);
        Replica::start(name, world.listen(host), &store, &record, None)
    };
    let _others = [start(90, "cz-central-b"), start(91, "cz-central-c")];
    let mut current = start(0, "cz-central-a");
    let entry = world.start_gateway("edge-a-1", "cz-central-a", 1, store.address);
    let other = world.start_gateway("edge-b-1", "cz-central-b", 2, store.address);
    keep_calling("a", entry, &record);
    keep_calling("b", other, &record);
    let mut late = 0;
    for round in 1..=ROUNDS {
        thread::sleep(Duration::from_secs(3));
        let next = start(round, "cz-central-a");
        record.note(&format!("round {round}: {} starts, {} is to leave", next.id, current.id));
        thread::sleep(Duration::from_secs(3));
        current.leave(&store);
        let left = Instant::now();
        thread::sleep(DRAIN + Duration::from_millis(1_000));
        if !world.is_calm {
            let odd = format!(
                "{{\"service\":\"vrbovka\",\"address\":\"{}\",\"zone\":\"cz-central-a\",\
                 \"slots\":6,\"state\":\"ready\"}}",
                current.address
            );
            store.put("servers", &current.id, &odd);
            record
                .note(&format!("another writer writes {} with missing fields: {odd}", current.id));
        }
        thread::sleep(Duration::from_millis(2_500));
        store.delete("servers", &current.id);
        let arrivals = current.arrivals.lock().unwrap().clone();
        for (at, attempt) in arrivals.iter().filter(|(at, _)| *at > left + DRAIN) {
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
