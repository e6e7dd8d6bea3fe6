//! Burn rate of each customer's error budget, and the causes of the misses.
//!
//! A burn rate of 1 uses up the error budget exactly in its period.

use std::{collections::BTreeSet, fmt};

use base::prelude::*;
use lists::{ClassObjective, ListSet};
use serde::Serialize;

use crate::{
    outcome::{CustomerClass, MissCause, OutcomeCounts},
    scrape::ScrapeLog,
    settings::{AlertRule, BurnSettings},
};

/// Number of steps of the time series over the longest window.
const TIME_SERIES_STEPS: u64 = 48;

/// Burn rate in one window.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window, in milliseconds.
    pub window_millis: u64,
    /// Request outcomes in the window.
    pub counts: OutcomeCounts,
    /// Burn rate; zero without requests.
    pub burn: f64,
}

/// Most severe alert that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum BurnAlert {
    /// No alert is due.
    None,
    /// Alert that can wait for the next working day.
    Ticket,
    /// Alert that pages somebody.
    Page,
}

impl fmt::Display for BurnAlert {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BurnAlert::None => "-",
            BurnAlert::Ticket => "ticket",
            BurnAlert::Page => "page",
        })
    }
}

/// One point of the burn rate's time series.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct BurnPoint {
    /// End of the step, in milliseconds since the Unix epoch.
    pub millis: u64,
    /// Burn rate in the step.
    pub burn: f64,
}

/// Burn rate of one customer and class.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnLine {
    /// Customer and class.
    pub name: CustomerClass,
    /// Longest time to the first byte that counts as good, in milliseconds.
    pub latency_millis: u64,
    /// Share of requests that must be good, in percent.
    pub availability: f64,
    /// Burn rate in each window, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Alert due at the last scrape.
    pub alert: BurnAlert,
    /// Time series over the longest window; empty if the scrapes cover too short a time.
    pub course: Vec<BurnPoint>,
}

/// Burn rates of all customers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnReport {
    /// Version of the lists that contain the objectives.
    pub version: ListVersion,
    /// Time of the last scrape, in milliseconds since the Unix epoch.
    pub millis: u64,
    /// Number of entries scraped.
    pub entries: usize,
    /// One line for each customer and class that had requests and has an objective.
    pub lines: Vec<BurnLine>,
}

/// Calculates the burn rates at the last scrape of `log`.
pub fn burn_report(log: &ScrapeLog, lists: &ListSet, settings: &BurnSettings) -> BurnReport {
    let millis = log.last_millis().unwrap_or_default();
    let names: BTreeSet<_> = log.records().iter().flat_map(|record| record.counts.keys()).collect();
    let entries: BTreeSet<_> = log.records().iter().map(|record| &record.entry).collect();
    let lines = names.into_iter().filter_map(|name| {
        let objective = objective_of(lists, name)?;
        Some(BurnCalculator { log, name, objective, millis }.line(settings))
    });
    BurnReport { version: lists.version(), millis, entries: entries.len(), lines: lines.collect() }
}

fn objective_of(lists: &ListSet, name: &CustomerClass) -> Option<ClassObjective> {
    let customer = lists.customer(&name.customer)?;
    let plan = lists.plan(&customer.plan)?;
    Some(plan.objectives.of_class(name.class))
}

/// Calculates the burn rates of one customer and class.
struct BurnCalculator<'a> {
    log: &'a ScrapeLog,
    name: &'a CustomerClass,
    objective: ClassObjective,
    millis: u64,
}

impl BurnCalculator<'_> {
    fn line(&self, settings: &BurnSettings) -> BurnLine {
        let windows = settings.windows.iter().map(|window| self.window(*window));
        BurnLine {
            name: self.name.clone(),
            latency_millis: self.objective.latency.0.as_millis() as u64,
            availability: self.objective.availability.0,
            windows: windows.collect(),
            alert: self.alert(settings),
            course: self.time_series(settings),
        }
    }

    fn window(&self, window: TimeSpan) -> WindowBurn {
        let window_millis = window.0.as_millis() as u64;
        let counts = self.counts(self.millis.saturating_sub(window_millis), self.millis);
        let burn = self.burn(&counts);
        WindowBurn { window_millis, counts, burn }
    }

    fn counts(&self, from: u64, to: u64) -> OutcomeCounts {
        self.log.between(from, to).remove(self.name).unwrap_or_default()
    }

    fn burn(&self, counts: &OutcomeCounts) -> f64 {
        if counts.requests <= 0.0 {
            return 0.0;
        }
        counts.missed() / counts.requests / self.objective.availability.error_budget()
    }

    fn alert(&self, settings: &BurnSettings) -> BurnAlert {
        let is_due = |rule: &AlertRule| {
            self.window(rule.long).burn >= rule.threshold
                && self.window(rule.short).burn >= rule.threshold
        };
        if is_due(&settings.page) {
            BurnAlert::Page
        } else if is_due(&settings.ticket) {
            BurnAlert::Ticket
        } else {
            BurnAlert::None
        }
    }

    fn time_series(&self, settings: &BurnSettings) -> Vec<BurnPoint> {
        let longest = settings.windows.last().map_or(0, |window| window.0.as_millis() as u64);
        let first = self.log.records().first().map_or(self.millis, |record| record.millis);
        let start = first.max(self.millis.saturating_sub(longest));
        let step = (self.millis - start) / TIME_SERIES_STEPS;
        if step == 0 {
            return Vec::new();
        }
        let point = |number: u64| {
            let to = start + step * number;
            let counts = self.counts(to - step, to);
            BurnPoint { millis: to, burn: self.burn(&counts) }
        };
        (1..=TIME_SERIES_STEPS).map(point).collect()
    }
}

impl fmt::Display for BurnReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "lists version {}, {} entries", self.version, self.entries)?;
        for line in &self.lines {
            writeln!(f, "{}: {}% within {} ms", line.name, line.availability, line.latency_millis)?;
            for window in &line.windows {
                write_window(f, window)?;
            }
            writeln!(f, "  alert {}", line.alert)?;
        }
        Ok(())
    }
}

fn write_window(f: &mut fmt::Formatter<'_>, window: &WindowBurn) -> fmt::Result {
    let counts = &window.counts;
    let minutes = window.window_millis / 60_000;
    write!(f, "  {minutes:>5} min: burn {:.2}, ", window.burn)?;
    write!(f, "{} of {} requests missed", counts.missed(), counts.requests)?;
    for cause in MissCause::ALL {
        let share = counts.cause_share(cause);
        if share > 0.0 {
            write!(f, ", {cause} {:.0}%", share * 100.0)?;
        }
    }
    writeln!(f)
}
