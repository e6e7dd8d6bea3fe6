//! Parsing of INI files that reports all errors of a file at once, with line numbers.

use std::{fmt, fmt::Display, str::FromStr};

use ini_core::{Item, Parser};
use snafu::Snafu;

/// One error in a file; displayed as `file:line: [section] key: expected`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileFault {
    /// Name of the file, as given to the parser.
    pub file: String,
    /// Line, counted from one; zero if the fault belongs to the file as a whole.
    pub line: u32,
    /// Section with the fault; empty at the top of the file.
    pub section: String,
    /// Key at fault, or the text of a line that is no entry; empty if the fault belongs to the
    /// section.
    pub key: String,
    /// What is allowed in this place, such as `a size such as 80GiB`.
    pub expected: String,
}

impl Display for FileFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: [{}] {}: {}", self.file, self.line, self.section, self.key, self.expected)
    }
}

/// All faults of a file, displayed one a line.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("{}", faults.iter().map(FileFault::to_string).collect::<Vec<_>>().join("\n")))]
pub struct FileFaults {
    /// The faults; for one section those of the keys that were read, in the order of reading, then
    /// those of unknown and repeated keys.
    pub faults: Vec<FileFault>,
}

impl FileFaults {
    /// Logs each fault as one that the process does without.
    pub fn warn(&self) {
        for fault in &self.faults {
            log::warn!("settings: {fault}");
        }
    }
}

/// Result of reading a file.
pub type Result<T, E = FileFaults> = std::result::Result<T, E>;

/// One `key = value` line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniEntry {
    /// Key, without surrounding whitespace.
    pub key: String,
    /// Value, without surrounding whitespace.
    pub value: String,
    /// Line, counted from one.
    pub line: u32,
}

/// One `[name]` section with its entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniSection {
    /// Name between the brackets; empty for the entries above the first header.
    pub name: String,
    /// Line of the header, counted from one; zero if there is no header.
    pub line: u32,
    /// Entries in the order of the file.
    pub entries: Vec<IniEntry>,
}

/// A parsed file whose keys and values are not interpreted yet.
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
    /// Lists every line that is neither a section header, an entry, a comment nor blank.
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

/// Reads the values of one section key by key and collects all faults.
#[derive(Debug)]
pub struct SectionReader<'a> {
    file: &'a str,
    section: &'a IniSection,
    read_keys: Vec<&'a str>,
    faults: Vec<FileFault>,
    lesser: Vec<FileFault>,
}

impl<'a> SectionReader<'a> {
    /// Starts reading `section` of the file named `file`.
    pub fn new(file: &'a str, section: &'a IniSection) -> Self {
        Self { file, section, read_keys: Vec::new(), faults: Vec::new(), lesser: Vec::new() }
    }

    /// Parses the value of `key` as `T`. A missing or malformed value gives `None` and records a
    /// fault with the text `expected`.
    pub fn required<T>(&mut self, key: &'a str, expected: &str) -> Option<T>
    where
        T: FromStr,
    {
        let Some(entry) = self.find_entry(key) else {
            self.fault(self.section.line, key, expected);
            return None;
        };
        self.parse(entry, expected)
    }

    /// Parses the value of `key` as `T`. Gives `default` if the key is missing or its value
    /// malformed; only the latter records a fault.
    pub fn optional<T>(&mut self, key: &'a str, expected: &str, default: T) -> T
    where
        T: FromStr,
    {
        match self.find_entry(key) {
            Some(entry) => self.parse(entry, expected).unwrap_or(default),
            None => default,
        }
    }

    /// Parses the value of `key` as a figure that the platform states. An empty one gives `default`,
    /// because templates leave it so where the platform states nothing, and so does a malformed one,
    /// which is a lesser fault: the process can do without.
    pub fn figure<T>(&mut self, key: &'a str, expected: &str, default: T) -> T
    where
        T: FromStr,
    {
        match self.find_entry(key) {
            Some(entry) if !entry.value.is_empty() => match entry.value.parse() {
                Ok(value) => value,
                Err(_) => {
                    self.lesser_fault(entry.line, key, &format!("{expected}; the default is used"));
                    default
                }
            },
            _ => default,
        }
    }

    /// Parses the comma-separated values of `key` as figures that the platform states; malformed ones
    /// are left out and recorded as lesser faults.
    pub fn figures<T>(&mut self, key: &'a str, expected: &str) -> Vec<T>
    where
        T: FromStr,
    {
        let Some(entry) = self.find_entry(key) else { return Vec::new() };
        let mut values = Vec::new();
        for text in entry.value.split(',').map(str::trim).filter(|text| !text.is_empty()) {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(_) => {
                    self.lesser_fault(
                        entry.line,
                        key,
                        &format!("{expected}; {text:?} is left out"),
                    );
                }
            }
        }
        values
    }

    /// Parses the comma-separated values of `key` as `T`; empty if the key is missing. Malformed
    /// values are left out and recorded as faults.
    pub fn values<T>(&mut self, key: &'a str, expected: &str) -> Vec<T>
    where
        T: FromStr,
    {
        let Some(entry) = self.find_entry(key) else { return Vec::new() };
        let mut values = Vec::new();
        for text in entry.value.split(',').map(str::trim).filter(|text| !text.is_empty()) {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(_) => self.fault(entry.line, key, expected),
            }
        }
        values
    }

    /// Records a fault in this section that the caller found.
    pub fn fault(&mut self, line: u32, key: &str, expected: &str) {
        let fault = self.new_fault(line, key, expected);
        self.faults.push(fault);
    }

    fn lesser_fault(&mut self, line: u32, key: &str, expected: &str) {
        let fault = self.new_fault(line, key, expected);
        self.lesser.push(fault);
    }

    fn new_fault(&self, line: u32, key: &str, expected: &str) -> FileFault {
        FileFault {
            file: self.file.to_owned(),
            line,
            section: self.section.name.clone(),
            key: key.to_owned(),
            expected: expected.to_owned(),
        }
    }

    /// Returns all faults of the section, including keys that were never read and keys given twice.
    pub fn finish(self) -> Vec<FileFault> {
        let (faults, lesser) = self.finish_apart();
        [faults, lesser].concat()
    }

    /// The same with the lesser faults, those that leave a value for each key, apart.
    fn finish_apart(mut self) -> (Vec<FileFault>, Vec<FileFault>) {
        let section = self.section;
        for (index, entry) in section.entries.iter().enumerate() {
            if !self.read_keys.contains(&entry.key.as_str()) {
                self.lesser_fault(entry.line, &entry.key, "no such key here");
            }
            if section.entries[..index].iter().any(|earlier| earlier.key == entry.key) {
                self.lesser_fault(entry.line, &entry.key, "the key only once");
            }
        }
        (self.faults, self.lesser)
    }

    fn find_entry(&mut self, key: &'a str) -> Option<&'a IniEntry> {
        self.read_keys.push(key);
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

/// Section with what a file says of itself.
const FILE_SECTION: &str = "file";

/// Reads a complete settings file section by section and collects all faults.
#[derive(Debug)]
pub struct SettingsReader {
    file: IniFile,
    read_sections: Vec<String>,
    faults: Vec<FileFault>,
    lesser: Vec<FileFault>,
}

impl SettingsReader {
    /// Parses `text`; `name` appears in faults.
    ///
    /// # Errors
    ///
    /// Lists every line that is neither a section header, an entry, a comment nor blank.
    pub fn new(name: &str, text: &str) -> Result<Self> {
        let file = IniFile::parse(name, text)?;
        let mut reader =
            Self { file, read_sections: Vec::new(), faults: Vec::new(), lesser: Vec::new() };
        reader.check_end();
        Ok(reader)
    }

    /// Checks that the file ends with the section that it names in `[file] last-section`, if it names
    /// one. A file that ends before is still being written.
    fn check_end(&mut self) {
        let last = self.section(FILE_SECTION, |section| {
            section.optional::<String>("last-section", "the name of a section", String::new())
        });
        if last.is_empty() {
            return;
        }
        let found = self.file.sections.last();
        if found.is_none_or(|section| section.name != last) {
            self.faults.push(FileFault {
                file: self.file.name.clone(),
                line: 0,
                section: last.clone(),
                key: String::new(),
                expected: "this section at the end; the file is incomplete".to_owned(),
            });
        }
        self.read_sections.push(last);
    }

    /// Reads the section called `name` with `read`; a missing section is treated as empty.
    pub fn section<T>(&mut self, name: &str, read: impl FnOnce(&mut SectionReader<'_>) -> T) -> T {
        self.read_sections.push(name.to_owned());
        let empty = IniSection { name: name.to_owned(), line: 0, entries: Vec::new() };
        let found = self.file.sections.iter().find(|section| section.name == name);
        let mut reader = SectionReader::new(&self.file.name, found.unwrap_or(&empty));
        let value = read(&mut reader);
        let (faults, lesser) = reader.finish_apart();
        self.faults.extend(faults);
        self.lesser.extend(lesser);
        value
    }

    /// Returns `settings` if the file has no faults. Sections that were never read and sections
    /// given twice are faults.
    ///
    /// # Errors
    ///
    /// Lists all faults of the file; also fails, with an empty list, if `settings` is `None`.
    pub fn finish<T>(self, settings: Option<T>) -> Result<T> {
        match self.finish_apart(settings) {
            Ok((settings, lesser)) if lesser.faults.is_empty() => Ok(settings),
            Ok((_, faults)) | Err(faults) => Err(faults),
        }
    }

    /// Returns `settings` with the lesser faults of the file: malformed figures, and keys and sections
    /// that are unknown or given twice.
    ///
    /// # Errors
    ///
    /// Lists all faults of the file if a required value is missing or malformed; also fails if
    /// `settings` is `None`.
    pub fn finish_apart<T>(mut self, settings: Option<T>) -> Result<(T, FileFaults)> {
        self.check_sections();
        match settings {
            Some(settings) if self.faults.is_empty() => {
                Ok((settings, FileFaults { faults: self.lesser }))
            }
            _ => Err(FileFaults { faults: [self.faults, self.lesser].concat() }),
        }
    }

    fn check_sections(&mut self) {
        let sections = &self.file.sections;
        for (index, section) in sections.iter().enumerate() {
            let is_known = self.read_sections.contains(&section.name);
            let is_repeated = sections[..index].iter().any(|earlier| earlier.name == section.name);
            let expected = match (is_known, is_repeated) {
                (false, _) => "no such section here",
                (true, true) => "the section only once",
                (true, false) => continue,
            };
            self.lesser.push(FileFault {
                file: self.file.name.clone(),
                line: section.line,
                section: section.name.clone(),
                key: String::new(),
                expected: expected.to_owned(),
            });
        }
    }
}
