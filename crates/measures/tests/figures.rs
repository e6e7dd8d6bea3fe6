//! Figure lines and process counters.

use measures::{
    figures::{FigureTarget, MeasuredFigure},
    usage::ProcessUsage,
};
use rstest::rstest;

#[rstest]
#[case(FigureTarget::Baseline, "figure wait 1.500 target - ok")]
#[case(FigureTarget::AtMost(2.0), "figure wait 1.500 target 2 ok")]
#[case(FigureTarget::AtMost(1.0), "figure wait 1.500 target 1 short")]
#[case(FigureTarget::AtLeast(2.0), "figure wait 1.500 target 2 short")]
fn line_shows_target_and_status(#[case] target: FigureTarget, #[case] line: &str) {
    let figure = MeasuredFigure::new("wait", 1.5, target);

    assert_eq!(figure.to_string(), line);
}

#[test]
fn reads_usage_of_own_process() {
    let usage = ProcessUsage::read(std::process::id()).unwrap();

    assert!(usage.resident.0 > 0);
}
