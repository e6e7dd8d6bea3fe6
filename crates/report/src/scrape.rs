//! Log of the entries' metrics: blocks of Prometheus text, each after a header line with the
//! address of the entry and the time.

use std::{collections::BTreeMap, fmt::Write};

use lists::WorkClass;
use prometheus_parse::{Sample, Scrape, Value};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::outcome::{CustomerClass, OutcomeCounts};

/// Prefix of the header line before each block.
const HEADER_PREFIX: &str = "# fescuewalk scrape ";

/// Why a log of metrics could not be parsed.
#[derive(Debug, Snafu)]
pub enum ScrapeError {
    /// The header line of a block has no address or no time.
    #[snafu(display(
        "{line:?} is not a header such as {HEADER_PREFIX}10.0.0.1:8000 1796000000000"
    ))]
    BadHeader {
        /// Text of the line after the prefix.
        line: String,
    },
    /// A block is not Prometheus text.
    #[snafu(display("a block of entry {entry} is not Prometheus text: {source}"))]
    BadBlock {
        /// Address of the entry that the block comes from.
        entry: String,
        /// Error of the parser.
        source: std::io::Error,
    },
}

/// Result of parsing a log.
pub type Result<T, E = ScrapeError> = std::result::Result<T, E>;

/// Counters of one entry at the time of one scrape.
#[derive(Debug, Clone, PartialEq)]
pub struct ScrapeRecord {
    /// Address of the entry.
    pub entry: String,
    /// Time of the scrape, in milliseconds since the Unix epoch.
    pub millis: u64,
    /// Counts since the entry started, by customer and class.
    pub counts: BTreeMap<CustomerClass, OutcomeCounts>,
}

/// Scrapes of all entries in the order of their times.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ScrapeLog {
    records: Vec<ScrapeRecord>,
}

/// Formats one scrape as a block to be appended to a log. Lines of `metrics` that look like a
/// header are left out.
pub fn scrape_block(entry: &str, millis: u64, metrics: &str) -> String {
    let mut block = format!("{HEADER_PREFIX}{entry} {millis}\n");
    let kept = metrics.lines().filter(|line| !line.starts_with(HEADER_PREFIX));
    for line in kept {
        let _ = writeln!(block, "{line}");
    }
    block
}

impl ScrapeLog {
    /// Parses a log; text before the first header is skipped.
    ///
    /// # Errors
    ///
    /// Fails on the first malformed header or block.
    pub fn parse(text: &str) -> Result<Self> {
        let mut records = Vec::new();
        for block in text.split(HEADER_PREFIX).skip(1) {
            let (header, body) = block.split_once('\n').unwrap_or((block, ""));
            let parsed = header.split_once(' ').and_then(|(entry, millis)| {
                Some((entry.to_owned(), millis.trim().parse::<u64>().ok()?))
            });
            let (entry, millis) = parsed.context(BadHeaderSnafu { line: header })?;
            let lines = body.lines().map(|line| Ok(line.to_owned()));
            let scrape = Scrape::parse(lines).context(BadBlockSnafu { entry: entry.clone() })?;
            records.push(ScrapeRecord { entry, millis, counts: count_samples(&scrape.samples) });
        }
        records.sort_by_key(|record| record.millis);
        Ok(Self { records })
    }

    /// All scrapes in the order of their times.
    pub fn records(&self) -> &[ScrapeRecord] {
        &self.records
    }

    /// Time of the last scrape, in milliseconds since the Unix epoch; `None` without scrapes.
    pub fn last_millis(&self) -> Option<u64> {
        self.records.last().map(|record| record.millis)
    }

    /// Outcomes at all entries from `from` to `to`, both in milliseconds since the Unix epoch.
    ///
    /// Adds up the increases between successive scrapes, so that an entry that restarted in
    /// between, with counters at zero, is counted correctly.
    pub fn between(&self, from: u64, to: u64) -> BTreeMap<CustomerClass, OutcomeCounts> {
        let mut sums: BTreeMap<CustomerClass, OutcomeCounts> = BTreeMap::new();
        let mut last: BTreeMap<&str, &ScrapeRecord> = BTreeMap::new();
        for record in self.records.iter().filter(|record| record.millis <= to) {
            let previous = last.insert(&record.entry, record);
            let Some(previous) = previous.filter(|other| other.millis >= from) else { continue };
            for (key, counts) in &record.counts {
                let before = previous.counts.get(key);
                sums.entry(key.clone()).or_default().add_increase(before, counts);
            }
        }
        sums
    }
}

fn count_samples(samples: &[Sample]) -> BTreeMap<CustomerClass, OutcomeCounts> {
    let mut counts: BTreeMap<CustomerClass, OutcomeCounts> = BTreeMap::new();
    for sample in samples {
        let Some(key) = customer_class(sample) else { continue };
        let counts = counts.entry(key).or_default();
        match (sample.metric.as_str(), &sample.value) {
            ("fescuewalk_requests_total", Value::Counter(value) | Value::Untyped(value)) => {
                let code = sample.labels.get("code").and_then(|code| code.parse().ok());
                counts.count_code(code.unwrap_or_default(), *value);
            }
            ("fescuewalk_slow_total", Value::Counter(value) | Value::Untyped(value)) => {
                counts.count_slow(sample.labels.get("cause").unwrap_or_default(), *value);
            }
            (
                "fescuewalk_first_byte_seconds_sum",
                Value::Counter(seconds) | Value::Untyped(seconds),
            ) => counts.seconds += seconds,
            _ => {}
        }
    }
    counts
}

fn customer_class(sample: &Sample) -> Option<CustomerClass> {
    let customer = sample.labels.get("customer").filter(|customer| !customer.is_empty())?;
    let class: WorkClass = sample.labels.get("class")?.parse().ok()?;
    Some(CustomerClass { customer: customer.parse().ok()?, class })
}
