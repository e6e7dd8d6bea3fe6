//! Stand-ins and checks of the review's cases. Each case is one subcommand.
//!
//! ```text
//! standin CASE FOLDER
//! ```
//!
//! It writes `record.txt` into FOLDER, and exits with 1 if the rule was broken, with 0 if it held,
//! and with 2 if the case could not run. With `TROUBLE=0` it leaves the disruption out.

mod engine;
mod forgotten_block;
mod gone;
mod late_order;
mod left_while_connecting;
mod net;
mod odd_entry;
mod replica;
mod seal;
mod store;
mod world;

use std::path::PathBuf;

use crate::world::{COULD_NOT_RUN, World};

/// A manifest with one plain service, and one service of engines if `models` names any.
pub fn manifest(models: &[&str]) -> String {
    manifest_with(96, models)
}

/// The same, where a replica of the plain service accepts `max_channels`.
pub fn manifest_with(max_channels: u32, models: &[&str]) -> String {
    let route =
        |name: &str, prefix: &str, kind: &str, service: &str, (timeout, goal): (u32, u32)| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"hub.example\",\"path-prefix\":\"{prefix}\",\
             \"route-kind\":\"{kind}\",\"timeout-ms\":{timeout},\"goal-ms\":{goal},\
             \"gap-goal-ms\":300,\"priority\":1,\"service\":\"{service}\",\"attempts\":2,\
             \"sticky\":false,\"resumable\":{}}}",
                kind == "streaming"
            )
        };
    let mut routes = vec![
        route("sluice-order", "/order/", "non_idempotent", "vrbovka", (1_000, 100)),
        route("level-read", "/read/", "idempotent", "vrbovka", (1_000, 100)),
    ];
    let mut services = vec![format!(
        "{{\"name\":\"vrbovka\",\"health-path\":\"/healthz\",\"max-conns\":{max_channels},\
         \"protocol\":\"h1\",\"tls\":false}}"
    )];
    if !models.is_empty() {
        routes.push(route("grant-report", "/report/", "streaming", "rosnatka", (30_000, 4_000)));
        let models = models.iter().map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"weights-mb\":{},\"load-s\":6.9,\"warm-s\":0.81,\
                 \"disk-s\":1.7,\"adapters\":0,\"adapter-size-mb\":66.0}}",
                engine::MODEL_MB
            )
        });
        let models: Vec<String> = models.collect();
        services.push(format!(
            "{{\"name\":\"rosnatka\",\"health-path\":\"/healthz\",\"max-conns\":360,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv-capacity\":120615,\
             \"weights-mb\":{},\"adapter-slots\":8,\"loads-per-s\":2.8,\"host-mb\":150000.0,\
             \"disk-mb\":1400000.0,\"models\":[{}]}}}}",
            engine::WEIGHTS_MB,
            models.join(",")
        ));
    }
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(COULD_NOT_RUN);
    };
    // A failed expectation of a stand-in must not look like a broken rule, and leaves no process.
    let outcome = std::panic::catch_unwind(|| {
        let world = World::new(&PathBuf::from(folder).canonicalize().unwrap());
        match case.as_str() {
            "forgotten-block" => forgotten_block::run(world),
            "gone" => gone::run(world),
            "late-order" => late_order::run(world),
            "left-while-connecting" => left_while_connecting::run(world),
            "odd-entry" => odd_entry::run(world),
            "seal" => seal::run(world),
            _ => world.give_up("unknown case"),
        }
    });
    if outcome.is_err() {
        world::kill_all();
        std::process::exit(COULD_NOT_RUN);
    }
}
