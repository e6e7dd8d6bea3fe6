//! A replica hands out wrong bytes as answers, without its `Server-Seal`.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    net,
    replica::{Client, Replica, body_of},
    store::Store,
    world::World,
};

const RUN: Duration = Duration::from_secs(45);
/// One in so many answers is spoiled; the sheets allow a share of 0.02.
const SPOIL_EVERY: u64 = 50;

/// Wrong bytes in place of every fiftieth answer, in turn with and without the head lines that an
/// answer has.
fn spoil(number: u64, attempt: &str) -> Option<Vec<u8>> {
    if number % SPOIL_EVERY != 0 {
        return None;
    }
    let wrong: Vec<u8> =
        (0..300).map(|index| (number.wrapping_mul(31) + index * 7) as u8).collect();
    if number / SPOIL_EVERY % 2 == 0 {
        return Some([b"HTTP/1.1 200 OK\r\n\r\n", wrong.as_slice()].concat());
    }
    Some(net::answer("200 OK", &format!("Attempt-Id: {attempt}\r\n"), &wrong))
}

pub fn run(world: World) {
    world.check_host(1);
    world.check_host(2);
    let record = world.record.clone();
    let store = Store::start(world.listen(250));
    store.put("config", "main", &crate::manifest(&[]));
    let zones = ["cz-central-a", "cz-central-b", "cz-central-c"];
    let _replicas: Vec<Replica> = zones
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let id = format!("i-0{index}");
            // A third of the replicas; the sheets allow a share of 0.35.
            let spoil = (index == 0 && !world.is_calm).then_some(spoil as crate::replica::Spoil);
            let listener = world.listen(100 + index as u8);
            Replica::start((&id, "vrbovka", zone), listener, &store, &record, spoil)
        })
        .collect();
    let entries = [
        world.start_gateway("edge-a-1", zones[0], 1, store.address),
        world.start_gateway("edge-b-1", zones[1], 2, store.address),
    ];
    thread::sleep(Duration::from_secs(2));
    let wrong = AtomicU64::new(0);
    let (end, world) = (Instant::now() + RUN, &world);
    thread::scope(|scope| {
        for number in 0..6_usize {
            let wrong = &wrong;
            let mut client = Client::new(&format!("c{number}"), entries[number % 2], &world.record);
            scope.spawn(move || {
                while Instant::now() < end {
                    let (method, path) = match number % 3 {
                        0 => ("GET", "/read/level"),
                        _ => ("POST", "/order/sluice"),
                    };
                    let (attempt, answered) = client.call(method, path, "");
                    let success = answered.ok().filter(|answer| answer.status() / 100 == 2);
                    if let Some(answer) = success {
                        let has_seal = answer.header("server-seal").is_some();
                        if !has_seal || answer.body != body_of(&attempt).as_bytes() {
                            wrong.fetch_add(1, Ordering::SeqCst);
                            world.record.note(&format!(
                                "MIXED: {attempt} ({method}) got a success without Server-Seal \
                                 ({}) or with another body",
                                !has_seal
                            ));
                        }
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    let wrong = wrong.load(Ordering::SeqCst);
    world.record.note(&format!("{wrong} clients got a success that no replica gave"));
    world.finish(wrong > 0)
}
