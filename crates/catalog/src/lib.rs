//! The catalog: routes, services, engines and their models, and workspaces.
//!
//! Operators replace the catalog as a whole; a process never returns to an older version.

pub mod check;
pub mod current;
pub mod draft;
pub mod engine;
pub mod exchange;
pub mod route;
pub mod routes;
pub mod units;
pub mod workspace;

pub use crate::{
    current::{AdoptOutcome, CurrentCatalog},
    draft::CatalogDraft,
    engine::{EngineSpec, ModelSpec, Service},
    exchange::{FetchPlanner, FetchStep},
    route::{Route, RouteKind, RouteName, RouteTarget},
    routes::{CallerLimits, Catalog, CatalogVersion},
    units::{Megabytes, TokenCount},
    workspace::{Workspace, WorkspaceDirectory, WorkspaceName, WorkspaceQuota},
};
