//! Parsing of the decision log, which has one JSON object per line.

use serde::Deserialize;
use serde_json::{Map, Value};

/// One line of the decision log of a process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct LogLine {
    /// VM of the process.
    pub vm: String,
    /// Sequence number of the line within one run of the process.
    pub n: u64,
    /// Wall-clock time in milliseconds since the Unix epoch. Clocks of different VMs may disagree.
    pub at_ms: u64,
    /// Name of the event, such as `call-assigned`.
    pub event: String,
    /// All other fields of the line.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
    /// Run of the process that wrote the line, counted from zero; a line whose `n` has not risen
    /// since the line before it belongs to a new run.
    #[serde(skip)]
    pub run: usize,
    /// Index of the line in [`DecisionLogs::lines`].
    #[serde(skip)]
    pub place: usize,
}

impl LogLine {
    /// The field `name` as text; empty if it is missing or not a string.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// The field `name` as a number; also accepts a number written as a string.
    pub fn number(&self, name: &str) -> Option<u64> {
        let value = self.fields.get(name)?;
        value.as_u64().or_else(|| value.as_str()?.parse().ok())
    }

    /// The fields other than null as `name=value`, sorted by name.
    pub fn details(&self) -> String {
        let shown = self.fields.iter().filter(|(_, value)| !value.is_null());
        let pairs = shown.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text:?}"),
            other => format!("{name}={other}"),
        });
        pairs.collect::<Vec<_>>().join(" ")
    }
}

/// Lines read from the log files of several processes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DecisionLogs {
    /// Lines of the decision logs, in the order in which they were read.
    pub lines: Vec<LogLine>,
    /// Number of torn lines: they begin like a line of the decision log but cannot be parsed.
    pub torn: usize,
    /// Number of lines that do not belong to a decision log.
    pub foreign: usize,
}

impl DecisionLogs {
    /// Adds the lines of one file. Text before the first brace of a line is skipped, since log
    /// collectors may put a time or a name there.
    pub fn add(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let Some(start) = line.find('{') else {
                self.foreign += 1;
                continue;
            };
            match serde_json::from_str::<LogLine>(line[start..].trim_end()) {
                Ok(parsed) => self.push(parsed),
                Err(_) if line[start..].starts_with("{\"at_ms\"") => self.torn += 1,
                Err(_) => self.foreign += 1,
            }
        }
    }

    fn push(&mut self, mut line: LogLine) {
        let previous = self.lines.iter().rev().find(|other| other.vm == line.vm);
        line.run = previous.map_or(0, |other| other.run + usize::from(line.n <= other.n));
        line.place = self.lines.len();
        self.lines.push(line);
    }
}
