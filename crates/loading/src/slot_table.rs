//! Fencing numbers seen for each model: which orders still hold a slot.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::orders::DenyReason;

#[derive(Debug, Clone, Copy, Default)]
struct SlotRecord {
    seen: FencingNumber,
    closed: FencingNumber,
}

/// The slots known to one side process.
#[derive(Debug)]
pub struct SlotTable {
    holder: ProcessIncarnation,
    records: BTreeMap<ModelId, SlotRecord>,
}

impl SlotTable {
    /// A book for the side process `holder`.
    pub fn new(holder: ProcessIncarnation) -> Self {
        Self { holder, records: BTreeMap::new() }
    }

    /// Checks an order under a slot and remembers its fencing number.
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
        if fence < record.seen || fence <= record.closed {
            return Err(DenyReason::StaleFence);
        }
        record.seen = fence;
        Ok(())
    }

    /// Checks an order that gives the slot up; it may be repeated.
    pub fn close(
        &mut self,
        model: &ModelId,
        holder: ProcessIncarnation,
        fence: FencingNumber,
    ) -> Result<(), DenyReason> {
        if holder != self.holder {
            return Err(DenyReason::WrongHolder);
        }
        let record = self.records.entry(model.clone()).or_default();
        if fence < record.seen {
            return Err(DenyReason::StaleFence);
        }
        record.seen = fence;
        record.closed = fence;
        Ok(())
    }

    /// The fencing number under which the model may be loaded and unloaded, if a slot is held.
    pub fn held_fence(&self, model: &ModelId) -> Option<FencingNumber> {
        let record = self.records.get(model)?;
        (record.seen > record.closed).then_some(record.seen)
    }
}
