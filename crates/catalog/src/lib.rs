//! The catalog in force: routes, services, engines and their models.
//!
//! Operators replace the catalog as a whole; a process never goes back to an older version.

pub mod engine;
pub mod in_force;
pub mod route;
pub mod routes;
pub mod tokens;

pub use crate::{
    engine::{EngineSpec, ModelSpec, Service},
    in_force::{AdoptOutcome, CatalogInForce},
    route::{Route, RouteKind, RouteName, RouteTarget},
    routes::{CallerLimits, Catalog, CatalogVersion},
    tokens::{Megabytes, TokenCount},
};
