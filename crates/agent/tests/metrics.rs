//! The metrics are those that the operators' page lists.

use std::collections::BTreeSet;

use agent::metrics::AgentMetrics;
use residency::OrderAnswer;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

#[test]
fn the_page_lists_all_metrics_of_the_agent_and_no_others() {
    let metrics = AgentMetrics::new();
    // A metric with labels is shown once it has a value.
    metrics.count_order(OrderAnswer::Accepted);

    let text = metrics.render();

    let shown: BTreeSet<&str> =
        text.lines().filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next()).collect();
    let listed: BTreeSet<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| `"))
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .filter(|name| name.starts_with("fescuewalk_agent_"))
        .collect();
    assert_eq!(shown, listed);
}
