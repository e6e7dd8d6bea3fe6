//! Highest fencing number seen for each model; orders with a lower one are stale.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::orders::DenyReason;

#[derive(Debug, Clone, Copy, Default)]
struct SlotRecord {
    highest_fence: FencingNumber,
    released_fence: FencingNumber,
}

/// Slots of one side process, by model.
#[derive(Debug)]
pub struct SlotTable {
    holder: ProcessIncarnation,
    records: BTreeMap<ModelId, SlotRecord>,
}

impl SlotTable {
    /// Creates an empty table for the side process `holder`.
    pub fn new(holder: ProcessIncarnation) -> Self {
        Self { holder, records: BTreeMap::new() }
    }

    /// Checks an order under a slot and records its fencing number.
    ///
    /// # Errors
    ///
    /// [`DenyReason::WrongHolder`] if the order is for another process, [`DenyReason::StaleFence`]
    /// if a higher fencing number was seen or the slot was released.
    pub fn accept(
        &mut self,
        model: &ModelId,
        holder: ProcessIncarnation,
        fence: FencingNumber,
    ) -> Result<(), DenyReason> {
        if holder != self.holder {
            return Err(DenyReason::WrongHolder);
        }
        let record = self.records.entry(model.clone()).or_default();
        if fence < record.highest_fence || fence <= record.released_fence {
            return Err(DenyReason::StaleFence);
        }
        record.highest_fence = fence;
        Ok(())
    }

    /// Checks an order that releases the slot; may be retried with the same fencing number.
    ///
    /// # Errors
    ///
    /// [`DenyReason::WrongHolder`] if the order is for another process, [`DenyReason::StaleFence`]
    /// if a higher fencing number was seen.
    pub fn release(
        &mut self,
        model: &ModelId,
        holder: ProcessIncarnation,
        fence: FencingNumber,
    ) -> Result<(), DenyReason> {
        if holder != self.holder {
            return Err(DenyReason::WrongHolder);
        }
        let record = self.records.entry(model.clone()).or_default();
        if fence < record.highest_fence {
            return Err(DenyReason::StaleFence);
        }
        record.highest_fence = fence;
        record.released_fence = fence;
        Ok(())
    }

    /// Highest fencing number accepted for the model; `None` if no slot is held.
    pub fn held_fence(&self, model: &ModelId) -> Option<FencingNumber> {
        let record = self.records.get(model)?;
        (record.highest_fence > record.released_fence).then_some(record.highest_fence)
    }
}
