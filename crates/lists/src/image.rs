//! Both lists as normalized sections of text, and the differences between two such images.

use std::{collections::BTreeMap, fmt};

use base::ini::{IniFile, IniSection};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::section::{Result, SectionName};

/// Checksum of an image: the wrapping sum of the hashes of its sections, so it can be updated per
/// section and does not depend on the order of edits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ImageDigest(pub u64);

impl fmt::Display for ImageDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A section that an edit replaced, added or removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionChange {
    /// Kind and name of the section.
    pub name: SectionName,
    /// New text, one `key = value` per line; `None` if the section was removed.
    pub text: Option<String>,
}

/// The sections in which two images differ.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta {
    /// The changes, sorted by section name.
    pub changes: Vec<SectionChange>,
}

/// Both lists as sections of text, without comments.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListImage {
    sections: BTreeMap<SectionName, String>,
    digest: ImageDigest,
}

impl ListImage {
    /// Creates the image of two parsed files.
    ///
    /// # Errors
    ///
    /// Fails on the first malformed section header; [`crate::check_lists`] reports all of them.
    pub fn from_files(plans: &IniFile, rights: &IniFile) -> Result<Self> {
        let mut image = Self::default();
        for section in plans.sections.iter().chain(&rights.sections) {
            let name = section.name.parse()?;
            image.apply_change(&SectionChange { name, text: Some(section_text(section)) });
        }
        Ok(image)
    }

    /// Checksum over all sections.
    pub fn digest(&self) -> ImageDigest {
        self.digest
    }

    /// Names and texts of the sections, sorted by name.
    pub fn sections(&self) -> impl Iterator<Item = (&SectionName, &String)> {
        self.sections.iter()
    }

    /// Text of one section, if it exists.
    pub fn section(&self, name: &SectionName) -> Option<&String> {
        self.sections.get(name)
    }

    /// Size of all names and texts, in bytes.
    pub fn bytes(&self) -> usize {
        self.sections.iter().map(|(name, text)| name.name.len() + text.len()).sum()
    }

    /// Applies the changes of `delta`.
    pub fn apply(&mut self, delta: &ListDelta) {
        for change in &delta.changes {
            self.apply_change(change);
        }
    }

    /// Returns the changes that turn `self` into `newer`.
    pub fn delta_to(&self, newer: &ListImage) -> ListDelta {
        let mut changes = Vec::new();
        for (name, text) in &newer.sections {
            if self.sections.get(name) != Some(text) {
                changes.push(SectionChange { name: name.clone(), text: Some(text.clone()) });
            }
        }
        for name in self.sections.keys().filter(|name| !newer.sections.contains_key(*name)) {
            changes.push(SectionChange { name: name.clone(), text: None });
        }
        changes.sort_by(|a, b| a.name.cmp(&b.name));
        ListDelta { changes }
    }

    /// Returns the complete image as changes of an empty one.
    pub fn as_delta(&self) -> ListDelta {
        ListImage::default().delta_to(self)
    }

    /// Checksum of the image after the changes of `delta`, without applying them; no two changes
    /// may be of the same section.
    pub fn digest_after(&self, delta: &ListDelta) -> ImageDigest {
        delta
            .changes
            .iter()
            .fold(self.digest, |digest, change| self.digest_with_change(digest, change))
    }

    fn apply_change(&mut self, change: &SectionChange) {
        self.digest = self.digest_with_change(self.digest, change);
        match &change.text {
            Some(text) => self.sections.insert(change.name.clone(), text.clone()),
            None => self.sections.remove(&change.name),
        };
    }

    fn digest_with_change(&self, digest: ImageDigest, change: &SectionChange) -> ImageDigest {
        let name = &change.name;
        let removed = self.sections.get(name).map_or(0, |text| section_digest(name, text));
        let added = change.text.as_ref().map_or(0, |text| section_digest(name, text));
        ImageDigest(digest.0.wrapping_sub(removed).wrapping_add(added))
    }
}

fn section_digest(name: &SectionName, text: &str) -> u64 {
    xxh3_64(format!("[{name}]\n{text}").as_bytes())
}

fn section_text(section: &IniSection) -> String {
    let lines = section.entries.iter().map(|entry| format!("{} = {}\n", entry.key, entry.value));
    lines.collect()
}
