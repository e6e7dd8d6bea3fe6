//! Lines of the decision log.

use serde::Deserialize;
use serde_json::{Map, Value};

/// One line of a process's log.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct LogLine {
    /// VM of the process.
    pub vm: String,
    /// Number of the line within one run of the process.
    pub n: u64,
    /// Wall-clock time in milliseconds of the Unix epoch, for display.
    pub at_ms: u64,
    /// Name of the event.
    pub event: String,
    /// The other fields.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
    /// Run of the process that wrote the line, counted from zero in its log.
    #[serde(skip)]
    pub run: usize,
    /// Place of the line in its log.
    #[serde(skip)]
    pub place: usize,
}

impl LogLine {
    /// A field as text; numbers and missing fields read as empty.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// A field as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        let value = self.fields.get(name)?;
        value.as_u64().or_else(|| value.as_str()?.parse().ok())
    }

    /// The fields as `name=value`, in the order of their names.
    pub fn details(&self) -> String {
        let shown = self.fields.iter().filter(|(_, value)| !value.is_null());
        let pairs = shown.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text:?}"),
            other => format!("{name}={other}"),
        });
        pairs.collect::<Vec<_>>().join(" ")
    }
}

/// Logs as they were read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LogText {
    /// Lines of the decision log, in the order of the files.
    pub lines: Vec<LogLine>,
    /// Lines that are torn: they begin like a line of the log and cannot be read.
    pub torn: usize,
    /// Lines of something else.
    pub foreign: usize,
}

impl LogText {
    /// Reads the text of one file; what stands before the first brace of a line is passed over, so
    /// that collectors may put a time or a name there.
    pub fn add(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let Some(start) = line.find('{') else {
                self.foreign += 1;
                continue;
            };
            match serde_json::from_str::<LogLine>(line[start..].trim_end()) {
                Ok(read) => self.push(read),
                Err(_) if line[start..].starts_with("{\"at_ms\"") => self.torn += 1,
                Err(_) => self.foreign += 1,
            }
        }
    }

    fn push(&mut self, mut line: LogLine) {
        let before = self.lines.iter().rev().find(|before| before.vm == line.vm);
        line.run = before.map_or(0, |before| before.run + usize::from(line.n <= before.n));
        line.place = self.lines.len();
        self.lines.push(line);
    }
}
