//! What a seed writes among the objects of the store, and when.

use std::{ops::RangeInclusive, time::Duration};

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use super::{
    objects::{OddObject, draw_objects, metadata},
    wide::draw_wide_objects,
};
use crate::deployed::LENDING_SIZE;

/// Seeds that keep the narrow draw with which they once failed.
const NARROW_SEEDS: RangeInclusive<u64> = 0..=20;
/// Seeds that play the day of an incident, with its names.
const INCIDENT_SEEDS: RangeInclusive<u64> = 1_000..=1_008;
/// Numbers of objects on a page on these days.
const INCIDENT_PAGE_SIZES: [usize; 3] = [1, 2, 50];
/// Figures: one digit, two that stand for a character before the percent sign, and two for one behind it.
const INCIDENT_FIGURES: [&str; 3] = ["7", "20", "41"];
/// Kind of the backend servers.
const SERVERS: &str = "servers";
/// Kinds that the processes list, those of the servers aside.
const OTHER_KINDS: [&str; 4] =
    ["config", "fescuewalk-entries", "fescuewalk-blocks", "fescuewalk-versions"];
/// Numbers of objects on a page.
const PAGE_SIZES: [usize; 4] = [1, 2, 7, 50];

/// When the objects are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WritingTime {
    /// Before any process starts.
    BeforeStart,
    /// Just before all processes are stopped and started.
    BeforeRestart,
    /// Just before the loss of power.
    BeforeLoss,
    /// While no machine has power.
    WhileDown,
}

/// Under whose id an odd entry appears among the servers during service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OddEntry {
    /// Of an engine in service, until its next check-in.
    Engine(usize),
    /// Of no server that ever was.
    Stranger,
    /// Of a server that has left.
    Former,
}

/// All that a seed decides.
#[derive(Debug, Clone)]
pub struct OddNamesPlan {
    /// The seed.
    pub seed: u64,
    /// Number of objects on a page of a listing.
    pub page_size: usize,
    /// What another writer leaves.
    pub objects: Vec<OddObject>,
    /// When it does so.
    pub written: WritingTime,
    /// Whether they are deleted while the processes are stopped, and written again after their start.
    pub is_rewritten: bool,
    /// Odd entries that appear during service.
    pub odd_entries: Vec<OddEntry>,
    /// Whether these change once more after the return.
    pub has_late_change: bool,
    /// Time without power.
    pub down: Duration,
}

impl OddNamesPlan {
    /// The plan of `seed`.
    pub fn from_seed(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        if INCIDENT_SEEDS.contains(&seed) {
            return Self::of_incident(seed);
        }
        let is_narrow = NARROW_SEEDS.contains(&seed);
        let page_size = *PAGE_SIZES.choose(&mut random).expect("the list is not empty");
        let written = match random.random_range(0..4) {
            0 => WritingTime::BeforeStart,
            1 => WritingTime::BeforeRestart,
            2 => WritingTime::BeforeLoss,
            _ => WritingTime::WhileDown,
        };
        let draw = if is_narrow { draw_objects } else { draw_wide_objects };
        let mut objects = draw(SERVERS, 4..=10, page_size, &mut random);
        for kind in OTHER_KINDS {
            if random.random_bool(0.5) {
                objects.extend(draw(kind, 1..=4, page_size, &mut random));
            }
        }
        let engine = random.random_bool(0.5).then(|| random.random_range(0..LENDING_SIZE.engines));
        let has_stranger = random.random_bool(0.5);
        let down = Duration::from_millis(random.random_range(100..2_000));
        let has_former = !is_narrow && random.random_bool(0.5);
        let engines = engine.map(OddEntry::Engine).into_iter();
        let strangers = has_stranger.then_some(OddEntry::Stranger);
        let formers = has_former.then_some(OddEntry::Former);
        Self {
            seed,
            page_size,
            objects,
            written,
            is_rewritten: !is_narrow && random.random_bool(0.3),
            odd_entries: engines.chain(strangers).chain(formers).collect(),
            has_late_change: !is_narrow && random.random_bool(0.5),
            down,
        }
    }

    /// The day of the incident: names written during service, a plain restart, and a loss of power. The
    /// days differ by the pages, the figures that were not kept, and the id of the odd entry.
    fn of_incident(seed: u64) -> Self {
        let number = usize::try_from(seed - INCIDENT_SEEDS.start()).unwrap_or(0);
        let (page, figure) = (number / 3, number % 3);
        let names = incident_names(INCIDENT_FIGURES[figure]);
        let objects = names.map(|name| {
            let object =
                json!({ "metadata": metadata(&name), "spec": { "service": 3, "address": [] } });
            OddObject { kind: SERVERS, name, object }
        });
        let entries = [OddEntry::Stranger, OddEntry::Engine(3), OddEntry::Former];
        Self {
            seed,
            page_size: INCIDENT_PAGE_SIZES[page],
            objects: objects.into(),
            written: WritingTime::BeforeRestart,
            is_rewritten: false,
            odd_entries: vec![entries[(page + figure) % entries.len()]],
            has_late_change: true,
            down: Duration::from_secs(1),
        }
    }
}

/// Names of an incident, whose figures after the first two percent signs were not kept.
fn incident_names(figure: &str) -> [String; 5] {
    [
        format!("a00%{figure}"),
        format!("a01%{figure}"),
        "a02&b=".to_owned(),
        "a03+".to_owned(),
        "a04%C3%A9".to_owned(),
    ]
}
