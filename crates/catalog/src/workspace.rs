//! Workspaces: who may send requests, with which keys, priority and quota.

use std::{
    collections::{HashMap, hash_map::Entry},
    convert::Infallible,
    fmt,
    str::FromStr,
    sync::Arc,
};

use base::prelude::*;

use crate::units::TokenCount;

/// Name of a workspace, as backend servers know it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceName(pub String);

impl WorkspaceName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for WorkspaceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for WorkspaceName {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self(text.to_owned()))
    }
}

/// Tokens that a workspace may use over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceQuota {
    /// Tokens a second.
    pub rate: EventRate,
    /// Tokens that may be used at once on top of the rate.
    pub burst: TokenCount,
    /// Cost of a request that does not state its tokens.
    pub plain_cost: TokenCount,
}

/// A workspace: a group of callers with keys of their own.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name, as backend servers know it.
    pub name: WorkspaceName,
    /// Hashes of the keys that its callers present.
    pub keys: Vec<KeyHash>,
    /// Priority of its requests, which replaces that of the route; none leaves the route's.
    pub priority: Option<u32>,
    /// Tokens that it may use; none if there is no limit.
    pub quota: Option<WorkspaceQuota>,
}

/// The workspaces of one version of the catalog, by their keys.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WorkspaceDirectory {
    by_key: HashMap<KeyHash, Arc<Workspace>>,
    workspaces: Vec<Arc<Workspace>>,
}

impl WorkspaceDirectory {
    /// Creates a directory. A key that several workspaces list belongs to the first of them.
    pub fn new(workspaces: Vec<Workspace>) -> Self {
        let workspaces: Vec<Arc<Workspace>> = workspaces.into_iter().map(Arc::new).collect();
        let mut by_key = HashMap::new();
        for workspace in &workspaces {
            for key in &workspace.keys {
                match by_key.entry(key.clone()) {
                    Entry::Vacant(vacant) => {
                        vacant.insert(Arc::clone(workspace));
                    }
                    Entry::Occupied(held) if held.get().name == workspace.name => {}
                    Entry::Occupied(held) => {
                        let (first, second) = (&held.get().name, &workspace.name);
                        log::warn!(
                            "catalog: workspaces {first} and {second} list the same key, which \
                             counts as that of {first}"
                        );
                    }
                }
            }
        }
        Self { by_key, workspaces }
    }

    /// The workspace that holds a key.
    pub fn find(&self, key: &KeyHash) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// All workspaces, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.iter()
    }
}
