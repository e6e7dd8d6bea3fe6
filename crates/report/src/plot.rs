//! Plots as SVG text, to be embedded in HTML pages.

use plotters::prelude::*;
use snafu::Snafu;

use crate::{
    burn::BurnLine,
    outcome::{MissCause, OutcomeCounts},
};

const SIZE_PX: (u32, u32) = (640, 180);
const MILLIS_PER_HOUR: f64 = 3_600_000.0;

/// A plot could not be drawn.
#[derive(Debug, Snafu)]
#[snafu(display("a plot could not be drawn: {message}"))]
pub struct PlotError {
    message: String,
}

/// Result of drawing a plot.
pub type Result<T, E = PlotError> = std::result::Result<T, E>;

fn plot_error(error: impl std::fmt::Display) -> PlotError {
    PlotError { message: error.to_string() }
}

/// Line chart of the burn rate over time, in hours before the last scrape. A red line marks a burn
/// rate of 1.
///
/// # Errors
///
/// Fails if the plotting library reports an error.
pub fn burn_chart(line: &BurnLine) -> Result<String> {
    let mut svg = String::new();
    let last = line.course.last().map_or(0, |point| point.millis);
    let hours = |millis: u64| (millis as f64 - last as f64) / MILLIS_PER_HOUR;
    let first = line.course.first().map_or(-1.0, |point| hours(point.millis)).min(-0.01);
    let top = line.course.iter().map(|point| point.burn).fold(1.0, f64::max) * 1.1;
    {
        let area = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(40)
            .build_cartesian_2d(first..0.0, 0.0..top)
            .map_err(plot_error)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("hours").y_desc("burn").draw().map_err(plot_error)?;
        let points = line.course.iter().map(|point| (hours(point.millis), point.burn));
        chart.draw_series(LineSeries::new(points, &BLUE)).map_err(plot_error)?;
        let budget = [(first, 1.0), (0.0, 1.0)];
        chart.draw_series(LineSeries::new(budget, &RED)).map_err(plot_error)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Bar chart of each cause's share in the misses, in percent.
///
/// # Errors
///
/// Fails if the plotting library reports an error.
pub fn cause_chart(counts: &OutcomeCounts) -> Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..MissCause::ALL.len() as f64, 0.0..100.0)
            .map_err(plot_error)?;
        let name = |place: &f64| {
            let cause = MissCause::ALL.get(place.floor() as usize);
            cause.filter(|_| place.fract() > 0.4).map_or(String::new(), MissCause::to_string)
        };
        let mut mesh = chart.configure_mesh();
        mesh.x_labels(10).x_label_formatter(&name).y_desc("% of misses");
        mesh.disable_x_mesh().draw().map_err(plot_error)?;
        let bars = MissCause::ALL.iter().enumerate().map(|(place, cause)| {
            let left = place as f64;
            let share = counts.cause_share(*cause) * 100.0;
            Rectangle::new([(left + 0.2, 0.0), (left + 0.8, share)], BLUE.filled())
        });
        chart.draw_series(bars).map_err(plot_error)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}
