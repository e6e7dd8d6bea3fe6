//! Event rates, share weights and time spans as written in settings and lists.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};

/// A rate, share or span could not be parsed.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("{text:?} is not {expected}"))]
pub struct RateError {
    text: String,
    expected: String,
}

/// Result of parsing a rate, share or span.
pub type Result<T, E = RateError> = std::result::Result<T, E>;

/// Events per second, written as `4.5/s`; never negative when parsed.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct EventRate(pub f64);

impl fmt::Display for EventRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for EventRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self> {
        let expected = "a rate such as 4.5/s";
        let digits = text.strip_suffix("/s").context(RateSnafu { text, expected })?;
        let rate = digits.trim().parse::<f64>().ok().context(RateSnafu { text, expected })?;
        ensure!(rate.is_finite() && rate >= 0.0, RateSnafu { text, expected });
        Ok(Self(rate))
    }
}

/// Weight of a customer or plan in fair sharing among others of the same priority; 1 to 10000 when
/// parsed.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ShareWeight(pub u32);

impl fmt::Display for ShareWeight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ShareWeight {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self> {
        let expected = "a share from 1 to 10000";
        let weight = text.parse::<u32>().ok().context(RateSnafu { text, expected })?;
        ensure!((1..=10_000).contains(&weight), RateSnafu { text, expected });
        Ok(Self(weight))
    }
}

/// Reads a decimal number without a sign or an exponent, such as `8.5`.
pub(crate) fn parse_decimal(digits: &str) -> Option<f64> {
    let is_decimal = digits.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    is_decimal.then(|| digits.parse().ok()).flatten()
}

/// A duration in settings and lists, such as `250ms`, `13s`, `8.5s`, `10min` or `2h`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeSpan(pub Duration);

// Looked up by suffix in this order: `s` is last because `ms` ends with it.
const SPAN_UNITS: [(&str, u64); 4] = [("ms", 1), ("min", 60_000), ("h", 3_600_000), ("s", 1_000)];

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0.as_millis())
    }
}

impl FromStr for TimeSpan {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self> {
        let expected = "a time such as 250ms, 13s, 10min or 2h";
        let (unit, millis) = SPAN_UNITS
            .iter()
            .find(|(unit, _)| text.ends_with(unit))
            .context(RateSnafu { text, expected })?;
        let digits = text[..text.len() - unit.len()].trim();
        let span = match digits.parse::<u64>() {
            Ok(count) => count.checked_mul(*millis).map(Duration::from_millis),
            Err(_) => parse_decimal(digits)
                .and_then(|count| Duration::try_from_secs_f64(count * *millis as f64 / 1e3).ok()),
        };
        Ok(Self(span.context(RateSnafu { text, expected })?))
    }
}
