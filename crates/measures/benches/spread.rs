//! Time until an edit of the lists is active at all nodes, and the cost of the spread at each node,
//! by fleet size, fan-out and size of the lists.
//!
//! The replay runs the production state machines with encoded messages in virtual time; a message
//! takes 1 ms one way, and an answer of the platform 5 ms. Bytes are those of frames in both
//! directions, without TCP and IP headers.

#[path = "spread/full_lists.rs"]
mod full_lists;
#[path = "spread/loopback.rs"]
mod loopback;
#[path = "spread/platform_bytes.rs"]
mod platform_bytes;
#[path = "spread/replay.rs"]
mod replay;

use base::prelude::*;
use measures::figures::{FigureTarget, MeasuredFigure};

use crate::replay::{NodeRole, Replay, ReplayPlan, ReplayResult};

/// Edits of the lists a second at the design size: 38,000 a day.
const EDIT_RATE: f64 = 38_000.0 / 86_400.0;
/// Availability zones at the design size.
const ZONES: usize = 9;
/// Entries and side processes of one zone at the design size.
const DESIGN_ZONE: (usize, usize) = (289, 1_111);
/// Largest share of a core that control may take on a node.
const MAX_CORE_SHARE: f64 = 0.015;
/// Most bytes a second of control traffic at a node.
const MAX_BYTES_PER_SECOND: f64 = 21.0 * 1024.0;
/// Most seconds until an edit is active at all nodes.
const MAX_ACTIVATION_SECONDS: f64 = 13.0;
/// Most memory that control may take on a node, in MiB.
const MAX_MEMORY_MIB: f64 = 128.0;

fn plan(entries: usize, sides: usize, fan_out: usize) -> ReplayPlan {
    let measured = Duration::from_secs(30);
    ReplayPlan { zones: ZONES, entries, sides, fan_out, edit_rate: EDIT_RATE, measured }
}

fn run(plan: ReplayPlan) -> ReplayResult {
    let result = Replay::new(plan).measure();
    let nodes = plan.zones * (plan.entries + plan.sides);
    for cost in &result.roles {
        println!(
            "{nodes:>6} {:>7} {:>6} {:>9.1} {:>9.1} {:>9.0} {:>9.0} {:>9.1} {:>9.4} {:>9.4}",
            plan.fan_out,
            format!("{:?}", cost.role),
            result.slowest.as_secs_f64() * 1e3,
            result.slowest_known.as_secs_f64() * 1e3,
            cost.mean_bytes,
            cost.max_bytes,
            cost.max_messages,
            cost.mean_cpu_time.as_secs_f64() * 100.0,
            cost.max_cpu_time.as_secs_f64() * 100.0,
        );
    }
    result
}

fn main() {
    let costs = list_costs();
    println!("\nedits at {EDIT_RATE:.3}/s over 30 s of virtual time, {ZONES} zones");
    println!(
        "{:>6} {:>7} {:>6} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "nodes",
        "fan-out",
        "place",
        "force ms",
        "known ms",
        "mean B/s",
        "most B/s",
        "most m/s",
        "mean %",
        "most %"
    );
    for (entries, sides) in [(3, 11), (29, 111)] {
        run(plan(entries, sides, 8));
    }
    for fan_out in [4, 16] {
        run(plan(DESIGN_ZONE.0, DESIGN_ZONE.1, fan_out));
    }
    let design = run(plan(DESIGN_ZONE.0, DESIGN_ZONE.1, 8));
    let slowest = loopback_times();
    print_figures(&design, &costs, slowest);
}

/// Costs by number of adapters; returns those of the largest. Runs before all else and in rising
/// order, because memory freed earlier would hide the growth.
fn list_costs() -> full_lists::ListCost {
    println!(
        "{:>8} {:>10} {:>9} {:>9} {:>10} {:>9}",
        "adapters", "copy B", "copy ms", "edit us", "edit B", "MiB"
    );
    let mut last = None;
    for adapters in [100, 1_000, 9_400] {
        let cost = full_lists::measure(adapters);
        println!(
            "{:>8} {:>10} {:>9.2} {:>9.1} {:>10} {:>9.2}",
            cost.adapters,
            cost.copy_bytes,
            cost.copy_time.as_secs_f64() * 1e3,
            cost.edit_time.as_secs_f64() * 1e6,
            cost.edit_bytes,
            cost.memory as f64 / f64::from(1 << 20),
        );
        last = Some(cost);
    }
    last.expect("there is at least one size")
}

fn loopback_times() -> Duration {
    println!("\ndrivers as tasks over loopback TCP, one zone, edits in real time");
    println!("{:>6} {:>7} {:>9} {:>9}", "nodes", "fan-out", "mean ms", "most ms");
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(2).enable_all().build().expect("a runtime starts");
    let mut slowest = Duration::ZERO;
    for (entries, sides, fan_out) in [(6, 24, 8), (60, 240, 4), (60, 240, 8), (60, 240, 16)] {
        let times = runtime.block_on(loopback::measure(entries, sides, fan_out));
        println!(
            "{:>6} {fan_out:>7} {:>9.1} {:>9.1}",
            times.nodes,
            times.mean.as_secs_f64() * 1e3,
            times.slowest.as_secs_f64() * 1e3,
        );
        slowest = slowest.max(times.slowest);
    }
    slowest
}

fn print_figures(design: &ReplayResult, lists: &full_lists::ListCost, loopback: Duration) {
    println!();
    let seconds = design.slowest.as_secs_f64();
    print_figure(
        "spread.in_force_seconds_12600",
        seconds,
        FigureTarget::AtMost(MAX_ACTIVATION_SECONDS),
    );
    let known = design.slowest_known.as_secs_f64();
    print_figure(
        "spread.known_in_force_seconds_12600",
        known,
        FigureTarget::AtMost(MAX_ACTIVATION_SECONDS),
    );
    let seconds = loopback.as_secs_f64();
    print_figure(
        "spread.in_force_seconds_300_loopback",
        seconds,
        FigureTarget::AtMost(MAX_ACTIVATION_SECONDS),
    );
    let edits = lists.edit_time.as_secs_f64() * EDIT_RATE;
    for cost in &design.roles {
        let role = match cost.role {
            NodeRole::Relay => "relay",
            NodeRole::Entry => "entry",
            NodeRole::Side => "side",
        };
        let bytes = FigureTarget::AtMost(MAX_BYTES_PER_SECOND);
        print_figure(&format!("spread.{role}_bytes_per_second"), cost.max_bytes, bytes);
        let share = cost.mean_cpu_time.as_secs_f64() + edits;
        let core = FigureTarget::AtMost(MAX_CORE_SHARE);
        print_figure(&format!("spread.{role}_core_share"), share, core);
    }
    let memory = lists.memory as f64 / f64::from(1 << 20);
    print_figure(
        "spread.lists_mebibytes_9400_adapters",
        memory,
        FigureTarget::AtMost(MAX_MEMORY_MIB),
    );
    let platform = platform_bytes::relay_rate(EDIT_RATE);
    let bytes = FigureTarget::AtMost(MAX_BYTES_PER_SECOND);
    print_figure("spread.relay_platform_bytes_per_second", platform, bytes);
    let relay = design.roles.iter().find(|cost| cost.role == NodeRole::Relay);
    let total = platform + relay.map_or(0.0, |cost| cost.max_bytes);
    print_figure("spread.relay_all_bytes_per_second", total, bytes);
    let copy = lists.copy_bytes as f64;
    print_figure("spread.full_copy_bytes_9400_adapters", copy, FigureTarget::Baseline);
    let calls = platform_bytes::relay_calls(EDIT_RATE, ZONES);
    print_figure("spread.platform_reads_per_second", calls.reads, FigureTarget::AtMost(2_000.0));
    print_figure("spread.platform_writes_per_second", calls.writes, FigureTarget::AtMost(300.0));
    print_figure("spread.naive_calls_per_second_12600", naive_calls(), FigureTarget::Baseline);
}

fn print_figure(name: &str, value: f64, target: FigureTarget) {
    MeasuredFigure::new(name, value, target).print();
}

/// Store calls a second if each node polled the head once a second instead.
fn naive_calls() -> f64 {
    (ZONES * (DESIGN_ZONE.0 + DESIGN_ZONE.1)) as f64
}
