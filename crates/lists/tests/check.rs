//! Tests of parsing, validation and the look-ups of requests.

use std::fs;

use base::prelude::*;
use lists::{
    ListDelta, ListImage, ListSet, RequestTarget, SectionKind, SectionName, check_lists,
    image::SectionChange,
};
use rstest::rstest;

const KEY: &str = "demo-crew-north-1";

fn example(directory: &str) -> (String, String) {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let read = |list| fs::read_to_string(format!("{root}/{directory}/{list}.ini")).unwrap();
    (read("plans"), read("rights"))
}

fn slatina_image() -> ListImage {
    let (plans, rights) = example("slatina");
    check_lists(&plans, &rights).unwrap()
}

fn slatina() -> ListSet {
    ListSet::from_image(ListVersion(1), &slatina_image()).unwrap()
}

fn change(kind: SectionKind, name: &str, text: Option<&str>) -> ListDelta {
    let name = SectionName::new(kind, name);
    ListDelta { changes: vec![SectionChange { name, text: text.map(str::to_owned) }] }
}

#[rstest]
#[case("slatina", 70, 60, 2)]
#[case("toy-desk", 50, 40, 2)]
fn examples_have_no_faults(
    #[case] directory: &str,
    #[case] models: usize,
    #[case] adapters: usize,
    #[case] services: usize,
) {
    let (plans, rights) = example(directory);

    let image = check_lists(&plans, &rights).unwrap();
    let set = ListSet::from_image(ListVersion(1), &image).unwrap();

    let counts = (set.models().count(), set.adapters().count(), set.services().count());
    assert_eq!(counts, (models, adapters, services));
}

#[test]
fn reports_all_faults_with_lines() {
    let hash = KeyHash::of_key("k");
    let plans = format!(
        "[customer a]\nplan = gold\nkey-hash = {hash}\nhome-region = r\n\
         [customer b]\nplan = none\nkey-hash = {hash}\nhome-region = r\n\
         [customer a]\nplan = gold\nkey-hash = {hash}\nhome-region = r\n\
         [model m]\nservice = s\n"
    );
    let rights = "[plan gold]\npriority = 12\nshare = 1\nmodels = m\n[model x y]\n[thing z]\n";

    let faults = check_lists(&plans, rights).unwrap_err().faults;

    let places: Vec<_> = faults.iter().map(|f| (f.file.as_str(), f.line, f.key.as_str())).collect();
    assert_eq!(
        places,
        [
            ("plans.ini", 9, ""),
            ("plans.ini", 13, ""),
            ("plans.ini", 13, "replicas"),
            ("plans.ini", 13, "memory"),
            ("rights.ini", 2, "priority"),
            ("rights.ini", 5, ""),
            ("rights.ini", 6, ""),
        ]
    );
}

#[test]
fn reports_broken_references_between_lists() {
    let hash = KeyHash::of_key("k");
    let plans = format!(
        "[customer a]\nplan = gold\nkey-hash = {hash}\nhome-region = r\n\
         [customer b]\nplan = none\nkey-hash = {hash}\nhome-region = r\n"
    );
    let rights = "[plan gold]\npriority = 1\nshare = 1\nmodels = m, lost\nadapters = a*\n\
         [service s]\nkind = engine\nreplicas = 2\nmemory = 8GiB\n\
         [model m]\nservice = s\nreplicas = 3\nmemory = 4GiB\n\
         [model n]\nservice = t\nreplicas = 1\nmemory = 4GiB\n\
         [adapter m]\nbase = q\nmemory = 1MiB\n";

    let faults = check_lists(&plans, rights).unwrap_err().faults;

    let places: Vec<_> = faults.iter().map(|f| (f.line, f.key.as_str())).collect();
    assert_eq!(
        places,
        [
            (6, "plan"),
            (7, "key-hash"),
            (4, "models"),
            (12, "replicas"),
            (15, "service"),
            (19, "base"),
            (18, "")
        ]
    );
}

#[test]
fn caller_gets_rights_of_its_plan() {
    let set = slatina();

    let caller = set.caller(&KeyHash::of_key(KEY)).unwrap();

    assert_eq!(caller.customer.id.as_str(), "crew-north");
    assert_eq!(caller.priority().0, 1);
    let model = set.target(&caller, "dam-check-hora").unwrap();
    assert!(matches!(model, RequestTarget::Model(_)));
    let adapter = set.target(&caller, "dam-check-hora.maps").unwrap();
    assert_eq!(adapter.model().id.as_str(), "dam-check-hora");
    assert_eq!(set.target(&caller, "grant-quarterly"), Err(ResultCode::NotPermitted));
    assert_eq!(set.target(&caller, "no-such"), Err(ResultCode::UnknownModel));
    assert!(!set.plain_service(&caller, "vrbovka").unwrap().may_retry("POST"));
    assert_eq!(set.plain_service(&caller, "rosnatka"), Err(ResultCode::NotPermitted));
}

#[test]
fn unknown_key_is_refused() {
    let caller = slatina().caller(&KeyHash::of_key("guess"));

    assert_eq!(caller, Err(ResultCode::UnknownCustomer));
}

#[test]
fn changed_key_replaces_old_key() {
    let hash = KeyHash::of_key("fresh");
    let text = format!("plan = field\nkey-hash = {hash}\nhome-region = cz-central\n");
    let delta = change(SectionKind::Customer, "crew-north", Some(&text));

    let set = slatina().updated(ListVersion(2), &delta).unwrap();

    assert!(set.caller(&hash).is_ok());
    assert_eq!(set.caller(&KeyHash::of_key(KEY)), Err(ResultCode::UnknownCustomer));
}

#[test]
fn moved_key_stays_valid() {
    let hash = KeyHash::of_key(KEY);
    let moved = format!("plan = field\nkey-hash = {hash}\nhome-region = cz-central\n");
    let left = format!(
        "plan = field\nkey-hash = {}\nhome-region = cz-central\n",
        KeyHash::of_key("other")
    );
    let mut delta = change(SectionKind::Customer, "crew-east", Some(&moved));
    delta.changes.extend(change(SectionKind::Customer, "crew-north", Some(&left)).changes);

    let set = slatina().updated(ListVersion(2), &delta).unwrap();

    assert_eq!(set.caller(&hash).unwrap().customer.id.as_str(), "crew-east");
}

#[test]
fn malformed_section_leaves_set_unchanged() {
    let set = slatina();
    let delta = change(SectionKind::Plan, "field", Some("priority = 77\n"));

    let faults = set.updated(ListVersion(2), &delta).unwrap_err().faults;

    assert!(faults.iter().any(|fault| fault.key == "priority"));
    assert_eq!(set.version(), ListVersion(1));
}

#[test]
fn delta_turns_older_image_into_newer() {
    let older = slatina_image();
    let mut newer = older.clone();
    newer.apply(&change(SectionKind::Model, "grant-nivy", None));
    newer.apply(&change(SectionKind::Plan, "field", Some("priority = 3\nshare = 1\n")));

    let delta = older.delta_to(&newer);
    let mut image = older.clone();
    image.apply(&delta);

    assert_eq!(delta.changes.len(), 2);
    assert_eq!(image, newer);
    assert_ne!(older.digest(), newer.digest());
}

#[rstest]
#[case("*", "anything", true)]
#[case("grant-*", "grant-nivy", true)]
#[case("grant-*", "a-grant-nivy", false)]
#[case("*-nivy", "grant-nivy", true)]
#[case("g*t*y", "grant-nivy", true)]
#[case("a*a", "a", false)]
#[case("exact", "exact", true)]
#[case("exact", "exactly", false)]
fn wildcards_match(#[case] pattern: &str, #[case] name: &str, #[case] matches: bool) {
    let pattern: lists::NamePattern = pattern.parse().unwrap();

    let found = pattern.matches(name);

    assert_eq!(found, matches);
}

#[test]
fn random_text_never_panics() {
    use proptest::test_runner::TestRunner;

    let mut runner = TestRunner::deterministic();
    let line = "(\\[(plan|model|customer|adapter|service) ?[a-z*]{0,3}\\]|[a-z-]{0,9} ?=? ?.{0,9})";
    let file = proptest::collection::vec(line, 0..12);

    runner
        .run(&(file.clone(), file), |(plans, rights)| {
            let _ = check_lists(&plans.join("\n"), &rights.join("\n"));
            Ok(())
        })
        .unwrap();
}
