//! Identifiers, sizes, rates, result codes, and reading of settings, shared by every package.

pub mod clock;
pub mod codes;
pub mod descriptors;
pub mod figures;
pub mod ids;
pub mod ini;
pub mod locks;
pub mod log_output;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod prelude;
pub mod rates;
pub mod signals;
pub mod sizes;
pub mod startup;
