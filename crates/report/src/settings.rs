//! Settings of the burn report: windows and alert thresholds.

use base::{
    ini::{Result, SectionReader, SettingsReader},
    prelude::*,
};

const SECONDS_PER_MINUTE: u64 = 60;
const SECONDS_PER_HOUR: u64 = 60 * SECONDS_PER_MINUTE;

/// Multi-window alert rule: the alert is due if the burn rate reaches `threshold` in both windows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AlertRule {
    /// Long window, in which the burn rate must reach the threshold.
    pub long: TimeSpan,
    /// Short window, in which it must do so too, so that the alert ends soon after its cause.
    pub short: TimeSpan,
    /// Burn rate that raises the alert; 1 uses up the error budget exactly in its period.
    pub threshold: f64,
}

/// Settings of the burn report.
#[derive(Debug, Clone, PartialEq)]
pub struct BurnSettings {
    /// Windows shown in the report, shortest first.
    pub windows: Vec<TimeSpan>,
    /// Rule for an alert that pages somebody.
    pub page: AlertRule,
    /// Rule for an alert that can wait for the next working day.
    pub ticket: AlertRule,
}

const fn seconds(count: u64) -> TimeSpan {
    TimeSpan(Duration::from_secs(count))
}

impl Default for BurnSettings {
    fn default() -> Self {
        Self {
            windows: vec![
                seconds(5 * SECONDS_PER_MINUTE),
                seconds(SECONDS_PER_HOUR),
                seconds(6 * SECONDS_PER_HOUR),
                seconds(72 * SECONDS_PER_HOUR),
            ],
            page: AlertRule {
                long: seconds(SECONDS_PER_HOUR),
                short: seconds(5 * SECONDS_PER_MINUTE),
                threshold: 14.4,
            },
            ticket: AlertRule {
                long: seconds(72 * SECONDS_PER_HOUR),
                short: seconds(6 * SECONDS_PER_HOUR),
                threshold: 1.0,
            },
        }
    }
}

impl BurnSettings {
    /// Reads settings from the text of a file called `name`; every key has a default.
    ///
    /// # Errors
    ///
    /// Lists all faults of the file.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let default = Self::default();
        let mut reader = SettingsReader::new(name, text)?;
        let mut windows: Vec<TimeSpan> = reader.section("burn", |section| {
            section.values("windows", "times such as 5min, 1h, 6h, 72h")
        });
        if windows.is_empty() {
            windows.clone_from(&default.windows);
        }
        windows.sort();
        let page = reader.section("page", |section| read_rule(section, default.page));
        let ticket = reader.section("ticket", |section| read_rule(section, default.ticket));
        reader.finish(Some(Self { windows, page, ticket }))
    }
}

fn read_rule(section: &mut SectionReader<'_>, default: AlertRule) -> AlertRule {
    let span = "a time such as 5min or 1h";
    AlertRule {
        long: section.optional("long", span, default.long),
        short: section.optional("short", span, default.short),
        threshold: section.optional("threshold", "a number such as 14.4", default.threshold),
    }
}
