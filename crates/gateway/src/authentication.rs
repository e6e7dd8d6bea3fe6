//! Who sends a request: the workspace that holds its key.

use std::sync::Arc;

use base::prelude::*;
use catalog::{Catalog, Route, Workspace};
use dispatch::Refusal;
use platform::header_format::ForwardIdentity;
use rand::RngExt;
use tokio::sync::watch;

use crate::process::Gateway;

/// `Retry-After` of a refusal while a newer configuration is being fetched, in milliseconds. The
/// fetch usually takes less; the spread keeps the callers apart.
const NEWER_CATALOG_RETRY_AFTER_MS: std::ops::Range<u64> = 400..700;

/// The caller of a request, as far as its key shows.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerIdentity {
    /// Callers need no key.
    Unkeyed,
    /// The route is open to all, and the caller has no valid key.
    Anonymous,
    /// The workspace that holds the caller's key.
    Workspace(Arc<Workspace>),
}

impl CallerIdentity {
    /// Finds the workspace of a request, by the catalog that is in force now.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that needs a key and has no valid one.
    pub fn find(catalog: &Catalog, route: &Route, key: Option<&KeyHash>) -> Result<Self, Refusal> {
        let Some(workspaces) = catalog.workspaces() else { return Ok(Self::Unkeyed) };
        let workspace = key.and_then(|key| workspaces.find(key));
        match workspace {
            Some(workspace) => Ok(Self::Workspace(Arc::clone(workspace))),
            None if route.is_anonymous => Ok(Self::Anonymous),
            None => {
                let reason = "no workspace has the key";
                Err(Refusal::new(ResultCode::UnknownCustomer, reason))
            }
        }
    }

    /// The workspace, if there is one.
    pub fn workspace(&self) -> Option<&Workspace> {
        match self {
            Self::Unkeyed | Self::Anonymous => None,
            Self::Workspace(workspace) => Some(workspace),
        }
    }

    /// What a backend server learns of the caller.
    pub fn forwarded(&self) -> ForwardIdentity {
        match self {
            Self::Unkeyed => ForwardIdentity::AsSent,
            Self::Anonymous => ForwardIdentity::Anonymous,
            Self::Workspace(workspace) => ForwardIdentity::Workspace(workspace.name.clone()),
        }
    }
}

/// Replaces the refusal of an unknown key or route while a newer configuration is known and not yet in
/// force here: it may have the key or the route, so that the caller is asked to return.
pub fn defer_unknown(gateway: &Gateway, refusal: Refusal) -> Refusal {
    let is_unknown = matches!(refusal.code, ResultCode::UnknownCustomer | ResultCode::UnknownModel);
    if !is_unknown || !gateway.fleet.is_catalog_behind() {
        return refusal;
    }
    let wait = Duration::from_millis(rand::rng().random_range(NEWER_CATALOG_RETRY_AFTER_MS));
    let reason = "a newer configuration is not in force yet";
    Refusal::with_retry_after(ResultCode::ListsMissing, wait, reason)
}

/// Why an admitted caller may not run its request any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRevocation {
    /// No workspace has the key, and the route needs one.
    KeyRemoved,
    /// Another workspace than at the admission has the key.
    KeyMoved,
}

impl KeyRevocation {
    /// Reason for the decision log.
    pub fn reason(self) -> &'static str {
        match self {
            KeyRevocation::KeyRemoved => "no workspace has the key any more",
            KeyRevocation::KeyMoved => "another workspace has the key by now",
        }
    }
}

/// Result of checking an admitted caller again.
pub type Result<T, E = KeyRevocation> = std::result::Result<T, E>;

/// The caller of a request that was admitted, as needed to check its key again before each attempt.
#[derive(Debug, Clone)]
pub struct AdmittedCaller {
    /// The configuration in force.
    pub catalog: watch::Receiver<Option<Arc<Catalog>>>,
    /// Host of the request.
    pub host: String,
    /// Route by which the request was admitted.
    pub route: Arc<Route>,
    /// Hash of the caller's key.
    pub key: Option<KeyHash>,
    /// Caller at the admission.
    pub identity: CallerIdentity,
}

impl AdmittedCaller {
    /// Checks the key by the configuration that is in force now, for a request to `path`; returns
    /// what a backend server learns of the caller.
    ///
    /// # Errors
    ///
    /// Fails if the request must not run under the identity with which it was admitted.
    pub fn check(&self, path: &str) -> Result<ForwardIdentity> {
        let Some(catalog) = self.catalog.borrow().clone() else {
            return Ok(self.identity.forwarded());
        };
        // The route may have become one that needs a key. One that is gone stays as it was.
        let current = catalog.route(&self.host, path);
        let route = current.unwrap_or(&self.route);
        let now = CallerIdentity::find(&catalog, route, self.key.as_ref());
        self.identity.compare(&now.map_err(|_| KeyRevocation::KeyRemoved)?)
    }
}

impl AdmittedCaller {
    /// The workspace as it is now, if its quota is another one than when the request took its tokens;
    /// none without a quota now.
    pub fn new_quota(&self, path: &str) -> Option<Arc<Workspace>> {
        let CallerIdentity::Workspace(before) = &self.identity else { return None };
        let catalog = self.catalog.borrow().clone()?;
        let route = catalog.route(&self.host, path).unwrap_or(&self.route);
        match CallerIdentity::find(&catalog, route, self.key.as_ref()) {
            Ok(CallerIdentity::Workspace(now))
                if now.name == before.name && now.quota.is_some() && now.quota != before.quota =>
            {
                Some(now)
            }
            _ => None,
        }
    }
}

impl CallerIdentity {
    /// What a backend server learns of a caller that was admitted as `self` and is `now` another.
    fn compare(&self, now: &Self) -> Result<ForwardIdentity> {
        match (self, now) {
            (Self::Workspace(before), Self::Workspace(now)) if before.name != now.name => {
                Err(KeyRevocation::KeyMoved)
            }
            // The key is still not passed on, although callers need none any more.
            (Self::Workspace(_) | Self::Anonymous, Self::Unkeyed | Self::Anonymous) => {
                Ok(ForwardIdentity::Anonymous)
            }
            // The priority and the quota of a workspace do not apply to a request that was admitted
            // without one.
            (Self::Anonymous, Self::Workspace(_)) => Ok(ForwardIdentity::Anonymous),
            (Self::Unkeyed, _) | (Self::Workspace(_), Self::Workspace(_)) => Ok(now.forwarded()),
        }
    }
}
