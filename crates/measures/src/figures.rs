//! Lines that tell a measured value beside its target.

use std::fmt;

/// What a value is held against.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FigureTarget {
    /// A baseline: there is nothing to reach.
    Baseline,
    /// The value must not be larger.
    AtMost(f64),
    /// The value must not be smaller.
    AtLeast(f64),
}

/// One measured value.
#[derive(Debug, Clone, PartialEq)]
pub struct MeasuredFigure {
    name: String,
    value: f64,
    target: FigureTarget,
}

impl MeasuredFigure {
    /// A value under its stable name.
    pub fn new(name: impl Into<String>, value: f64, target: FigureTarget) -> Self {
        Self { name: name.into(), value, target }
    }

    /// Whether the target is reached; baselines always are.
    pub fn is_reached(&self) -> bool {
        match self.target {
            FigureTarget::Baseline => true,
            FigureTarget::AtMost(limit) => self.value <= limit,
            FigureTarget::AtLeast(limit) => self.value >= limit,
        }
    }

    /// Prints the line.
    pub fn print(&self) {
        println!("{self}");
    }
}

impl fmt::Display for MeasuredFigure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_reached() { "ok" } else { "short" };
        write!(f, "figure {} {:.3} target ", self.name, self.value)?;
        match self.target {
            FigureTarget::Baseline => write!(f, "- {verdict}"),
            FigureTarget::AtMost(limit) | FigureTarget::AtLeast(limit) => {
                write!(f, "{limit} {verdict}")
            }
        }
    }
}
