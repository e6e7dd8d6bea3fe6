//! Objects of other writers, drawn from all that their names, forms and numbers may be.

use std::ops::RangeInclusive;

use rand::{RngExt, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use super::objects::{OddObject, metadata};

/// Number of objects of a kind that has very many.
const MANY_OBJECTS: usize = 300;
/// Probability of very many objects of a kind.
const MANY_SHARE: f64 = 0.2;
/// Longest name, in bytes.
const MAX_NAME: usize = 4_096;
/// Size of the contents of a large object, in bytes.
const LARGE_SIZE: usize = 900_000;
/// Levels of a deep value, more than a reader of JSON descends.
const DEPTH: usize = 200;
/// Names that are the beginning of a server's, equal to it up to case, or behind all.
const NEAR_NAMES: [&str; 12] =
    ["i", "i-", "s-", "edge-", "I-4", "S-1", "Edge-1", "MAIN", "~", "zz%7", "\u{ffff}", ".."];
/// What a name begins with.
const NAME_STARTS: [&str; 6] = ["!", "a0", "i-4", "s-", "z", "\u{e9}"];
/// What follows.
const NAME_PARTS: [&str; 12] =
    ["%", "+", "&", "=", "#", "?", "/", "\n", "\"", "\u{e9}", "%2F", "x"];

/// Draws objects of one kind; only one of them has no name.
pub(super) fn draw_wide_objects(
    kind: &'static str,
    count: RangeInclusive<usize>,
    page_size: usize,
    random: &mut ChaCha8Rng,
) -> Vec<OddObject> {
    let is_many = random.random_bool(MANY_SHARE);
    let count = if is_many { MANY_OBJECTS } else { random.random_range(count) };
    // A page needs one object that has a name, or no reader could continue after it.
    let nameless =
        (page_size > 1 && random.random_bool(0.5)).then(|| random.random_range(0..count));
    let draw = |index| {
        let name = if is_many { format!("a{index:03}%") } else { draw_name(random) };
        let object = match Some(index) == nameless {
            true => draw_nameless(random),
            false => draw_object(&name, !is_many && index == 0, random),
        };
        OddObject { kind, name, object }
    };
    (0..count).map(draw).collect()
}

fn draw_name(random: &mut ChaCha8Rng) -> String {
    if random.random_bool(0.3) {
        return (*NEAR_NAMES.choose(random).expect("the list is not empty")).to_owned();
    }
    let length = if random.random_bool(0.3) { MAX_NAME } else { random.random_range(1..=30) };
    let mut name = (*NAME_STARTS.choose(random).expect("the list is not empty")).to_owned();
    while name.len() < length {
        name.push_str(NAME_PARTS.choose(random).expect("the list is not empty"));
    }
    name.truncate(name.floor_char_boundary(length));
    if name.is_empty() { "!".to_owned() } else { name }
}

fn draw_nameless(random: &mut ChaCha8Rng) -> Value {
    match random.random_range(0..5) {
        0 => json!(7),
        1 => json!([]),
        2 => Value::Null,
        3 => json!({ "metadata": 7 }),
        _ => json!({ "metadata": {}, "spec": [] }),
    }
}

fn draw_object(name: &str, may_be_large: bool, random: &mut ChaCha8Rng) -> Value {
    let mut object = json!({ "metadata": metadata(name) });
    match random.random_range(0..4) {
        0 => object["status"] = json!([7]),
        1 => object["status"] = json!({ "models": 7, "state": [] }),
        2 => object["metadata"]["deleting"] = json!(true),
        _ => object["metadata"]["finalizers"] = json!(7),
    }
    match random.random_range(0..7) {
        0 => object["spec"] = json!([1, 2]),
        1 => object["spec"] = json!("127.0.0.1"),
        2 => object["spec"] = Value::Null,
        3 => {}
        4 => object["spec"] = (0..DEPTH).fold(json!(7), |inner, _| json!([inner])),
        5 if may_be_large => object["spec"] = json!({ "text": "x".repeat(LARGE_SIZE) }),
        _ => object["spec"] = json!({ "service": 3, "address": [] }),
    }
    object
}
