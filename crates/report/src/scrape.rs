//! A log of the entries' metrics: blocks of Prometheus text, each under a line that tells the entry
//! and the time.

use std::{collections::BTreeMap, fmt::Write};

use lists::WorkClass;
use prometheus_parse::{Sample, Scrape, Value};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::outcome::{CustomerClass, OutcomeCounts};

/// Start of the line before each block.
const HEADER: &str = "# fescuewalk scrape ";

/// A log could not be read.
#[derive(Debug, Snafu)]
pub enum ScrapeError {
    /// The line before a block is malformed.
    #[snafu(display("{line:?} is not a header such as {HEADER}10.0.0.1:8000 1796000000000"))]
    BadHeader {
        /// The line.
        line: String,
    },
    /// A block is not Prometheus text.
    #[snafu(display("a block of {entry} is not Prometheus text: {source}"))]
    BadBlock {
        /// Entry of the block.
        entry: String,
        /// Cause.
        source: std::io::Error,
    },
}

/// Result of reading a log.
pub type Result<T, E = ScrapeError> = std::result::Result<T, E>;

/// Counters of one entry at one time.
#[derive(Debug, Clone, PartialEq)]
pub struct ScrapeRecord {
    /// Address of the entry.
    pub entry: String,
    /// Time, in milliseconds since the Unix epoch.
    pub millis: u64,
    /// Counts since the entry started, by customer and class.
    pub counts: BTreeMap<CustomerClass, OutcomeCounts>,
}

/// Scrapes in the order of their times.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ScrapeLog {
    records: Vec<ScrapeRecord>,
}

/// The block of one scrape, to be appended to a log.
pub fn scrape_block(entry: &str, millis: u64, metrics: &str) -> String {
    let mut block = format!("{HEADER}{entry} {millis}\n");
    let kept = metrics.lines().filter(|line| !line.starts_with(HEADER));
    for line in kept {
        let _ = writeln!(block, "{line}");
    }
    block
}

impl ScrapeLog {
    /// Reads a log.
    ///
    /// # Errors
    ///
    /// Fails on the first malformed header or block.
    pub fn parse(text: &str) -> Result<Self> {
        let mut records = Vec::new();
        for block in text.split(HEADER).skip(1) {
            let (header, body) = block.split_once('\n').unwrap_or((block, ""));
            let place = header.split_once(' ').and_then(|(entry, millis)| {
                Some((entry.to_owned(), millis.trim().parse::<u64>().ok()?))
            });
            let (entry, millis) = place.context(BadHeaderSnafu { line: header })?;
            let lines = body.lines().map(|line| Ok(line.to_owned()));
            let scrape = Scrape::parse(lines).context(BadBlockSnafu { entry: entry.clone() })?;
            records.push(ScrapeRecord { entry, millis, counts: count_samples(&scrape.samples) });
        }
        records.sort_by_key(|record| record.millis);
        Ok(Self { records })
    }

    /// The scrapes in the order of their times.
    pub fn records(&self) -> &[ScrapeRecord] {
        &self.records
    }

    /// Time of the last scrape.
    pub fn last_millis(&self) -> Option<u64> {
        self.records.last().map(|record| record.millis)
    }

    /// What happened between two times at all entries together.
    ///
    /// Growth between neighbouring scrapes is added up, so that an entry that started anew in
    /// between, with counters at zero, is counted from there.
    pub fn between(&self, from: u64, to: u64) -> BTreeMap<CustomerClass, OutcomeCounts> {
        let mut sums: BTreeMap<CustomerClass, OutcomeCounts> = BTreeMap::new();
        let mut last: BTreeMap<&str, &ScrapeRecord> = BTreeMap::new();
        for record in self.records.iter().filter(|record| record.millis <= to) {
            let former = last.insert(&record.entry, record);
            let Some(former) = former.filter(|former| former.millis >= from) else { continue };
            for (key, counts) in &record.counts {
                let before = former.counts.get(key);
                sums.entry(key.clone()).or_default().add_growth(before, counts);
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
