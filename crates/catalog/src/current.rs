//! The version that a process goes by; it only ever rises.

use std::sync::Arc;

use crate::routes::{Catalog, CatalogVersion};

/// What became of a catalog that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// It is in force now.
    Adopted {
        /// Version that was in force before.
        before: Option<CatalogVersion>,
    },
    /// The same or a later version is in force.
    Outdated {
        /// Version in force.
        current: CatalogVersion,
    },
}

/// The catalog in force in this process.
#[derive(Debug, Default)]
pub struct CurrentCatalog {
    current: Option<Arc<Catalog>>,
}

impl CurrentCatalog {
    /// Puts `catalog` in force unless the same or a later version is.
    pub fn adopt(&mut self, catalog: Catalog) -> AdoptOutcome {
        let before = self.version();
        if let Some(current) = before.filter(|version| *version >= catalog.version()) {
            return AdoptOutcome::Outdated { current };
        }
        self.current = Some(Arc::new(catalog));
        AdoptOutcome::Adopted { before }
    }

    /// The catalog in force; none before the first was read.
    pub fn get(&self) -> Option<&Arc<Catalog>> {
        self.current.as_ref()
    }

    /// Version in force.
    pub fn version(&self) -> Option<CatalogVersion> {
        self.current.as_ref().map(|catalog| catalog.version())
    }
}
