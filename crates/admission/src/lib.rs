//! Admission of requests to the replicas of a model or service: queues by class, priority and
//! share, limited by slots and deadlines.

mod class;
mod estimate;
mod fair;
mod policy;
mod queue;
mod request;
mod slots;

pub use crate::{
    policy::{AdmissionChecks, AdmissionPolicy},
    queue::{AdmissionAction, AdmissionEvent, AdmissionQueue, QueueCounts},
    request::{AdmissionRequest, RequestSize, SlotTotal},
};
