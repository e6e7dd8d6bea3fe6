//! The report of `check-config`, as lines or as JSON.

use std::fmt;

use catalog::check::{self, CheckSettings, Finding, Severity};
use platform::{CatalogDocument, DocumentFault, NoteEffect, catalog_place::place_text};
use serde_json::json;

use crate::error::CliResult;

/// A configuration and the name of its file.
pub struct ConfigFile {
    /// Name of the file, for messages.
    pub name: String,
    /// What the file contains.
    pub document: CatalogDocument,
}

/// A finding as shown to the operator.
struct ReportLine {
    file: String,
    severity: Severity,
    place: String,
    text: String,
}

/// All findings of one configuration; contains no keys.
pub struct ConfigReport {
    file: String,
    /// File with the version in force.
    against: Option<String>,
    lines: Vec<ReportLine>,
}

impl ConfigReport {
    /// Checks a configuration, and compares it with the version in force if there is one.
    pub fn new(file: &ConfigFile, against: Option<&ConfigFile>, settings: &CheckSettings) -> Self {
        let name = |file: &ConfigFile| file.name.clone();
        let mut report = Self { file: name(file), against: against.map(name), lines: Vec::new() };
        file.document.faults.iter().for_each(|fault| report.add_fault(&file.name, fault));
        if let Some(draft) = &file.document.draft {
            report.add_findings(check::check(draft, settings));
        }
        if let Some(ConfigFile { name, document: in_force }) = against {
            // Faults of the version in force count only if it cannot be compared.
            let faults = in_force.faults.iter();
            let rejected = faults.filter(|fault| fault.effect == NoteEffect::Rejected);
            rejected.for_each(|fault| report.add_fault(name, fault));
            if let (Some(before), Some(after)) = (&in_force.draft, &file.document.draft) {
                report.add_findings(check::compare(before, after));
            }
        }
        for line in &mut report.lines {
            for file in [Some(file), against].into_iter().flatten() {
                line.text = file.document.conceal_keys(&line.text);
            }
        }
        report
    }

    fn add_fault(&mut self, file: &str, fault: &DocumentFault) {
        let severity = match fault.effect {
            NoteEffect::Rejected | NoteEffect::Skipped => Severity::Error,
            NoteEffect::Ignored | NoteEffect::Replaced => Severity::Warning,
        };
        let (file, place, text) = (file.to_owned(), fault.place.clone(), fault.text.clone());
        self.lines.push(ReportLine { file, severity, place, text });
    }

    fn add_findings(&mut self, findings: Vec<Finding>) {
        self.lines.extend(findings.into_iter().map(|finding| ReportLine {
            file: self.file.clone(),
            severity: finding.severity(),
            place: place_text(finding.place),
            text: finding.kind.to_string(),
        }));
    }

    fn count(&self, severity: Severity) -> usize {
        self.lines.iter().filter(|line| line.severity == severity).count()
    }

    /// Number of findings that are no mere differences.
    pub fn fault_count(&self) -> usize {
        self.lines.iter().filter(|line| line.severity.is_fault()).count()
    }

    /// The report as one JSON document.
    ///
    /// # Errors
    ///
    /// Fails if the report cannot be encoded.
    pub fn to_json(&self) -> CliResult<String> {
        let findings: Vec<_> = self
            .lines
            .iter()
            .map(|line| {
                json!({ "file": line.file, "severity": line.severity.to_string(),
                    "place": line.place, "text": line.text })
            })
            .collect();
        Ok(serde_json::to_string_pretty(&json!({
            "file": self.file,
            "against": self.against,
            "errors": self.count(Severity::Error),
            "warnings": self.count(Severity::Warning),
            "changes": self.count(Severity::Change),
            "findings": findings,
        }))?)
    }
}

impl fmt::Display for ConfigReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ReportLine { file, severity, place, text } in &self.lines {
            // Names may contain line breaks; a finding has one line.
            let line = format!("{file}: {severity}: {place}: {text}");
            writeln!(f, "{}", line.replace(char::is_control, "\u{fffd}"))?;
        }
        Ok(())
    }
}
