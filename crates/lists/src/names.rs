//! Sets of names with `*` wildcards.

use std::{collections::BTreeSet, fmt, str::FromStr};

use base::ids::{IdError, ModelId};

/// A name, or a pattern in which each `*` matches any run of characters, also an empty one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NamePattern(String);

impl NamePattern {
    /// Whether the pattern has no `*`.
    pub fn is_exact(&self) -> bool {
        !self.0.contains('*')
    }

    /// The pattern as written in the list.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether the pattern matches all of `name`.
    pub fn matches(&self, name: &str) -> bool {
        let mut parts = self.0.split('*');
        let first = parts.next().unwrap_or_default();
        let Some(mut rest) = name.strip_prefix(first) else { return false };
        let Some(last) = parts.next_back() else { return rest.is_empty() };
        for part in parts {
            let Some(at) = rest.find(part) else { return false };
            rest = &rest[at + part.len()..];
        }
        rest.ends_with(last)
    }
}

impl fmt::Display for NamePattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for NamePattern {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let without_wildcards = text.replace('*', "");
        if !without_wildcards.is_empty() || text.is_empty() {
            ModelId::new(without_wildcards)?;
        }
        Ok(Self(text.to_owned()))
    }
}

/// A set of names and patterns; names without wildcards are looked up directly.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NameSet {
    exact: BTreeSet<String>,
    wildcards: Vec<NamePattern>,
}

impl NameSet {
    /// Creates a set from `patterns`.
    pub fn new(patterns: Vec<NamePattern>) -> Self {
        let (exact, wildcards): (Vec<_>, Vec<_>) =
            patterns.into_iter().partition(NamePattern::is_exact);
        Self { exact: exact.into_iter().map(|pattern| pattern.0).collect(), wildcards }
    }

    /// Whether `name` is in the set or matches one of its patterns.
    pub fn contains(&self, name: &str) -> bool {
        self.exact.contains(name) || self.wildcards.iter().any(|pattern| pattern.matches(name))
    }

    /// The names without wildcards, sorted.
    pub fn exact_names(&self) -> impl Iterator<Item = &str> {
        self.exact.iter().map(String::as_str)
    }
}
