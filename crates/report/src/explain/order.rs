//! Causal ordering of log lines.

use std::collections::BTreeSet;

use super::line::LogLine;

/// Whether `earlier` must be sorted before `later`: the same process wrote it first, or it caused
/// `later`.
fn causes(earlier: &LogLine, later: &LogLine) -> bool {
    if earlier.vm == later.vm {
        return (earlier.run, earlier.n) < (later.run, later.n);
    }
    match (earlier.event.as_str(), later.event.as_str()) {
        ("change-planned", "order-given") => {
            let same_server = earlier.text("server") == later.text("server");
            let loads = later.text("action") == format!("load {}", earlier.text("load"));
            let is_later = earlier.number("orders") <= later.number("orders");
            same_server && loads && is_later
        }
        ("order-given", "call-assigned") => earlier.text("server") == later.text("server"),
        _ => false,
    }
}

/// Sorts `lines` so that a cause comes before its effects, and by wall-clock time where no causal
/// order is known.
pub(super) fn sort_by_cause(lines: &[LogLine]) -> Vec<LogLine> {
    let count = lines.len();
    let causes_of: Vec<BTreeSet<usize>> = (0..count)
        .map(|later| {
            let is_cause = |earlier: &usize| causes(&lines[*earlier], &lines[later]);
            (0..count).filter(|earlier| *earlier != later).filter(is_cause).collect()
        })
        .collect();
    let mut pending: BTreeSet<(u64, usize)> =
        lines.iter().enumerate().map(|(index, line)| (line.at_ms, index)).collect();
    let mut done = BTreeSet::new();
    let mut order = Vec::with_capacity(count);
    while !pending.is_empty() {
        let is_ready = |index: usize| causes_of[index].iter().all(|cause| done.contains(cause));
        // Only a torn log contains a cycle of causes; the earliest line by time goes first then.
        let next = pending.iter().find(|(_, index)| is_ready(*index)).or_else(|| pending.first());
        let Some(next) = next.copied() else { break };
        pending.remove(&next);
        done.insert(next.1);
        order.push(next.1);
    }
    order.into_iter().map(|index| lines[index].clone()).collect()
}
