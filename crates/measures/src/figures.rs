//! Output lines that show a measured value and its target.

use std::fmt;

/// Bound that a measured value is compared with, in the unit of the value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FigureTarget {
    /// No bound: the value is a baseline for others.
    Baseline,
    /// Upper bound, inclusive.
    AtMost(f64),
    /// Lower bound, inclusive.
    AtLeast(f64),
}

/// Measured value with its name and target; `Display` gives the line that benches print.
#[derive(Debug, Clone, PartialEq)]
pub struct MeasuredFigure {
    name: String,
    value: f64,
    target: FigureTarget,
}

impl MeasuredFigure {
    /// Creates a figure. `name` identifies it in all runs and, for a quantity, includes the unit.
    pub fn new(name: impl Into<String>, value: f64, target: FigureTarget) -> Self {
        Self { name: name.into(), value, target }
    }

    /// Whether the value is within its bound; true for a baseline.
    pub fn is_met(&self) -> bool {
        match self.target {
            FigureTarget::Baseline => true,
            FigureTarget::AtMost(limit) => self.value <= limit,
            FigureTarget::AtLeast(limit) => self.value >= limit,
        }
    }

    /// Prints the line to standard output.
    pub fn print(&self) {
        println!("{self}");
    }
}

impl fmt::Display for MeasuredFigure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = if self.is_met() { "ok" } else { "short" };
        write!(f, "figure {} {:.3} target ", self.name, self.value)?;
        match self.target {
            FigureTarget::Baseline => write!(f, "- {status}"),
            FigureTarget::AtMost(limit) | FigureTarget::AtLeast(limit) => {
                write!(f, "{limit} {status}")
            }
        }
    }
}
