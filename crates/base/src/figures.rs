//! Figures that a platform states for a process: in forms that settings written by hand do not have, and
//! of any size.

use std::{str::FromStr, time::Duration};

use snafu::{OptionExt, Snafu};

use crate::{rates::TimeSpan, sizes::ByteSize};

/// Words for a resource without a limit.
const NO_LIMIT: [&str; 5] = ["unlimited", "infinity", "inf", "max", "none"];
/// Longest time that a figure gives; a longer one has the same effect.
const MAX_SPAN: Duration = Duration::from_secs(24 * 60 * 60);
/// Units of times in templates, in seconds; `ms` comes first because it ends with `s`.
const SPAN_UNITS: [(&str, f64); 2] = [("ms", 1e-3), ("s", 1.0)];
const MIB: f64 = (1_u64 << 20) as f64;

/// A text is not a figure of this type.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("{text:?} is not a usable figure"))]
pub struct FigureError {
    text: String,
}

/// Result of parsing a figure.
pub type Result<T, E = FigureError> = std::result::Result<T, E>;

/// A number with an optional sign, fraction and exponent; none for NaN and other text.
fn parse_finite(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|number: &f64| number.is_finite())
}

/// A number of descriptors, bytes or the like; a negative number stands for no limit, as a word does.
/// Zero is none: no process works with nothing.
fn parse_limit(text: &str) -> Option<f64> {
    let text = text.trim();
    if NO_LIMIT.iter().any(|word| text.eq_ignore_ascii_case(word)) {
        return Some(f64::INFINITY);
    }
    match parse_finite(text)? {
        0.0 => None,
        number if number < 0.0 => Some(f64::INFINITY),
        number => Some(number),
    }
}

/// A ratio or an amount that is finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct StatedRatio(pub f64);

impl FromStr for StatedRatio {
    type Err = FigureError;

    fn from_str(text: &str) -> Result<Self> {
        let ratio = parse_finite(text).filter(|ratio| *ratio >= 0.0);
        Ok(Self(ratio.context(FigureSnafu { text })?))
    }
}

/// A number of descriptors or the like; the largest one where there is no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StatedCount(pub usize);

impl FromStr for StatedCount {
    type Err = FigureError;

    fn from_str(text: &str) -> Result<Self> {
        let limit = parse_limit(text).context(FigureSnafu { text })?;
        Ok(Self((limit as usize).max(1)))
    }
}

/// An amount of memory, in bytes or with the unit `MiB` of templates or another one of [`ByteSize`]; the
/// largest one where there is no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StatedMemory(pub ByteSize);

impl FromStr for StatedMemory {
    type Err = FigureError;

    fn from_str(text: &str) -> Result<Self> {
        let plain = || text.parse::<ByteSize>().ok().filter(|size| size.0 > 0);
        let stated = || {
            let bytes = parse_limit(text.strip_suffix("MiB")?)? * MIB;
            Some(ByteSize((bytes as u64).max(1)))
        };
        Ok(Self(plain().or_else(stated).context(FigureSnafu { text })?))
    }
}

/// A time in `ms`, `s` or another unit of [`TimeSpan`], at most a day.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StatedSpan(pub Duration);

impl FromStr for StatedSpan {
    type Err = FigureError;

    fn from_str(text: &str) -> Result<Self> {
        let plain = || text.parse::<TimeSpan>().ok().map(|span| span.0);
        let stated = || {
            let (unit, seconds) = SPAN_UNITS.iter().find(|(unit, _)| text.ends_with(unit))?;
            let count = parse_finite(&text[..text.len() - unit.len()])?;
            let span = (count * seconds).min(MAX_SPAN.as_secs_f64());
            Duration::try_from_secs_f64(span).ok()
        };
        let span = plain().or_else(stated).context(FigureSnafu { text })?;
        Ok(Self(span.min(MAX_SPAN)))
    }
}
