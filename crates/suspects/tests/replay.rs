//! Replays of requests that crash engines, among sound ones, at fleets of several sizes in virtual
//! time: entries with a board each, and the messages between them, some of which are lost.

mod common;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use suspects::{
    CrashSighting, RequestBlock, SeveredAttempt, SuspectBoard, SuspectKey, SuspectKeys,
    feedback_delay,
};
use tokio::time::Instant;

const DEADLY_PART: u64 = 7;
const DOWNTIME: Duration = Duration::from_secs(3);
const PROBE_TIME: Duration = Duration::from_millis(22);
const DATAGRAM_TIME: Duration = Duration::from_millis(2);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const LOST_DATAGRAMS: f64 = 0.03;
const RUN_TIME: Duration = Duration::from_secs(40);
/// Requests a second at each entry, by the size to design for.
const REQUESTS_AT_ENTRY: f64 = 11.0;
/// Entries that count the crashes under one key.
const COUNTING_ENTRIES: usize = 2;

/// Size of a fleet and its load.
#[derive(Debug, Clone, Copy)]
struct Load {
    entries: usize,
    engines: usize,
    requests_per_second: f64,
    /// Share of the requests with the deadly part.
    deadly_share: f64,
    /// Engines that crash by themselves, a second.
    crashes_per_second: f64,
    run_time: Duration,
}

#[derive(Debug, Default)]
struct Outcome {
    crashes_by_requests: u32,
    refused_sound: u32,
    refused_deadly: u32,
    served: u32,
    /// Most crash reports and blocks that one entry received.
    most_received: u32,
}

enum Event {
    Arrival,
    Begin { entry: usize, engine: usize, keys: SuspectKeys, sent: Instant, is_deadly: bool },
    Crash { engine: usize },
    Probed { entry: usize, engine: usize },
    Report { entry: usize, sighting: CrashSighting },
    Block { entry: usize, sender: usize, block: RequestBlock },
    Objection { entry: usize, sender: usize, keys: SuspectKeys },
    Heartbeat { entry: usize },
}

struct Replay {
    load: Load,
    random: ChaCha8Rng,
    start: Instant,
    queue: BinaryHeap<Reverse<(Instant, usize)>>,
    events: Vec<Option<Event>>,
    boards: Vec<SuspectBoard>,
    received: Vec<u32>,
    down_until: Vec<Instant>,
    /// Requests without an answer at each engine: entry, keys and when they were sent.
    waiting: Vec<Vec<(usize, SuspectKeys, Instant)>>,
    outcome: Outcome,
}

impl Replay {
    fn new(load: Load, seed: u64) -> Self {
        let start = Instant::now();
        Self {
            load,
            random: ChaCha8Rng::seed_from_u64(seed),
            start,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            boards: (0..load.entries).map(|_| SuspectBoard::default()).collect(),
            received: vec![0; load.entries],
            down_until: vec![start; load.engines],
            waiting: vec![Vec::new(); load.engines],
            outcome: Outcome::default(),
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    fn run(mut self) -> Outcome {
        self.schedule(self.start, Event::Arrival);
        for entry in 0..self.load.entries {
            let phase = HEARTBEAT_INTERVAL.mul_f64(self.random.random_range(0.0..1.0));
            self.schedule(self.start + phase, Event::Heartbeat { entry });
        }
        let crashes = (self.load.run_time.as_secs_f64() * self.load.crashes_per_second) as usize;
        for _ in 0..crashes {
            let at = self.start + self.load.run_time.mul_f64(self.random.random_range(0.0..1.0));
            let engine = self.random.random_range(0..self.load.engines);
            self.schedule(at, Event::Crash { engine });
        }
        while let Some(Reverse((now, index))) = self.queue.pop() {
            if now > self.start + self.load.run_time {
                break;
            }
            let event = self.events[index].take().expect("each event happens once");
            self.handle(event, now);
        }
        self.outcome.most_received = self.received.iter().copied().max().unwrap_or(0);
        self.outcome
    }

    fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Arrival => self.arrive(now),
            Event::Begin { entry, engine, keys, sent, is_deadly } => {
                let is_waiting = |waiting: &(usize, SuspectKeys, Instant)| {
                    waiting.0 == entry && waiting.1 == keys && waiting.2 == sent
                };
                let Some(index) = self.waiting[engine].iter().position(is_waiting) else { return };
                if is_deadly {
                    self.outcome.crashes_by_requests += 1;
                    return self.crash(engine, now);
                }
                self.waiting[engine].swap_remove(index);
                for narrowed in self.boards[entry].record_answer(&keys, now) {
                    self.send_to_all(entry, &narrowed, now);
                }
                self.outcome.served += 1;
            }
            Event::Crash { engine } => self.crash(engine, now),
            Event::Probed { entry, engine } => {
                for sighting in self.boards[entry].record_probe(&common::engine(engine)) {
                    self.report(entry, &sighting, now);
                    self.count(entry, &sighting, now);
                }
            }
            Event::Report { entry, sighting } => {
                self.received[entry] += 1;
                self.count(entry, &sighting, now);
            }
            Event::Block { entry, sender, block } => {
                self.received[entry] += 1;
                let applied = self.boards[entry].apply_block(&block, now);
                if applied.has_objection {
                    let delay = feedback_delay(self.random.random(), self.load.entries);
                    let keys = block.keys;
                    self.schedule(now + delay, Event::Objection { entry, sender, keys });
                }
                if let Some(narrowed) = applied.narrowed {
                    self.send_to_all(entry, &narrowed, now);
                }
            }
            Event::Objection { entry, sender, keys } => {
                if let Some(block) = self.boards[entry].objection(&keys) {
                    self.send(now, Event::Block { entry: sender, sender: entry, block });
                }
            }
            Event::Heartbeat { entry } => self.exchange_digests(entry, now),
        }
    }

    fn arrive(&mut self, now: Instant) {
        let mean_gap = Duration::from_secs_f64(1.0 / self.load.requests_per_second);
        let gap = mean_gap.mul_f64(self.random.random_range(0.5..1.5));
        self.schedule(now + gap, Event::Arrival);
        let entry = self.random.random_range(0..self.load.entries);
        let is_deadly = self.random.random_bool(self.load.deadly_share);
        let (route, customer) =
            (self.random.random_range(100..103), self.random.random_range(200..260));
        // The deadly requests and some of the sound ones are those of one customer.
        let customer = if is_deadly { 200 } else { customer };
        let own = self.random.random_range(1_000..u64::MAX);
        let deadly = is_deadly.then_some(DEADLY_PART);
        let keys: SuspectKeys =
            [route, customer, own].into_iter().chain(deadly).map(SuspectKey).collect();
        if self.boards[entry].blocked_until(&keys, now).is_some() {
            match is_deadly {
                true => self.outcome.refused_deadly += 1,
                false => self.outcome.refused_sound += 1,
            }
            return;
        }
        let engine = self.random.random_range(0..self.load.engines);
        if now < self.down_until[engine] {
            return;
        }
        self.waiting[engine].push((entry, keys.clone(), now));
        let prefill = Duration::from_millis(self.random.random_range(40..400));
        self.schedule(now + prefill, Event::Begin { entry, engine, keys, sent: now, is_deadly });
    }

    fn crash(&mut self, engine: usize, now: Instant) {
        self.down_until[engine] = now + DOWNTIME;
        for (entry, keys, sent) in std::mem::take(&mut self.waiting[engine]) {
            let attempt = SeveredAttempt { keys, sent, severed: now };
            if self.boards[entry].record_severed(&common::engine(engine), attempt) {
                self.schedule(now + PROBE_TIME, Event::Probed { entry, engine });
            }
        }
    }

    fn report(&mut self, entry: usize, sighting: &CrashSighting, now: Instant) {
        let mut counting: Vec<usize> = Vec::new();
        for key in sighting.keys.iter() {
            let mut ranked: Vec<usize> = (0..self.load.entries).collect();
            ranked.sort_by_key(|entry| Reverse(common::rank(key, *entry)));
            counting.extend(&ranked[..COUNTING_ENTRIES]);
        }
        counting.sort_unstable();
        counting.dedup();
        for counting in counting.into_iter().filter(|counting| *counting != entry) {
            let sighting = sighting.clone();
            self.send(now, Event::Report { entry: counting, sighting });
        }
    }

    fn count(&mut self, entry: usize, sighting: &CrashSighting, now: Instant) {
        if let Some(block) = self.boards[entry].record_crash(sighting, now) {
            self.send_to_all(entry, &block, now);
        }
    }

    fn send_to_all(&mut self, sender: usize, block: &RequestBlock, now: Instant) {
        for entry in (0..self.load.entries).filter(|entry| *entry != sender) {
            self.send(now, Event::Block { entry, sender, block: block.clone() });
        }
    }

    fn send(&mut self, now: Instant, event: Event) {
        if !self.random.random_bool(LOST_DATAGRAMS) {
            self.schedule(now + DATAGRAM_TIME, event);
        }
    }

    /// One heartbeat of the many that an entry receives.
    fn exchange_digests(&mut self, entry: usize, now: Instant) {
        self.schedule(now + HEARTBEAT_INTERVAL, Event::Heartbeat { entry });
        let other = self.random.random_range(0..self.load.entries);
        if self.boards[other].digest(now) != self.boards[entry].digest(now) {
            for block in self.boards[other].active_blocks(now) {
                self.send(now, Event::Block { entry, sender: other, block });
            }
        }
    }
}

#[rstest]
#[case::four_entries(4, 12, 40.0, 0.03)]
#[case::many_deadly_requests(4, 12, 40.0, 0.15)]
#[case::thirty_entries(30, 55, 150.0, 0.02)]
#[case::three_hundred_entries(300, 600, 1_500.0, 0.003)]
fn deadly_part_is_blocked_and_sound_requests_are_not(
    #[case] entries: usize,
    #[case] engines: usize,
    #[case] requests_per_second: f64,
    #[case] deadly_share: f64,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let load = Load {
        entries,
        engines,
        requests_per_second,
        deadly_share,
        crashes_per_second: 0.5,
        run_time: RUN_TIME,
    };

    let outcome = Replay::new(load, seed).run();

    // Three crashes show the cause; requests that are in flight meanwhile crash engines, too.
    let in_flight = (requests_per_second * deadly_share).ceil() as u32;
    assert!(outcome.crashes_by_requests <= 3 + 3 * in_flight.max(1), "{outcome:?}");
    assert!(outcome.refused_deadly > outcome.crashes_by_requests, "{outcome:?}");
    assert_refusals_are_rare(&outcome);
}

/// Of the requests that could be served, five and one in 500 may be refused.
fn assert_refusals_are_rare(outcome: &Outcome) {
    let limit = 5 + (outcome.served + outcome.refused_sound) / 500;
    assert!(outcome.refused_sound <= limit, "at most {limit}: {outcome:?}");
}

#[rstest]
#[case::four_entries(4, 12, 40.0)]
#[case::thirty_entries(30, 55, 150.0)]
fn nothing_is_blocked_while_engines_crash_by_themselves(
    #[case] entries: usize,
    #[case] engines: usize,
    #[case] requests_per_second: f64,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let crashes_per_second = engines as f64 / 12.0;
    let load = Load {
        entries,
        engines,
        requests_per_second,
        deadly_share: 0.0,
        crashes_per_second,
        run_time: RUN_TIME,
    };

    let outcome = Replay::new(load, seed).run();

    assert_refusals_are_rare(&outcome);
    assert!(outcome.served > 100, "{outcome:?}");
}

#[test]
fn messages_at_an_entry_do_not_grow_with_the_fleet() {
    // The fleet grows with its load, and two requests with the deadly part come a second.
    let most = [30, 300, 2_600].map(|entries| {
        let load = Load {
            entries,
            engines: entries * 2,
            requests_per_second: REQUESTS_AT_ENTRY * entries as f64,
            deadly_share: 2.0 / (REQUESTS_AT_ENTRY * entries as f64),
            crashes_per_second: 0.5,
            run_time: Duration::from_secs(8),
        };
        Replay::new(load, 1).run().most_received
    });

    println!("most messages received by an entry of 30, 300 and 2,600 in 8 s: {most:?}");
    assert!(most[2] <= most[0] * 2, "{most:?}");
}
