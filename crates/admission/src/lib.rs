//! Admission of requests: shares, priorities, classes, queues and deadlines.

mod class;
mod estimate;
mod fair;
mod policy;
mod queue;
mod request;
mod slots;

pub use crate::{
    policy::{AdmissionGuards, AdmissionPolicy},
    queue::{AdmissionAction, AdmissionEvent, AdmissionQueue, QueueCounts},
    request::{AdmissionRequest, RequestSize, SlotTotal},
};
