//! Input from outside (settings, lists, requests, frames) is parsed or refused with a typed error
//! and never causes a panic.

use std::cell::Cell;

use base::{ini::FileFaults, prelude::*};
use bytes::Bytes;
use entry::{
    calls::{CallHead, CallerCall, authenticate},
    settings::EntrySettings,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use lists::{ListSet, check_lists};
use proof::plan::{MODELS, first_key, plans_text, rights_text};
use proptest::{
    collection::vec,
    prelude::*,
    sample::Index,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use prost::Message as _;
use side::SideSettings;
use tokio::io::{AsyncWriteExt, duplex};
use wire::{
    Envelope, Message,
    codec::{MAX_FRAME_BYTES, frames, read_message},
    run::{HeaderField, RunRequest},
};

const ENTRY_SETTINGS: &str = "[process]\nvm = e\nzone = z\nregion = r\n\
    peer-address = 127.0.0.1:1\nhttp-address = 127.0.0.1:2\nsecret = a long secret\n\
    [platform]\naddress = 127.0.0.1:3\nreads = 5/s\nvm-poll = 1s\n\
    [limits]\nbody = 4MiB\ndrain = 10min\n[log]\nlevel = info\n";

const SIDE_SETTINGS: &str = "[process]\nvm = s\nzone = z\nregion = r\n\
    peer-address = 127.0.0.1:1\nhttp-address = 127.0.0.1:2\nsecret = a long secret\n\
    [backend]\nkind = engine\nservice = rosnatka\naddress = 127.0.0.1:3\nmemory = 80GiB\n\
    checks-fencing = yes\n[platform]\naddress = 127.0.0.1:4\n";

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Position of a character and the text that replaces it.
type TextEdit = (Index, String);

fn edits() -> impl Strategy<Value = Vec<TextEdit>> {
    let piece = prop_oneof!["[\\[\\]=;# \n]{0,3}", "[0-9a-z.:/-]{0,6}", ".{0,3}"];
    vec((any::<Index>(), piece), 1..5)
}

fn apply_edits(text: &str, edits: &[TextEdit]) -> String {
    let mut characters = text.chars().collect::<Vec<_>>();
    for (index, piece) in edits {
        let at = index.index(characters.len().max(1));
        let end = characters.len().min(at + 1);
        characters.splice(at.min(end)..end, piece.chars());
    }
    characters.into_iter().collect()
}

/// Whether there is at least one fault, and each names a line of the file.
fn have_valid_lines(faults: &FileFaults, text: &str) -> bool {
    // The parser also takes a lone carriage return as the end of a line.
    let lines =
        text.chars().filter(|character| matches!(character, '\n' | '\r')).count() as u32 + 1;
    !faults.faults.is_empty() && faults.faults.iter().all(|fault| fault.line <= lines)
}

#[test]
fn entry_settings_parse_or_list_faults() {
    assert!(EntrySettings::parse("entry.ini", ENTRY_SETTINGS).is_ok());

    let check = |edits: Vec<TextEdit>| {
        let text = apply_edits(ENTRY_SETTINGS, &edits);
        let parsed = EntrySettings::parse("entry.ini", &text);
        prop_assert!(
            parsed.err().is_none_or(|faults| have_valid_lines(&faults, &text)),
            "{}",
            text
        );
        Ok(())
    };

    runner(2_000).run(&edits(), check).unwrap();
}

#[test]
fn side_settings_parse_or_list_faults() {
    assert!(SideSettings::parse("side.ini", SIDE_SETTINGS).is_ok());

    let check = |edits: Vec<TextEdit>| {
        let text = apply_edits(SIDE_SETTINGS, &edits);
        let parsed = SideSettings::parse("side.ini", &text);
        prop_assert!(
            parsed.err().is_none_or(|faults| have_valid_lines(&faults, &text)),
            "{}",
            text
        );
        Ok(())
    };

    runner(2_000).run(&edits(), check).unwrap();
}

#[test]
fn lists_parse_or_list_faults() {
    let (plans, rights) = (plans_text(2), rights_text());
    assert!(check_lists(&plans, &rights).is_ok());

    let check = |(in_plans, in_rights): (Vec<TextEdit>, Vec<TextEdit>)| {
        let plans = apply_edits(&plans, &in_plans);
        let rights = apply_edits(&rights, &in_rights);
        match check_lists(&plans, &rights) {
            Ok(image) => {
                prop_assert!(ListSet::from_image(ListVersion(1), &image).is_ok());
            }
            Err(faults) => prop_assert!(!faults.faults.is_empty()),
        }
        Ok(())
    };

    runner(2_000).run(&(edits(), edits()), check).unwrap();
}

fn list_set() -> ListSet {
    let image = check_lists(&plans_text(0), &rights_text()).unwrap();
    ListSet::from_image(ListVersion(1), &image).unwrap()
}

fn headers() -> impl Strategy<Value = HeaderMap> {
    let names = ["authorization", "idempotency-key", "x-deadline-ms", "content-type"];
    let value = prop_oneof![
        Just(format!("Bearer {}", first_key()).into_bytes()),
        Just(u64::MAX.to_string().into_bytes()),
        "[ -~]{0,20}".prop_map(String::into_bytes),
        vec(any::<u8>(), 0..12),
    ];
    let known = vec((prop::sample::select(names.to_vec()), value), 0..5);
    (any::<bool>(), known).prop_map(|(has_key, known)| {
        let mut headers = HeaderMap::new();
        if has_key {
            let value = format!("Bearer {}", first_key());
            headers.insert("authorization", value.parse().unwrap());
        }
        for (name, value) in known {
            if let Ok(value) = HeaderValue::from_bytes(&value) {
                headers.entry(HeaderName::from_static(name)).or_insert(value);
            }
        }
        headers
    })
}

fn chat_body() -> impl Strategy<Value = Vec<u8>> {
    let model =
        prop_oneof![prop::sample::select(MODELS.to_vec()).prop_map(str::to_owned), ".{0,9}"];
    let chat = (model, any::<bool>(), any::<u64>()).prop_map(|(model, stream, max_tokens)| {
        let messages = [serde_json::json!({ "role": "user", "content": "x" })];
        let chat = serde_json::json!({
            "model": model, "stream": stream, "max_tokens": max_tokens, "messages": messages,
        });
        chat.to_string().into_bytes()
    });
    let cut = (chat, any::<Index>(), any::<bool>()).prop_map(|(chat, cut, is_cut)| match is_cut {
        true => chat[..cut.index(chat.len())].to_vec(),
        false => chat,
    });
    prop_oneof![3 => cut, 1 => vec(any::<u8>(), 0..60)]
}

#[test]
fn chat_requests_parse_or_are_refused_as_not_run() {
    let lists = list_set();
    let parsed = Cell::new(0);
    let now = Instant::now();

    let check = |(headers, body): (HeaderMap, Vec<u8>)| {
        let body = Bytes::from(body);
        let path = "/v1/chat/completions".to_owned();
        let head = CallHead { method: Method::POST, path, headers };
        match authenticate(&lists, &head.headers)
            .and_then(|rights| CallerCall::chat(&lists, rights, &head, body.clone(), now))
        {
            Ok(call) => {
                parsed.set(parsed.get() + 1);
                prop_assert_eq!(call.body, body);
                prop_assert!(call.deadline >= now);
            }
            Err(code) => prop_assert_eq!(code.run_state(), RunState::NotRun),
        }
        Ok(())
    };

    runner(3_000).run(&(headers(), chat_body()), check).unwrap();
    assert!(parsed.get() > 100, "only {} requests were parsed", parsed.get());
}

#[test]
fn service_calls_parse_or_are_refused_as_not_run() {
    let lists = list_set();
    let now = Instant::now();

    let check = |(headers, method, name): (HeaderMap, Vec<u8>, String)| {
        let Ok(method) = Method::from_bytes(&method) else { return Ok(()) };
        let path = format!("/services/{name}");
        let head = CallHead { method, path, headers };
        let called = authenticate(&lists, &head.headers).and_then(|rights| {
            CallerCall::service(&lists, rights, &name, &head, Bytes::new(), now)
        });
        prop_assert!(called.err().is_none_or(|code| code.run_state() == RunState::NotRun));
        Ok(())
    };

    let method = prop_oneof![Just(b"POST".to_vec()), "[A-Z]{1,8}".prop_map(String::into_bytes)];
    let name = prop_oneof![Just("vrbovka".to_owned()), ".{0,12}"];
    runner(2_000).run(&(headers(), method, name), check).unwrap();
}

fn envelope() -> impl Strategy<Value = Envelope> {
    let field = ("[a-z-]{1,8}", vec(any::<u8>(), 0..8));
    let fields = vec(field.prop_map(|(name, value)| HeaderField { name, value }), 0..3);
    let run = (vec(any::<u8>(), 0..20), any::<u32>(), ".{0,8}", fields, any::<u64>());
    (any::<u64>(), run).prop_map(|(list_version, (request, attempt, path, headers, timeout_ms))| {
        let run = RunRequest { request, attempt, path, headers, timeout_ms, ..Default::default() };
        Envelope { list_version, message: Some(Message::RunRequest(run)) }
    })
}

#[test]
fn envelopes_round_trip_and_corrupt_bytes_never_panic() {
    let check = |(envelope, at, byte): (Envelope, Index, u8)| {
        let mut bytes = envelope.encode_to_vec();
        prop_assert_eq!(Envelope::decode(bytes.as_slice()).ok(), Some(envelope));

        let at = at.index(bytes.len().max(1));
        if let Some(place) = bytes.get_mut(at) {
            *place = byte;
        }
        let _read = Envelope::decode(bytes.as_slice());
        let _cut = Envelope::decode(&bytes[..at.min(bytes.len())]);
        Ok(())
    };

    runner(2_000).run(&(envelope(), any::<Index>(), any::<u8>()), check).unwrap();
}

/// Returns the number of frames read from `bytes` until the first error.
fn read_frames(bytes: Vec<u8>) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (mut near, far) = duplex(1 << 16);
        tokio::spawn(async move {
            let _sent = near.write_all(&bytes).await;
        });
        let mut frames = frames(far);
        let mut count = 0;
        while read_message::<_, Envelope>(&mut frames).await.is_ok() {
            count += 1;
        }
        count
    })
}

#[test]
fn random_bytes_end_the_frame_stream() {
    let check = |bytes: Vec<u8>| {
        let max_frames = bytes.len() / 4;
        prop_assert!(read_frames(bytes) <= max_frames);
        Ok(())
    };

    let bytes = vec(prop_oneof![4 => Just(0_u8), 1 => any::<u8>()], 0..200);
    runner(300).run(&bytes, check).unwrap();
}

#[test]
fn oversized_frame_is_rejected_by_its_length() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).unwrap();

    let read = read_frames(length.to_be_bytes().to_vec());

    assert_eq!(read, 0);
}
