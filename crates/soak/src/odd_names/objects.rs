//! Objects of other writers in the store, drawn from a few names and forms.

use std::ops::RangeInclusive;

use rand::{RngExt, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

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
/// Upper limit of the large objects of a kind.
const MAX_LARGE: usize = 3;
/// Size of the contents of a large object, in bytes.
const LARGE_SIZES: RangeInclusive<usize> = 200_000..=1_000_000;

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

/// Draws objects of one kind.
pub(super) fn draw_objects(
    kind: &'static str,
    count: RangeInclusive<usize>,
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

pub(super) fn metadata(name: &str) -> Value {
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
