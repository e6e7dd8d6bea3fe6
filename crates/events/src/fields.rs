//! Values of event fields, and how they are written.

use base::prelude::*;
use residency::OrderAnswer;
use serde::{Serialize, Serializer};

/// Another system that a process depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dependency {
    /// The platform's store, as the source of the list of backend servers.
    StoreServers,
    /// The platform's store, as the source of the configuration.
    StoreCatalog,
    /// The engine on the VM of a side process.
    Engine,
}

/// A duration in milliseconds, rounded down.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

pub(crate) fn text<T: std::fmt::Display, S: Serializer>(
    value: &T,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

pub(crate) fn some_text<T: std::fmt::Display, S: Serializer>(
    value: &Option<T>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match value {
        Some(value) => serializer.collect_str(value),
        None => serializer.serialize_none(),
    }
}

pub(crate) fn write_answer<S: Serializer>(
    value: &OrderAnswer,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(value.text())
}
