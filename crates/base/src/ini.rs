//! Reading of INI files with line numbers, and collection of all their faults.

use std::{fmt, fmt::Display, str::FromStr};

use ini_core::{Item, Parser};
use snafu::Snafu;

/// What is wrong with one place of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileFault {
    /// Name of the file.
    pub file: String,
    /// Line, counted from one; zero if the fault belongs to the file as a whole.
    pub line: u32,
    /// Section that holds the fault; empty at the top of the file.
    pub section: String,
    /// Key at fault; empty if the fault belongs to the section.
    pub key: String,
    /// What was expected.
    pub expected: String,
}

impl Display for FileFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: [{}] {}: {}", self.file, self.line, self.section, self.key, self.expected)
    }
}

/// All faults of a file.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("{}", faults.iter().map(FileFault::to_string).collect::<Vec<_>>().join("\n")))]
pub struct FileFaults {
    /// The faults, in the order of the file.
    pub faults: Vec<FileFault>,
}

/// Result of reading a file.
pub type Result<T, E = FileFaults> = std::result::Result<T, E>;

/// One `key = value` line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniEntry {
    /// Key, without surrounding space.
    pub key: String,
    /// Value, without surrounding space.
    pub value: String,
    /// Line, counted from one.
    pub line: u32,
}

/// One `[name]` section with its entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniSection {
    /// Name between the brackets.
    pub name: String,
    /// Line of the header, counted from one.
    pub line: u32,
    /// Entries in the order of the file.
    pub entries: Vec<IniEntry>,
}

/// A parsed file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniFile {
    /// Name used in faults.
    pub name: String,
    /// Sections in the order of the file.
    pub sections: Vec<IniSection>,
}

impl IniFile {
    /// Parses `text`; `name` appears in faults.
    ///
    /// # Errors
    ///
    /// Lists every line that is neither a section, an entry, a comment nor blank.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let mut sections = vec![IniSection { name: String::new(), line: 0, entries: Vec::new() }];
        let mut faults = Vec::new();
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            let line = parser.line() + 1;
            let Some(item) = parser.next() else { break };
            let section = sections.last_mut().expect("the top section always exists");
            match item {
                Item::Section(title) => {
                    let entries = Vec::new();
                    sections.push(IniSection { name: title.to_owned(), line, entries });
                }
                Item::Property(key, Some(value)) => section.entries.push(IniEntry {
                    key: key.to_owned(),
                    value: value.to_owned(),
                    line,
                }),
                Item::Property(text, None) | Item::Error(text) => faults.push(FileFault {
                    file: name.to_owned(),
                    line,
                    section: section.name.clone(),
                    key: text.to_owned(),
                    expected: "a line of the form key = value".to_owned(),
                }),
                Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
            }
        }
        if sections[0].entries.is_empty() {
            sections.remove(0);
        }
        if faults.is_empty() {
            Ok(Self { name: name.to_owned(), sections })
        } else {
            Err(FileFaults { faults })
        }
    }
}

/// Takes the keys of one section one by one and remembers every fault.
#[derive(Debug)]
pub struct SectionReader<'a> {
    file: &'a str,
    section: &'a IniSection,
    taken: Vec<&'a str>,
    faults: Vec<FileFault>,
}

impl<'a> SectionReader<'a> {
    /// Starts reading `section` of the file named `file`.
    pub fn new(file: &'a str, section: &'a IniSection) -> Self {
        Self { file, section, taken: Vec::new(), faults: Vec::new() }
    }

    /// The value of `key` parsed as `T`, or `None` with a fault if it is missing or malformed.
    pub fn required<T>(&mut self, key: &'a str, expected: &str) -> Option<T>
    where
        T: FromStr,
    {
        let Some(entry) = self.take(key) else {
            self.fault(self.section.line, key, expected);
            return None;
        };
        self.parse(entry, expected)
    }

    /// The value of `key` parsed as `T`, or `default` if it is missing or malformed.
    pub fn optional<T>(&mut self, key: &'a str, expected: &str, default: T) -> T
    where
        T: FromStr,
    {
        match self.take(key) {
            Some(entry) => self.parse(entry, expected).unwrap_or(default),
            None => default,
        }
    }

    /// The comma-separated values of `key` parsed as `T`; empty if the key is missing.
    pub fn values<T>(&mut self, key: &'a str, expected: &str) -> Vec<T>
    where
        T: FromStr,
    {
        let Some(entry) = self.take(key) else { return Vec::new() };
        let mut values = Vec::new();
        for text in entry.value.split(',').map(str::trim).filter(|text| !text.is_empty()) {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(_) => self.fault(entry.line, key, expected),
            }
        }
        values
    }

    /// Records a fault found by the caller.
    pub fn fault(&mut self, line: u32, key: &str, expected: &str) {
        self.faults.push(FileFault {
            file: self.file.to_owned(),
            line,
            section: self.section.name.clone(),
            key: key.to_owned(),
            expected: expected.to_owned(),
        });
    }

    /// Ends the section: keys that nobody took, and keys given twice, are faults.
    pub fn finish(mut self) -> Vec<FileFault> {
        let section = self.section;
        for (index, entry) in section.entries.iter().enumerate() {
            if !self.taken.contains(&entry.key.as_str()) {
                self.fault(entry.line, &entry.key, "no such key here");
            }
            if section.entries[..index].iter().any(|earlier| earlier.key == entry.key) {
                self.fault(entry.line, &entry.key, "the key only once");
            }
        }
        self.faults
    }

    fn take(&mut self, key: &'a str) -> Option<&'a IniEntry> {
        self.taken.push(key);
        self.section.entries.iter().find(|entry| entry.key == key)
    }

    fn parse<T>(&mut self, entry: &IniEntry, expected: &str) -> Option<T>
    where
        T: FromStr,
    {
        let parsed = entry.value.parse().ok();
        if parsed.is_none() {
            self.fault(entry.line, &entry.key, expected);
        }
        parsed
    }
}

/// Reads a whole settings file section by section and remembers every fault.
#[derive(Debug)]
pub struct SettingsReader {
    file: IniFile,
    taken: Vec<String>,
    faults: Vec<FileFault>,
}

impl SettingsReader {
    /// Starts reading `text`; `name` appears in faults.
    ///
    /// # Errors
    ///
    /// Fails if the text is not an INI file.
    pub fn new(name: &str, text: &str) -> Result<Self> {
        let file = IniFile::parse(name, text)?;
        Ok(Self { file, taken: Vec::new(), faults: Vec::new() })
    }

    /// Reads the section called `name`; a missing one reads as empty.
    pub fn section<T>(&mut self, name: &str, read: impl FnOnce(&mut SectionReader<'_>) -> T) -> T {
        self.taken.push(name.to_owned());
        let empty = IniSection { name: name.to_owned(), line: 0, entries: Vec::new() };
        let found = self.file.sections.iter().find(|section| section.name == name);
        let mut reader = SectionReader::new(&self.file.name, found.unwrap_or(&empty));
        let value = read(&mut reader);
        self.faults.extend(reader.finish());
        value
    }

    /// Ends the file: sections that nobody read, and sections given twice, are faults.
    ///
    /// # Errors
    ///
    /// Lists all faults of the file.
    pub fn finish<T>(mut self, settings: Option<T>) -> Result<T> {
        let sections = &self.file.sections;
        for (index, section) in sections.iter().enumerate() {
            let is_known = self.taken.contains(&section.name);
            let is_repeated = sections[..index].iter().any(|earlier| earlier.name == section.name);
            let expected = match (is_known, is_repeated) {
                (false, _) => "no such section here",
                (true, true) => "the section only once",
                (true, false) => continue,
            };
            self.faults.push(FileFault {
                file: self.file.name.clone(),
                line: section.line,
                section: section.name.clone(),
                key: String::new(),
                expected: expected.to_owned(),
            });
        }
        match settings {
            Some(settings) if self.faults.is_empty() => Ok(settings),
            _ => Err(FileFaults { faults: self.faults }),
        }
    }
}
