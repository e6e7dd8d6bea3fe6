//! Cost of lists of the design size at one node.

use base::prelude::*;
use lists::{
    ListDelta, ListImage, SectionKind, SectionName,
    image::SectionChange,
    spread::{
        ListCopy, SpreadBody, SpreadFrame,
        copy::EditStep,
        message::{ChangeMessage, EditsMessage, PullMessage, StepMessage},
    },
};
use prost::Message;

/// Edits timed for each size.
const EDITS: u64 = 200;
/// Copies of the lists held at once to measure memory.
const COPIES: u64 = 16;

/// Cost of lists with a number of adapters.
pub struct ListCost {
    pub adapters: usize,
    /// Bytes of the frames that transfer a full copy.
    pub copy_bytes: u64,
    /// Time to apply a full copy.
    pub copy_time: Duration,
    /// Time to apply one edit.
    pub edit_time: Duration,
    /// Bytes of the frame that transfers one edit.
    pub edit_bytes: u64,
    /// Resident bytes of one copy.
    pub memory: u64,
}

/// Measures lists with `adapters` adapters, 120 models and 200 customers.
pub fn measure(adapters: usize) -> ListCost {
    let image = full_image(adapters);
    let mut parent = ListCopy::default();
    parent.apply_image(ListVersion(1), image.clone());
    let pull = PullMessage { version: 0, digest: 0 };
    let frames: Vec<_> = parent.answer_pull(&pull);
    let copy_bytes = frames.iter().map(frame_bytes).sum();
    let before = resident_bytes();
    let started = Instant::now();
    let mut copies = Vec::new();
    for _ in 0..COPIES {
        copies.push(apply_frames(frames.clone()));
    }
    let copy_time = started.elapsed() / COPIES as u32;
    let memory = resident_bytes().saturating_sub(before) / COPIES;
    let (edit_time, edit_bytes) = time_edits(&mut parent, image);
    ListCost { adapters, copy_bytes, copy_time, edit_time, edit_bytes, memory }
}

fn apply_frames(frames: Vec<SpreadBody>) -> ListCopy {
    let mut copy = ListCopy::default();
    for frame in frames {
        if let SpreadBody::Copy(piece) = frame {
            copy.apply_piece(piece);
        }
    }
    copy
}

fn time_edits(copy: &mut ListCopy, mut image: ListImage) -> (Duration, u64) {
    let mut steps = Vec::new();
    for number in 0..EDITS {
        let name = SectionName::new(SectionKind::Adapter, format!("adapter-{number}"));
        let text = format!("base = model-{}\nmemory = 120MiB\n", number % 7);
        let delta = ListDelta { changes: vec![SectionChange { name, text: Some(text) }] };
        image.apply(&delta);
        let version = ListVersion(number + 2);
        steps.push(EditStep { version, digest: image.digest(), delta });
    }
    let started = Instant::now();
    for step in steps {
        copy.apply_steps(vec![step]);
    }
    let time = started.elapsed() / EDITS as u32;
    assert_eq!(copy.version(), ListVersion(EDITS + 1));
    (time, edit_frame_bytes())
}

/// Size of a frame with one edit of an adapter.
fn edit_frame_bytes() -> u64 {
    let name = String::from("adapter adapter-1000");
    let text = Some(String::from("base = model-100\nmemory = 120MiB\n"));
    let changes = vec![ChangeMessage { name, text }];
    let step = StepMessage { version: 1_000_000, digest: 1, changes };
    frame_bytes(&SpreadBody::Edits(EditsMessage { steps: vec![step] }))
}

fn frame_bytes(body: &SpreadBody) -> u64 {
    let frame = SpreadFrame { body: Some(body.clone()) };
    frame.encoded_len() as u64
}

fn full_image(adapters: usize) -> ListImage {
    let mut changes = Vec::new();
    let mut add = |kind, name: String, text: String| {
        let name = SectionName::new(kind, name);
        changes.push(SectionChange { name, text: Some(text) });
    };
    add(
        SectionKind::Service,
        "rosnatka".into(),
        "kind = engine\nreplicas = 10000\nmemory = 80GiB\n".into(),
    );
    add(
        SectionKind::Plan,
        "gold".into(),
        "priority = 1\nshare = 1\nmodels = *\nadapters = *\n".into(),
    );
    for number in 0..120 {
        let text = "service = rosnatka\nreplicas = 80\nmemory = 14GiB\nclass = short\n";
        add(SectionKind::Model, format!("model-{number}"), text.into());
    }
    for number in 0..200 {
        let hash = KeyHash::of_key(&number.to_string());
        let text = format!("plan = gold\nkey-hash = {hash}\nhome-region = cz-central\n");
        add(SectionKind::Customer, format!("customer-{number}"), text);
    }
    for number in 0..adapters {
        let text = format!("base = model-{}\nmemory = 120MiB\n", number % 120);
        add(SectionKind::Adapter, format!("adapter-{number}"), text);
    }
    let mut image = ListImage::default();
    image.apply(&ListDelta { changes });
    image
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * 4_096
}
