//! One version of the catalog, and route lookup.

use std::{collections::HashMap, fmt, num::ParseIntError, str::FromStr, sync::Arc};

use base::prelude::*;

use crate::{engine::Service, route::Route, workspace::WorkspaceDirectory};

/// Version of a catalog; later versions have higher numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CatalogVersion(pub u64);

impl fmt::Display for CatalogVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for CatalogVersion {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Limits on the size of requests and the time for sending them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the request head.
    pub max_head: ByteSize,
    /// Maximum size of the request body.
    pub max_body: ByteSize,
    /// Maximum time for receiving a request head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle between two requests.
    pub idle_timeout: Duration,
}

/// One version of the catalog.
#[derive(Debug, Clone, PartialEq)]
pub struct Catalog {
    version: CatalogVersion,
    limits: CallerLimits,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Arc<Service>>,
    workspaces: Option<WorkspaceDirectory>,
}

impl Catalog {
    /// Creates a catalog; the order of `routes` does not matter unless host and prefix are equal.
    pub fn new(
        version: CatalogVersion,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services =
            services.into_iter().map(|service| (service.name.clone(), Arc::new(service)));
        Self { version, limits, routes: by_host, services: services.collect(), workspaces: None }
    }

    /// Adds workspaces, so that callers need a key.
    #[must_use]
    pub fn with_workspaces(self, workspaces: WorkspaceDirectory) -> Self {
        Self { workspaces: Some(workspaces), ..self }
    }

    /// Version of this catalog.
    pub fn version(&self) -> CatalogVersion {
        self.version
    }

    /// Limits for callers of all routes.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// The route of `host` whose prefix is the longest one that `path` starts with.
    ///
    /// Port and letter case of `host` are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        self.routes.get(&host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The service named `name`, if the catalog has it.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The workspaces; none if callers need no key.
    pub fn workspaces(&self) -> Option<&WorkspaceDirectory> {
        self.workspaces.as_ref()
    }

    /// Number of routes over all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
