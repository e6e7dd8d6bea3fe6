//! Traces of requests across the logs of several processes.

use report::explain::{DecisionLogs, explain};

fn logs(files: &[&str]) -> DecisionLogs {
    let mut logs = DecisionLogs::default();
    for file in files {
        logs.add(file);
    }
    logs
}

const ENTRY: &str = r#"
{"at_ms":1000,"vm":"entry-1","n":1,"event":"started","program":"gateway"}
{"at_ms":1001,"vm":"entry-1","n":2,"event":"server-changed","server":"i-1","standing":"joined"}
{"at_ms":1500,"vm":"entry-1","n":3,"event":"dependency-lost","dependency":"store-servers"}
{"at_ms":2000,"vm":"entry-1","n":4,"event":"call-received","call":"c-1","target":"m7/a1"}
{"at_ms":2001,"vm":"entry-1","n":5,"event":"call-waits","call":"c-1","reason":"model-missing"}
{"at_ms":2010,"vm":"entry-1","n":6,"event":"change-planned","server":"i-1","load":"m7","unload":"m2","orders":"4"}
{"at_ms":2600,"vm":"entry-1","n":7,"event":"call-assigned","call":"c-1","server":"i-1","attempt":1}
{"at_ms":2700,"vm":"entry-1","n":8,"event":"call-answered","call":"c-1","status":200,"first_ms":690,"total_ms":700,"pause_ms":9}
{"at_ms":2800,"vm":"entry-1","n":9,"event":"call-received","call":"c-2","target":"m9"}
"#;
/// The clock of the side process is an hour ahead.
const SIDE: &str = r#"
{"at_ms":3602012,"vm":"side-1","n":1,"event":"order-given","server":"i-1","action":"unload m2","orders":"4"}
{"at_ms":3602050,"vm":"side-1","n":2,"event":"order-given","server":"i-1","action":"load m7","orders":"5"}
"#;

fn events(trace: &report::explain::CallTrace) -> Vec<&str> {
    trace.lines.iter().map(|line| line.event.as_str()).collect()
}

#[test]
fn trace_has_the_request_and_the_state_behind_its_decisions() {
    let trace = explain(&logs(&[ENTRY]), "c-1").expect("the log names it");

    assert_eq!(
        events(&trace),
        [
            "server-changed",
            "dependency-lost",
            "call-received",
            "call-waits",
            "change-planned",
            "call-assigned",
            "call-answered"
        ]
    );
    assert!(trace.outcome.starts_with("answered with 200 after 700 ms"));
}

#[test]
fn causes_precede_effects_despite_clock_skew() {
    // Lines an hour away are outside of the time window of a trace, so the skew here is below a
    // second.
    let ahead = SIDE.replace("36020", "26");
    let trace = explain(&logs(&[&ahead, ENTRY]), "c-1").expect("the log names it");

    let order = events(&trace);
    let place = |event: &str| order.iter().position(|found| *found == event);
    assert!(place("change-planned") < place("order-given"), "{order:?}");
    assert!(place("order-given") < place("call-assigned"), "{order:?}");
}

#[test]
fn torn_and_foreign_lines_are_counted_and_skipped() {
    let torn = "{\"at_ms\":1000,\"vm\":\"entry-1\",\"n\":9,\"ev";
    let logs = logs(&[ENTRY, "  0.123 entry-1 {\"level\":\"x\"}\nno log at all\n", torn]);

    assert_eq!((logs.torn, logs.foreign), (1, 2));
    assert_eq!(logs.lines.len(), 9);
}

#[test]
fn collector_prefix_is_skipped() {
    let prefixed = ENTRY.lines().map(|line| format!("  12.5 entry-1 {line}\n")).collect::<String>();

    assert!(explain(&logs(&[&prefixed]), "c-1").is_some());
}

#[test]
fn unknown_request_has_no_trace() {
    assert_eq!(explain(&logs(&[ENTRY]), "c-3"), None);
}

#[test]
fn outcome_says_when_the_end_is_missing() {
    let trace = explain(&logs(&[ENTRY]), "c-2").expect("the log names it");

    assert!(trace.outcome.contains("do not contain its end"));
}

#[test]
fn state_of_an_earlier_run_is_ignored() {
    let again = "{\"at_ms\":9000,\"vm\":\"entry-1\",\"n\":1,\"event\":\"started\"}\n\
                 {\"at_ms\":9001,\"vm\":\"entry-1\",\"n\":2,\"event\":\"call-received\",\"call\":\"c-9\"}\n";

    let trace = explain(&logs(&[ENTRY, again]), "c-9").expect("the log names it");

    assert_eq!(
        events(&trace),
        ["call-received"],
        "the state known to the earlier run must not show up"
    );
}

#[test]
fn request_that_its_process_left_unanswered_is_shown_as_such() {
    let log = r#"
{"at_ms":1000,"vm":"entry-1","n":1,"event":"call-received","call":"c-1","target":"m7"}
{"at_ms":1450,"vm":"entry-1","n":2,"event":"permit-denied","call":"c-1","server":"i-1","outcome":"later"}
{"at_ms":1500,"vm":"entry-1","n":3,"event":"call-unanswered","call":"c-1","held_ms":500}
"#;

    let trace = explain(&logs(&[log]), "c-1").expect("the log names it");

    assert_eq!(trace.outcome, "not answered before its process ended, after 500 ms");
}
