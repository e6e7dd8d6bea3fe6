//! The order of lines by cause.

use std::collections::BTreeSet;

use super::line::LogLine;

/// Whether `earlier` comes before `later` because it caused it.
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

/// Sorts `lines` so that causes come before what they caused, and by time where neither is known
/// to have caused the other.
pub(super) fn by_cause(lines: &[LogLine]) -> Vec<LogLine> {
    let count = lines.len();
    let before: Vec<BTreeSet<usize>> = (0..count)
        .map(|later| {
            let is_cause = |earlier: &usize| causes(&lines[*earlier], &lines[later]);
            (0..count).filter(|earlier| *earlier != later).filter(is_cause).collect()
        })
        .collect();
    let mut open: BTreeSet<(u64, usize)> =
        lines.iter().enumerate().map(|(index, line)| (line.at_ms, index)).collect();
    let mut done = BTreeSet::new();
    let mut order = Vec::with_capacity(count);
    while !open.is_empty() {
        let is_free = |index: usize| before[index].iter().all(|cause| done.contains(cause));
        // Two causes of each other can only come from a torn log; time decides then.
        let next = open.iter().find(|(_, index)| is_free(*index)).or_else(|| open.first());
        let Some(next) = next.copied() else { break };
        open.remove(&next);
        done.insert(next.1);
        order.push(next.1);
    }
    order.into_iter().map(|index| lines[index].clone()).collect()
}
