//! What a seed writes among the objects of the store, and when.

use std::time::Duration;

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::deployed::LENDING_SIZE;

/// Names of objects; some sort between those of the servers, some before or behind all of them.
const NAMES: [&str; 16] = [
    "a00%41",
    "a01%",
    "a01%zz",
    "a02&b=",
    "a03+",
    "a04%C3%A9",
    "a#b",
    "a b",
    "a?c",
    "m%41",
    "i%",
    "\u{e9}t\u{e9}",
    "i-4%",
    "zz+",
    "s-1 b",
    ".",
];
/// Length of a long name.
const LONG_NAME: usize = 2_000;
/// Kind of the backend servers.
const SERVERS: &str = "servers";
/// Kinds that the processes list, those of the servers aside.
const OTHER_KINDS: [&str; 4] =
    ["config", "fescuewalk-entries", "fescuewalk-blocks", "fescuewalk-versions"];
/// Numbers of objects on a page.
const PAGE_SIZES: [usize; 4] = [1, 2, 7, 50];
/// Upper limit of the large objects of a kind.
const MAX_LARGE: usize = 3;
/// Size of the contents of a large object, in bytes.
const LARGE_SIZES: std::ops::RangeInclusive<usize> = 200_000..=1_000_000;

/// An object of another writer.
#[derive(Debug, Clone, PartialEq)]
pub struct OddObject {
    /// Its kind.
    pub kind: &'static str,
    /// Its place among the objects of the kind.
    pub name: String,
    /// The object as a whole.
    pub object: Value,
}

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
    /// Engine under whose id an odd entry stands until its next check-in; `None` for none.
    pub shadowed: Option<usize>,
    /// Whether an odd entry appears, during service, under an id that no server ever had.
    pub has_stranger: bool,
    /// Time without power.
    pub down: Duration,
}

impl OddNamesPlan {
    /// The plan of `seed`.
    pub fn from_seed(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let page_size = *PAGE_SIZES.choose(&mut random).expect("the list is not empty");
        let written = match random.random_range(0..4) {
            0 => WritingTime::BeforeStart,
            1 => WritingTime::BeforeRestart,
            2 => WritingTime::BeforeLoss,
            _ => WritingTime::WhileDown,
        };
        let mut objects = draw_objects(SERVERS, 4..=10, page_size, &mut random);
        for kind in OTHER_KINDS {
            if random.random_bool(0.5) {
                objects.extend(draw_objects(kind, 1..=4, page_size, &mut random));
            }
        }
        Self {
            seed,
            page_size,
            objects,
            written,
            shadowed: random.random_bool(0.5).then(|| random.random_range(0..LENDING_SIZE.engines)),
            has_stranger: random.random_bool(0.5),
            down: Duration::from_millis(random.random_range(100..2_000)),
        }
    }
}

fn draw_objects(
    kind: &'static str,
    count: std::ops::RangeInclusive<usize>,
    page_size: usize,
    random: &mut ChaCha8Rng,
) -> Vec<OddObject> {
    let mut names: Vec<String> = NAMES.map(str::to_owned).to_vec();
    names.push("i-".to_owned() + &"n".repeat(LONG_NAME));
    let count = random.random_range(count);
    let names: Vec<String> = names.sample(random, count).cloned().collect();
    // A page needs one object that has a name, or no reader could continue after it.
    let nameless = (page_size > 1 && random.random_bool(0.3)).then(|| names.len() - 1);
    let mut large_left = MAX_LARGE;
    let draw = |(index, name): (usize, String)| {
        let contents = draw_contents(&mut large_left, random);
        let object = match (Some(index) == nameless, contents) {
            (true, _) => json!({ "metadata": {}, "spec": [] }),
            (false, Some(contents)) => json!({ "metadata": metadata(&name), "spec": contents }),
            (false, None) => json!({ "metadata": metadata(&name) }),
        };
        OddObject { kind, name, object }
    };
    names.into_iter().enumerate().map(draw).collect()
}

fn metadata(name: &str) -> Value {
    json!({ "name": name, "revision": 1, "created": 1, "finalizers": [], "deleting": false })
}

/// Contents that describe nothing of this system; `None` for none at all.
fn draw_contents(large_left: &mut usize, random: &mut ChaCha8Rng) -> Option<Value> {
    match random.random_range(0..6) {
        0 => Some(json!([1, 2])),
        1 => Some(json!(7)),
        2 => Some(Value::Null),
        3 => None,
        4 if *large_left > 0 => {
            *large_left -= 1;
            Some(json!({ "text": "x".repeat(random.random_range(LARGE_SIZES)) }))
        }
        _ => Some(json!({ "service": 3, "address": [] })),
    }
}
