//! The catalog that a process currently uses; its version only increases.

use std::sync::Arc;

use crate::routes::{Catalog, CatalogVersion};

/// Result of [`CurrentCatalog::adopt`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The new catalog is in use.
    Adopted {
        /// Version that was in use before; none for the first catalog.
        before: Option<CatalogVersion>,
    },
    /// Ignored, because the same or a later version is in use.
    Outdated {
        /// Version in use.
        current: CatalogVersion,
    },
}

/// The catalog that this process uses.
#[derive(Debug, Default)]
pub struct CurrentCatalog {
    catalog: Option<Arc<Catalog>>,
}

impl CurrentCatalog {
    /// Switches to `catalog` unless the same or a later version is in use.
    pub fn adopt(&mut self, catalog: Catalog) -> AdoptOutcome {
        let before = self.version();
        if let Some(current) = before.filter(|version| *version >= catalog.version()) {
            return AdoptOutcome::Outdated { current };
        }
        self.catalog = Some(Arc::new(catalog));
        AdoptOutcome::Adopted { before }
    }

    /// The catalog in use; none before the first one was read.
    pub fn get(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Version of the catalog in use; none before the first one was read.
    pub fn version(&self) -> Option<CatalogVersion> {
        self.catalog.as_ref().map(|catalog| catalog.version())
    }
}
