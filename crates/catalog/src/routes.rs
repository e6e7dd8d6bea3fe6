//! One version of the catalog and the choice of a route.

use std::{collections::HashMap, fmt, num::ParseIntError, str::FromStr, sync::Arc};

use base::prelude::*;

use crate::{engine::Service, route::Route};

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

/// Bounds on what a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub max_head: ByteSize,
    /// Largest body of a request.
    pub max_body: ByteSize,
    /// Longest time for sending a head.
    pub head_timeout: Duration,
    /// Time that a connection may rest between two requests.
    pub idle_timeout: Duration,
}

/// One version of the catalog.
#[derive(Debug, Clone, PartialEq)]
pub struct Catalog {
    version: CatalogVersion,
    limits: CallerLimits,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Arc<Service>>,
}

impl Catalog {
    /// A catalog of these routes and services.
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
        Self { version, limits, routes: by_host, services: services.collect() }
    }

    /// Version.
    pub fn version(&self) -> CatalogVersion {
        self.version
    }

    /// Bounds for callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// The route of `host` with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        self.routes.get(&host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The service named `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
