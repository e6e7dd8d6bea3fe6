//! Trace of one request across the decision logs.

use std::{collections::BTreeSet, fmt};

use super::{
    line::{DecisionLogs, LogLine},
    order::sort_by_cause,
};

/// The trace shows plans and orders up to this long before the first line of the request.
const CONTEXT_BEFORE_MS: u64 = 10_000;
/// The trace shows plans and orders up to this long after the last line of the request.
const CONTEXT_AFTER_MS: u64 = 1_000;

/// One request together with the known state, plans and orders that decided about it.
#[derive(Debug, Clone, PartialEq)]
pub struct CallTrace {
    /// Identifier that the caller gave to this attempt.
    pub call: String,
    /// Lines that name the request, in the order of the logs.
    pub own: Vec<LogLine>,
    /// All lines of the trace including those of `own`, causes first.
    pub lines: Vec<LogLine>,
    /// How the request ended, as text for people; says so if the logs do not contain its end.
    pub outcome: String,
}

/// Collects the trace of `call`; `None` if no log line names it.
pub fn explain(logs: &DecisionLogs, call: &str) -> Option<CallTrace> {
    let own: Vec<LogLine> =
        logs.lines.iter().filter(|line| line.text("call") == call).cloned().collect();
    let first = own.iter().map(|line| line.at_ms).min()?;
    let last = own.iter().map(|line| line.at_ms).max()?;
    let mut indices: BTreeSet<usize> = own.iter().map(|line| line.place).collect();
    let target = own.iter().map(|line| line.text("target")).find(|target| !target.is_empty());
    if let Some(target) = target {
        let model = target.split('/').next().unwrap_or(target);
        let span = first.saturating_sub(CONTEXT_BEFORE_MS)..last + CONTEXT_AFTER_MS;
        let about = logs.lines.iter().filter(|line| span.contains(&line.at_ms));
        indices.extend(about.filter(|line| is_about(line, model)).map(|line| line.place));
    }
    for line in own.iter().filter(|line| !line.text("server").is_empty()) {
        indices.extend(last_known_state(logs, line));
    }
    indices.extend(own.first().into_iter().flat_map(|line| outages(logs, line)));
    let lines: Vec<LogLine> =
        logs.lines.iter().filter(|line| indices.contains(&line.place)).cloned().collect();
    let outcome = outcome(&own);
    Some(CallTrace { call: call.to_owned(), own, lines: sort_by_cause(&lines), outcome })
}

/// Whether `line` is a plan, a declined change or an order that concerns `model`.
fn is_about(line: &LogLine, model: &str) -> bool {
    let names = |text: &str| text.split([' ', '/', '(']).any(|word| word == model);
    match line.event.as_str() {
        "change-planned" => names(line.text("load")) || names(line.text("unload")),
        "change-declined" => names(line.text("load")),
        "order-given" => names(line.text("action")),
        _ => false,
    }
}

/// Index of the last line before `line` in which the same run of the process recorded a change of
/// the backend server that `line` names.
fn last_known_state(logs: &DecisionLogs, line: &LogLine) -> Option<usize> {
    let server = line.text("server");
    let mut earlier = logs.lines.iter().filter(|other| is_earlier(other, line));
    let last =
        earlier.rfind(|other| other.event == "server-changed" && other.text("server") == server);
    last.map(|other| other.place)
}

/// Whether the same run of the same process wrote `other` before `line`.
fn is_earlier(other: &LogLine, line: &LogLine) -> bool {
    other.vm == line.vm && other.run == line.run && other.n < line.n
}

/// Indices of the lines in which the process recorded an outage before `line`, without those of
/// outages whose end it recorded before `line` too.
fn outages(logs: &DecisionLogs, line: &LogLine) -> Vec<usize> {
    let mut ongoing: Vec<(&str, usize)> = Vec::new();
    let earlier = logs.lines.iter().filter(|other| is_earlier(other, line));
    for other in earlier {
        let dependency = other.text("dependency");
        match other.event.as_str() {
            "dependency-lost" => ongoing.push((dependency, other.place)),
            "dependency-regained" => ongoing.retain(|(lost, _)| *lost != dependency),
            _ => {}
        }
    }
    ongoing.into_iter().map(|(_, index)| index).collect()
}

fn outcome(own: &[LogLine]) -> String {
    let ends = ["call-answered", "call-refused", "answer-broken", "caller-left", "call-unanswered"];
    let last = own.iter().rfind(|line| ends.contains(&line.event.as_str()));
    let Some(line) = last else {
        return "the logs do not contain its end: its process may have crashed".to_owned();
    };
    let number = |name: &str| line.number(name).unwrap_or_default();
    match line.event.as_str() {
        "call-answered" => format!(
            "answered with {} after {} ms, the first byte after {} ms, the longest pause {} ms",
            number("status"),
            number("total_ms"),
            number("first_ms"),
            number("pause_ms")
        ),
        "call-refused" => format!(
            "refused with code {} after {} ms: {}",
            number("code"),
            number("held_ms"),
            line.text("reason")
        ),
        "answer-broken" => {
            format!("answer of {} broke off: {}", line.text("server"), line.text("reason"))
        }
        "call-unanswered" => {
            format!("not answered before its process ended, after {} ms", number("held_ms"))
        }
        _ => format!("caller disconnected after {} ms", number("held_ms")),
    }
}

impl fmt::Display for CallTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}: {}", self.call, self.outcome)?;
        let own: BTreeSet<usize> = self.own.iter().map(|line| line.place).collect();
        let start = self.own.first().map_or(0, |line| line.at_ms);
        for line in &self.lines {
            let mark = if own.contains(&line.place) { '*' } else { ' ' };
            let offset = line.at_ms as i128 - i128::from(start);
            let (event, details) = (&line.event, line.details());
            writeln!(f, "{mark} {offset:>7} ms  {}#{}  {event}  {details}", line.vm, line.n)?;
        }
        Ok(())
    }
}
