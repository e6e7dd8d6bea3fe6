//! The lines in which a bench states its results.

use std::fmt;

/// What a figure has to meet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FigureTarget {
    /// The figure must not be above this.
    AtMost(f64),
    /// The figure must not be below this.
    AtLeast(f64),
    /// The figure is a baseline.
    None,
}

impl FigureTarget {
    fn is_met(self, value: f64) -> bool {
        match self {
            FigureTarget::AtMost(limit) => value <= limit,
            FigureTarget::AtLeast(limit) => value >= limit,
            FigureTarget::None => true,
        }
    }
}

impl fmt::Display for FigureTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FigureTarget::AtMost(limit) => write!(f, "<={limit}"),
            FigureTarget::AtLeast(limit) => write!(f, ">={limit}"),
            FigureTarget::None => f.write_str("-"),
        }
    }
}

/// Prints `figure <name> <value> target <target> ok|short`.
pub fn print_figure(name: &str, value: f64, target: FigureTarget) {
    let verdict = if target.is_met(value) { "ok" } else { "short" };
    println!("figure {name} {value:.3} target {target} {verdict}");
}
