//! Figures as platforms state them.

use std::time::Duration;

use base::{
    figures::{StatedCount, StatedMemory, StatedRatio, StatedSpan},
    sizes::ByteSize,
};
use rstest::rstest;

const DAY: Duration = Duration::from_secs(86_400);

#[rstest]
#[case("4100", 4_100)]
#[case("4100.0", 4_100)]
#[case("4.1e3", 4_100)]
#[case("1073741816", 1_073_741_816)]
#[case("18446744073709551615", usize::MAX)]
#[case("1e300", usize::MAX)]
#[case("-1", usize::MAX)]
#[case("Unlimited", usize::MAX)]
#[case("0.5", 1)]
fn counts_are_parsed(#[case] text: &str, #[case] count: usize) {
    assert_eq!(text.parse(), Ok(StatedCount(count)));
}

#[rstest]
#[case("260MiB", ByteSize::mib(260))]
#[case("2.6e2MiB", ByteSize::mib(260))]
#[case("1GiB", ByteSize::gib(1))]
#[case("-1MiB", ByteSize(u64::MAX))]
#[case("18446744073709551615MiB", ByteSize(u64::MAX))]
#[case("maxMiB", ByteSize(u64::MAX))]
fn memory_is_parsed(#[case] text: &str, #[case] size: ByteSize) {
    assert_eq!(text.parse(), Ok(StatedMemory(size)));
}

#[rstest]
#[case("8s", Duration::from_secs(8))]
#[case("2000.5ms", Duration::from_micros(2_000_500))]
#[case("8e0s", Duration::from_secs(8))]
#[case("10min", Duration::from_secs(600))]
#[case("0ms", Duration::ZERO)]
#[case("1e300s", DAY)]
#[case("18446744073709551615s", DAY)]
fn spans_are_parsed(#[case] text: &str, #[case] span: Duration) {
    assert_eq!(text.parse(), Ok(StatedSpan(span)));
}

#[rstest]
#[case("")]
#[case("0")]
#[case("nan")]
#[case("null")]
#[case("1_000")]
fn unusable_counts_are_refused(#[case] text: &str) {
    assert!(text.parse::<StatedCount>().is_err());
    assert!(format!("{text}MiB").parse::<StatedMemory>().is_err());
}

#[rstest]
#[case("")]
#[case("-0.1")]
#[case("nan")]
#[case("inf")]
#[case("none")]
fn unusable_ratios_are_refused(#[case] text: &str) {
    assert!(text.parse::<StatedRatio>().is_err());
}

#[rstest]
#[case("s")]
#[case("8")]
#[case("-1s")]
#[case("nanms")]
#[case("8sgrace = 9s")]
fn unusable_spans_are_refused(#[case] text: &str) {
    assert!(text.parse::<StatedSpan>().is_err());
}
