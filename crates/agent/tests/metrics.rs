//! The operations page lists the metrics that the agent serves.

use std::collections::BTreeSet;

use agent::metrics::AgentMetrics;
use residency::OrderAnswer;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

#[test]
fn operations_page_lists_exactly_the_agent_metrics() {
    let metrics = AgentMetrics::new();
    // A metric with labels is rendered only once it has a value.
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
