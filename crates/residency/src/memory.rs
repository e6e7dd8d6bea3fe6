//! Memory of an engine for models and adapters.

use base::prelude::*;
use catalog::{EngineSpec, Megabytes};

use crate::{change::DeclineReason, engine::EngineReport};

/// Memory of the models that satisfy `kept` with their loaded and pending adapters; `None` if a
/// size is not known.
pub(crate) fn used(
    report: &EngineReport,
    spec: &EngineSpec,
    kept: impl Fn(&ModelId) -> bool,
) -> Option<Megabytes> {
    let mut total = 0.0;
    for held in report.residents.iter().filter(|held| kept(&held.model)) {
        let model = spec.model(&held.model)?;
        total += model.weights.0 + model.adapter_size.0 * held.adapters.len() as f64;
    }
    for pending in report.pending.iter().filter(|pending| kept(&pending.model)) {
        total += spec.model(&pending.model)?.adapter_size.0;
    }
    Some(Megabytes(total))
}

/// Checks that `model` fits beside the models that satisfy `kept`.
pub(crate) fn check_load(
    model: &ModelId,
    report: &EngineReport,
    spec: &EngineSpec,
    kept: impl Fn(&ModelId) -> bool,
) -> Result<(), DeclineReason> {
    let used = used(report, spec, kept).ok_or(DeclineReason::NotKnown)?;
    let size = spec.model(model).ok_or(DeclineReason::NotKnown)?.weights;
    match used.0 + size.0 <= spec.weights_capacity.0 {
        true => Ok(()),
        false => Err(DeclineReason::InsufficientMemory),
    }
}
