//! Kinds and names of the sections in both lists.

use std::{fmt, str::FromStr};

use base::ids::{IdError, ModelId};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

/// A section header could not be parsed; the message names what was expected.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum SectionError {
    /// The header does not start with a known kind.
    #[snafu(display("a header such as [customer NAME], [plan NAME] or [model NAME]"))]
    UnknownKind,
    /// The name after the kind is malformed.
    #[snafu(display("a name after the kind: {source}"))]
    BadName {
        /// What is wrong with the name.
        source: IdError,
    },
}

/// Result of parsing a section header.
pub type Result<T, E = SectionError> = std::result::Result<T, E>;

/// What a section describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SectionKind {
    /// A customer, in the list of plans.
    Customer,
    /// A plan, in the list of rights.
    Plan,
    /// A model, in the list of rights.
    Model,
    /// An adapter, in the list of rights.
    Adapter,
    /// A service, in the list of rights.
    Service,
}

impl SectionKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [SectionKind; 5] = [
        SectionKind::Customer,
        SectionKind::Plan,
        SectionKind::Model,
        SectionKind::Adapter,
        SectionKind::Service,
    ];

    /// The word by which a header names the kind.
    pub fn word(self) -> &'static str {
        match self {
            SectionKind::Customer => "customer",
            SectionKind::Plan => "plan",
            SectionKind::Model => "model",
            SectionKind::Adapter => "adapter",
            SectionKind::Service => "service",
        }
    }
}

/// Kind and name of a section, such as `plan field`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SectionName {
    /// What the section describes.
    pub kind: SectionKind,
    /// Name of the customer, plan, model, adapter or service that the section describes.
    pub name: String,
}

impl SectionName {
    /// Creates a section name without validating `name`.
    pub fn new(kind: SectionKind, name: impl Into<String>) -> Self {
        Self { kind, name: name.into() }
    }
}

impl fmt::Display for SectionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.word(), self.name)
    }
}

impl FromStr for SectionName {
    type Err = SectionError;

    fn from_str(text: &str) -> Result<Self> {
        let (word, name) = text.split_once(' ').context(UnknownKindSnafu)?;
        let kind = SectionKind::ALL
            .into_iter()
            .find(|kind| kind.word() == word)
            .context(UnknownKindSnafu)?;
        let name = name.trim();
        ModelId::new(name).context(BadNameSnafu)?;
        Ok(Self::new(kind, name))
    }
}

impl TryFrom<String> for SectionName {
    type Error = SectionError;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<SectionName> for String {
    fn from(name: SectionName) -> String {
        name.to_string()
    }
}
