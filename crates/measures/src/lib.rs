//! Measurements of the system; each bench prints tables and lines of figures.

pub mod figure;

pub use crate::figure::{FigureTarget, print_figure};
