//! Units of engine capacity: tokens and megabytes.

use std::{fmt, iter::Sum, num::ParseIntError, str::FromStr};

/// A number of tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenCount(pub u64);

impl TokenCount {
    /// The sum, or the largest count if it would overflow.
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sum for TokenCount {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(Self::default(), Self::plus)
    }
}

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for TokenCount {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Size of weights in megabytes; may be fractional.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Megabytes(pub f64);

impl fmt::Display for Megabytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} MB", self.0)
    }
}

impl FromStr for Megabytes {
    type Err = std::num::ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_end_matches(" MB").parse().map(Self)
    }
}
