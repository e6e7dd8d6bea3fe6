//! An order to load a model is left unanswered, the agent is killed and started again, and the order
//! is carried out while the agent sends the next one.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::Engine,
    net::Connection,
    store::Store,
    world::{self, Record, World},
};

/// Time after which the platform starts a killed process again.
const RESTART: Duration = Duration::from_millis(1_500);

/// Asks for a stream of `model`, and reports whether it came whole. Leaves after `patience`.
fn ask(name: &str, model: &str, address: SocketAddr, patience: Duration, record: &Record) -> bool {
    let connected = Connection::connect(address, Duration::from_secs(1));
    let Ok(mut connection) = connected else { return false };
    let _ = connection.stream.set_read_timeout(Some(patience));
    let body = "{}";
    let request = format!(
        "POST /report/grant HTTP/1.1\r\nHost: hub.example\r\nAttempt-Id: {name}\r\n\
         Deadline-Ms: {}\r\nModel: {model}\r\nToken-Count: 1460,80\r\n\
         Prompt-Prefix: 5c1e07a2:1460\r\nContent-Length: {}\r\n\r\n{body}",
        patience.as_millis(),
        body.len()
    );
    record.note(&format!("client asks for {model} ({name})"));
    let answered =
        connection.write(request.as_bytes()).and_then(|()| connection.read_message(true));
    let text = match &answered {
        Ok(answer) => format!("gets {} and {} bytes", answer.status(), answer.body.len()),
        Err(error) => format!("has no whole answer: {error}"),
    };
    record.note(&format!("client {name} {text}"));
    answered.is_ok_and(|answer| answer.status() == 200)
}

fn wait_for(limit: Duration, is_done: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_done() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

pub fn run(world: World) {
    world.check_host(1);
    world.check_host(40);
    let record = world.record.clone();
    let store = Store::start(world.listen(250));
    store.put("config", "main", &crate::manifest(&["m1", "m2", "m3", "m4", "m5", "m6"]));
    let listener = world.listen(40);
    // Two models; a third fits.
    let name = ("i-e0", "rosnatka", "cz-central-a");
    let engine = Engine::start(name, &["m1", "m2"], listener, &store, &world);
    let entry = world.start_gateway("edge-a-1", "cz-central-a", 1, store.address);
    let agent = ("side-a-1", 40, (engine.address, "rosnatka"));
    world.start_agent(agent.0, agent.1, agent.2, store.address);
    thread::sleep(Duration::from_secs(3));
    // Steady streams of the two models that the replica holds.
    for model in ["m1", "m2"] {
        let record = record.clone();
        thread::spawn(move || {
            for number in 0.. {
                let name = format!("{model}-{number}");
                ask(&name, model, entry, Duration::from_secs(8), &record);
                thread::sleep(Duration::from_millis(150));
            }
        });
    }
    thread::sleep(Duration::from_secs(3));
    if !world.is_calm {
        engine.leave_unanswered("m4");
        engine.leave_unanswered("m5");
    }
    let asking = record.clone();
    // This client leaves early.
    thread::spawn(move || ask("first-m4", "m4", entry, Duration::from_millis(1_000), &asking));
    if !wait_for(Duration::from_secs(10), || engine.has_order_for("m4")) {
        world.give_up("no order to load m4 was sent");
    }
    if !world.is_calm {
        record.note(&format!("{} is killed", agent.0));
        world::kill(agent.0);
    }
    let killed = Instant::now();
    thread::sleep(Duration::from_millis(500));
    for number in 0..4 {
        let record = record.clone();
        thread::spawn(move || {
            for attempt in 0..20 {
                let name = format!("m5-{number}-{attempt}");
                if ask(&name, "m5", entry, Duration::from_secs(8), &record) {
                    return;
                }
                thread::sleep(Duration::from_millis(400));
            }
        });
    }
    if !world.is_calm {
        thread::sleep(RESTART.saturating_sub(killed.elapsed()));
        world.start_agent(agent.0, agent.1, agent.2, store.address);
    }
    wait_for(Duration::from_secs(30), || {
        !engine.overloads().is_empty() || (engine.holds("m5") && engine.has_order_for("m5"))
    });
    thread::sleep(Duration::from_secs(2));
    let overloads = engine.overloads();
    for overload in &overloads {
        record.note(&format!("LIMIT: the replica was ordered to {overload}"));
    }
    let (orders, unanswered, broken) = engine.counts();
    record.note(&format!(
        "{orders} orders, {unanswered} of them without an answer; the crash broke {broken} streams off"
    ));
    world.finish(!overloads.is_empty())
}
