//! Sizes in bytes with binary units.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use crate::rates::parse_decimal;

/// A size has no known unit, no decimal number, or does not fit into 64 bits.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("{text:?} is not a size such as 512KiB, 64MiB or 80GiB"))]
pub struct SizeError {
    text: String,
}

/// Result of parsing a size.
pub type Result<T, E = SizeError> = std::result::Result<T, E>;

// Looked up by suffix in this order: `B` is last because every unit ends with it.
const UNITS: [(&str, u64); 5] =
    [("TiB", 1 << 40), ("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// An amount of memory or data in bytes, displayed in the largest unit that divides it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// `count` mebibytes.
    pub const fn mib(count: u64) -> Self {
        Self(count << 20)
    }

    /// `count` gibibytes.
    pub const fn gib(count: u64) -> Self {
        Self(count << 30)
    }

    /// The sum, or the largest size if it would overflow.
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The difference, or zero if `other` is larger.
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unit =
            UNITS.iter().find(|(_, bytes)| self.0 >= *bytes && self.0.is_multiple_of(*bytes));
        match unit {
            Some((name, bytes)) => write!(f, "{}{name}", self.0 / bytes),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl FromStr for ByteSize {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self> {
        let (name, bytes) =
            UNITS.iter().find(|(name, _)| text.ends_with(name)).context(SizeSnafu { text })?;
        let digits = text[..text.len() - name.len()].trim();
        let total = match digits.parse::<u64>() {
            Ok(count) => count.checked_mul(*bytes),
            Err(_) => parse_decimal(digits)
                .map(|count| count * *bytes as f64)
                .filter(|total| *total < u64::MAX as f64)
                .map(|total| total as u64),
        };
        Ok(Self(total.context(SizeSnafu { text })?))
    }
}
