//! The parts of a configuration in the order of its document.

use crate::{
    engine::Service,
    route::Route,
    routes::{CallerLimits, Catalog, CatalogVersion},
    workspace::{Workspace, WorkspaceDirectory},
};

/// A decoded configuration before it is indexed for lookups. It still has the parts that the index
/// leaves out, such as the second of two equal routes.
#[derive(Debug, Clone, PartialEq)]
pub struct CatalogDraft {
    /// Version of the configuration.
    pub version: CatalogVersion,
    /// Limits for callers of all routes.
    pub limits: CallerLimits,
    /// Routes, in the order of the document.
    pub routes: Vec<Route>,
    /// Services, in the order of the document.
    pub services: Vec<Service>,
    /// Workspaces, in the order of the document; none if callers need no key.
    pub workspaces: Option<Vec<Workspace>>,
}

impl CatalogDraft {
    /// Indexes the parts for lookups.
    pub fn into_catalog(self) -> Catalog {
        let catalog = Catalog::new(self.version, self.limits, self.routes, self.services);
        match self.workspaces {
            None => catalog,
            Some(workspaces) => catalog.with_workspaces(WorkspaceDirectory::new(workspaces)),
        }
    }
}
