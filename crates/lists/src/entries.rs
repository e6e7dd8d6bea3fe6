//! Value types of the keys in both lists.

use std::{fmt, str::FromStr};

use base::prelude::*;
use snafu::{OptionExt, Snafu, ensure};

/// A value could not be parsed.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("{text:?} is not {expected}"))]
pub struct ValueError {
    text: String,
    expected: String,
}

/// Result of parsing a value.
pub type Result<T, E = ValueError> = std::result::Result<T, E>;

/// Priority of a plan's requests: 0 is served first, 9 last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestPriority(pub u8);

impl RequestPriority {
    /// The priority that is served last.
    pub const LOWEST: RequestPriority = RequestPriority(9);
}

impl fmt::Display for RequestPriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RequestPriority {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self> {
        let expected = "a priority from 0 to 9";
        let level = text.parse::<u8>().ok().context(ValueSnafu { text, expected })?;
        ensure!(level <= Self::LOWEST.0, ValueSnafu { text, expected });
        Ok(Self(level))
    }
}

macro_rules! count_value {
    ($($(#[$doc:meta])* $name:ident, $range:expr, $expected:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ValueError;

            fn from_str(text: &str) -> Result<Self> {
                let expected = $expected;
                let count = text.parse::<u32>().ok().context(ValueSnafu { text, expected })?;
                ensure!($range.contains(&count), ValueSnafu { text, expected });
                Ok(Self(count))
            }
        }
    )*};
}

count_value! {
    /// Configured number of replicas of a model, or of backend servers of a service.
    ReplicaCount, (0..=100_000u32), "a count from 0 to 100000";
    /// Requests that a backend server runs concurrently.
    SlotCount, (1..=4_096u32), "a count from 1 to 4096";
    /// Maximum number of requests in the queue of one customer at one entry.
    QueueLength, (1..=100_000u32), "a count from 1 to 100000";
}

/// Expected duration of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkClass {
    /// Interactive work such as look-ups and summaries.
    Short,
    /// Reports, batches and other work that runs many times longer than short work.
    Long,
}

impl WorkClass {
    /// Both classes, in the order of their declaration.
    pub const ALL: [WorkClass; 2] = [WorkClass::Short, WorkClass::Long];
}

impl fmt::Display for WorkClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WorkClass::Short => "short",
            WorkClass::Long => "long",
        })
    }
}

impl FromStr for WorkClass {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "short" => Ok(WorkClass::Short),
            "long" => Ok(WorkClass::Long),
            _ => ValueSnafu { text, expected: "short or long" }.fail(),
        }
    }
}

/// What the backend servers of a service run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServiceKind {
    /// Model engines, which load models and adapters.
    Engine,
    /// A plain HTTP service without models.
    Plain,
}

impl fmt::Display for ServiceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ServiceKind::Engine => "engine",
            ServiceKind::Plain => "plain",
        })
    }
}

impl FromStr for ServiceKind {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "engine" => Ok(ServiceKind::Engine),
            "plain" => Ok(ServiceKind::Plain),
            _ => ValueSnafu { text, expected: "engine or plain" }.fail(),
        }
    }
}

/// A boolean written as `yes` or `no`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum YesNo {
    /// Written `yes`.
    Yes,
    /// Written `no`.
    No,
}

impl YesNo {
    /// Whether the value is `yes`.
    pub fn is_yes(self) -> bool {
        self == YesNo::Yes
    }
}

impl FromStr for YesNo {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "yes" => Ok(YesNo::Yes),
            "no" => Ok(YesNo::No),
            _ => ValueSnafu { text, expected: "yes or no" }.fail(),
        }
    }
}

/// An HTTP method in capital letters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HttpMethod(String);

impl HttpMethod {
    /// Methods that are safe by the definition of HTTP.
    pub const SAFE: [&'static str; 3] = ["GET", "HEAD", "OPTIONS"];

    /// The method in capital letters.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for HttpMethod {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for HttpMethod {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self> {
        let valid = !text.is_empty() && text.chars().all(|c| c.is_ascii_uppercase());
        ensure!(valid, ValueSnafu { text, expected: "an HTTP method such as GET" });
        Ok(Self(text.to_owned()))
    }
}

/// Percentage of requests that must meet their objective, such as `99.9%`; from 1 to 99.999.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct AvailabilityTarget(pub f64);

impl AvailabilityTarget {
    /// Fraction of requests that may miss the objective, between 0 and 1.
    pub fn error_budget(self) -> f64 {
        1.0 - self.0 / 100.0
    }
}

impl fmt::Display for AvailabilityTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for AvailabilityTarget {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self> {
        let expected = "a percentage from 1% to 99.999%";
        let digits = text.strip_suffix('%').context(ValueSnafu { text, expected })?;
        let percent = digits.parse::<f64>().ok().context(ValueSnafu { text, expected })?;
        ensure!((1.0..=99.999).contains(&percent), ValueSnafu { text, expected });
        Ok(Self(percent))
    }
}

/// Service-level objective of one class of work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassObjective {
    /// Longest time to the first token, or to the end of a plain service's answer, that counts as
    /// good.
    pub latency: TimeSpan,
    /// Percentage of requests that must be good.
    pub availability: AvailabilityTarget,
    /// Deadline of requests that do not set one.
    pub deadline: TimeSpan,
}

/// Service-level objectives of both classes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ObjectiveSet {
    /// Objective of [`WorkClass::Short`].
    pub short: ClassObjective,
    /// Objective of [`WorkClass::Long`].
    pub long: ClassObjective,
}

impl ObjectiveSet {
    /// The objective of `class`.
    pub fn of_class(&self, class: WorkClass) -> ClassObjective {
        match class {
            WorkClass::Short => self.short,
            WorkClass::Long => self.long,
        }
    }
}
