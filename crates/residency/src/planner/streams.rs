//! Loads for streams that wait for an engine of the software version that began them.
//!
//! After a loss of entries or engines, callers take their streams up again while a release has
//! replaced a part of the engines. A model that only engines of another version hold is missing for
//! these streams. They are few, and a part of their answers is delivered already, so their loads are
//! planned first.

use base::prelude::*;
use roster::{InstanceId, SoftwareVersion};

use super::{
    ChangeReason, EngineSnapshot, ORDER_LATENCY, PlanOutcome,
    candidates::EngineChoice,
    pass::{MAX_LOSS_PER_VALUE, MIN_RESIDENCY, PlanningPass},
};

/// Value of a load for one waiting stream, in requests: besides the request, the part of the answer
/// that its caller has already is lost if the stream does not go on.
const STREAM_VALUE: f64 = 2.0;

impl PlanningPass<'_> {
    pub(super) fn plan_for_streams(&mut self, outcome: &mut PlanOutcome) {
        let demand = self.demand.iter();
        let waiting: Vec<(ModelId, SoftwareVersion, u32)> = demand
            .flat_map(|(model, demand)| {
                let streams = demand.streams.iter();
                streams.map(|(software, count)| (model.clone(), software.clone(), *count))
            })
            .collect();
        for (model, software, count) in waiting {
            if self.is_held_by_version(&model, &software) {
                continue;
            }
            if let Some(ready_at) = self.expected_load_at_version(&model, &software) {
                outcome.stream_estimates.push((model, software, Some(ready_at)));
                continue;
            }
            let max_loss = f64::from(count) * STREAM_VALUE * MAX_LOSS_PER_VALUE;
            let best = self
                .candidates(&model, max_loss, EngineChoice::OfVersion(&software))
                .into_iter()
                .min_by(|a, b| a.cost.total_cmp(&b.cost));
            let Some(best) = best else {
                let estimate = self.estimate_before_reports(&model);
                outcome.stream_estimates.push((model, software, estimate));
                continue;
            };
            outcome.stream_estimates.push((model.clone(), software, Some(best.ready_at)));
            if best.starts_now {
                self.plan_change(outcome, model, best, ChangeReason::Waiting, count);
            } else {
                // Reserves the engine for this model, so that later models of this pass follow it.
                self.busy_until.insert(best.instance, best.ready_at + MIN_RESIDENCY);
            }
        }
    }

    fn engines_of<'a>(
        &'a self,
        software: &'a SoftwareVersion,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a EngineSnapshot)> {
        self.planner.engines.iter().filter(|(_, engine)| engine.software == *software)
    }

    fn is_held_by_version(&self, model: &ModelId, software: &SoftwareVersion) -> bool {
        self.engines_of(software).any(|(_, engine)| {
            engine.unloading.as_ref() != Some(model)
                && engine.residents.iter().any(|(held, _)| held == model)
        })
    }

    /// When a load of `model` that is in progress or requested at an engine of this version ends.
    fn expected_load_at_version(
        &self,
        model: &ModelId,
        software: &SoftwareVersion,
    ) -> Option<Instant> {
        let loads = self.engines_of(software).filter_map(|(instance, engine)| {
            let loading = engine.loading.as_ref().filter(|load| load.model == *model);
            let pending = self.planner.pending.get(instance);
            let requested = pending.filter(|pending| pending.load.as_ref() == Some(model));
            let requested = requested.map(|pending| pending.ready_at);
            loading.map(|load| load.ready_at).or(requested)
        });
        loads.min().map(|ready_at| ready_at.max(self.now + ORDER_LATENCY))
    }
}
