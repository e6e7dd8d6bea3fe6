//! Descriptors that the process may open.

use std::{fmt, num::ParseIntError, str::FromStr};

use nix::{
    errno::Errno,
    sys::resource::{Resource, getrlimit, setrlimit},
};

/// Number of descriptors that a process may have open at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DescriptorCount(pub usize);

impl fmt::Display for DescriptorCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for DescriptorCount {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Raises the soft limit of the process to its hard one if it is below `wanted`. Returns the smaller
/// of `wanted` and what the process may open then, and logs what was found if they differ.
pub fn raise_limit(wanted: DescriptorCount) -> DescriptorCount {
    match raise_soft_limit(wanted) {
        Ok(allowed) if allowed < wanted => {
            log::warn!(
                "descriptors: the process may open {allowed}, the settings say {wanted}; the limits of \
                 connections follow from {allowed}"
            );
            allowed
        }
        Ok(_) => wanted,
        Err(error) => {
            log::warn!(
                "descriptors: the limit of the process cannot be read, the limits of connections \
                 follow from the {wanted} of the settings: {error}"
            );
            wanted
        }
    }
}

fn raise_soft_limit(wanted: DescriptorCount) -> Result<DescriptorCount, Errno> {
    let count = |limit| DescriptorCount(usize::try_from(limit).unwrap_or(usize::MAX));
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE)?;
    if count(soft) >= wanted || soft >= hard {
        return Ok(count(soft));
    }
    match setrlimit(Resource::RLIMIT_NOFILE, hard, hard) {
        Ok(()) => {
            log::info!("descriptors: the limit of the process was {soft}, raised to {hard}");
            Ok(count(hard))
        }
        Err(error) => {
            log::warn!("descriptors: failed to raise the limit of {soft} to {hard}: {error}");
            Ok(count(soft))
        }
    }
}
