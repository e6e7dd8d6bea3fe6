//! The engine's list of its models.

use std::collections::BTreeMap;

use loading::CacheTier;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::backend::{BackendError, Result};

/// One model or adapter as the engine lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedModel {
    /// Name of the model, or of the base model of an adapter.
    pub model: String,
    /// Name of the adapter; `None` if this is the model itself.
    pub adapter: Option<String>,
    /// Memory taken by the model or adapter, in bytes; zero if the engine's figure cannot be read.
    pub bytes: u64,
}

/// Answer of the engine to a list call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineListing {
    /// Number that differs after a restart of the engine; zero if the engine sends none.
    pub incarnation: u64,
    /// Models and adapters in any stage.
    pub models: Vec<ListedModel>,
    /// Models whose checkpoints are cached, with the tier that holds them.
    pub cached: BTreeMap<String, CacheTier>,
}

#[derive(Deserialize)]
struct RawListing<'a> {
    #[serde(default)]
    life: u64,
    #[serde(borrow)]
    models: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    cached: BTreeMap<String, &'a RawValue>,
}

#[derive(Deserialize)]
struct ModelName {
    model: String,
    #[serde(default)]
    adapter: Option<String>,
}

#[derive(Deserialize)]
struct ModelSize {
    bytes: u64,
}

impl EngineListing {
    /// Reads the body of the answer. A model whose size cannot be read is listed without one, and a
    /// cached checkpoint that cannot be read is left out; both are logged.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed outside these entries, or if an entry has no readable name:
    /// any model may be that one, so the listing would not show which models are absent.
    pub fn read(body: &[u8]) -> Result<Self> {
        let text = String::from_utf8_lossy(body);
        let raw: RawListing<'_> = serde_json::from_str(&text).map_err(|error| {
            log::warn!("loads: the engine's listing cannot be read: {error}");
            BackendError::BadAnswer
        })?;
        let models = raw.models.into_iter().map(read_model).collect::<Result<_>>()?;
        let cached = raw.cached.into_iter().filter_map(|(model, tier)| {
            let read = serde_json::from_str(tier.get());
            let read = read.inspect_err(|error| {
                log::warn!("loads: leaving out the cached checkpoint of {model:?}: {error}");
            });
            Some((model, read.ok()?))
        });
        Ok(Self { incarnation: raw.life, models, cached: cached.collect() })
    }
}

fn read_model(item: &RawValue) -> Result<ListedModel> {
    let name: ModelName = serde_json::from_str(item.get()).map_err(|error| {
        log::warn!("loads: the engine lists a model without a readable name: {error}");
        BackendError::BadAnswer
    })?;
    let ModelName { model, adapter } = name;
    let size = serde_json::from_str::<ModelSize>(item.get());
    let size = size.inspect_err(|error| {
        log::warn!("loads: the engine's size of {model:?} cannot be read: {error}");
    });
    Ok(ListedModel { bytes: size.map_or(0, |size| size.bytes), model, adapter })
}
