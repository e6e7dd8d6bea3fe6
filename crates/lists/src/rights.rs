//! The list of rights: what each plan permits, and the available models, adapters and services.

use base::{
    ini::{FileFault, IniSection, SectionReader},
    prelude::*,
};

use crate::{
    entries::{
        AvailabilityTarget, ClassObjective, HttpMethod, ObjectiveSet, QueueLength, ReplicaCount,
        RequestPriority, ServiceKind, SlotCount, WorkClass, YesNo,
    },
    names::NameSet,
};

const DEFAULT_QUEUE: QueueLength = QueueLength(64);
const DEFAULT_SLOTS: SlotCount = SlotCount(8);
const DEFAULT_SHORT: ClassObjective = ClassObjective {
    latency: TimeSpan(Duration::from_secs(2)),
    availability: AvailabilityTarget(99.0),
    deadline: TimeSpan(Duration::from_secs(30)),
};
const DEFAULT_LONG: ClassObjective = ClassObjective {
    latency: TimeSpan(Duration::from_secs(60)),
    availability: AvailabilityTarget(99.0),
    deadline: TimeSpan(Duration::from_secs(1_800)),
};

/// A plan's section: what its customers may use and how they are served.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanEntry {
    /// Name of the plan.
    pub name: PlanName,
    /// Models that the plan permits.
    pub models: NameSet,
    /// Adapters that the plan permits.
    pub adapters: NameSet,
    /// Plain services that the plan permits.
    pub services: NameSet,
    /// Priority of the plan's requests.
    pub priority: RequestPriority,
    /// Weight of each customer of the plan among all customers of the same priority.
    pub share: ShareWeight,
    /// Maximum length of the queue of one customer at one entry.
    pub queue: QueueLength,
    /// Service-level objectives of the plan's customers.
    pub objectives: ObjectiveSet,
}

/// A model's section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelEntry {
    /// Name of the model.
    pub id: ModelId,
    /// Service whose backend servers load it.
    pub service: ServiceName,
    /// Configured number of replicas; at most the replicas of the service.
    pub replicas: ReplicaCount,
    /// Memory of one replica on a backend server.
    pub memory: ByteSize,
    /// Class of requests that do not set one.
    pub class: WorkClass,
}

/// An adapter's section; an adapter is loaded on top of its base model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdapterEntry {
    /// Name of the adapter.
    pub id: AdapterId,
    /// Model on top of which the adapter is loaded.
    pub base: ModelId,
    /// Memory of the adapter, in addition to the base model's.
    pub memory: ByteSize,
}

/// A service's section: a group of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// What the backend servers run.
    pub kind: ServiceKind,
    /// Configured number of backend servers.
    pub replicas: ReplicaCount,
    /// Memory of one backend server for models and adapters; zero if a plain service sets none.
    pub memory: ByteSize,
    /// Requests that one backend server runs concurrently.
    pub slots: SlotCount,
    /// Number of slots that are reserved for short work; lower than `slots`.
    pub short_slots: ReplicaCount,
    /// HTTP methods whose calls may be retried; by default those of [`HttpMethod::SAFE`].
    pub retryable: Vec<HttpMethod>,
    /// Whether the backend servers refuse an order with an outdated fencing number.
    pub checks_fencing: bool,
    /// Class of calls that do not set one.
    pub class: WorkClass,
}

impl ServiceEntry {
    /// Whether a call with `method` may be retried.
    pub fn may_retry(&self, method: &str) -> bool {
        self.retryable.iter().any(|known| known.as_str() == method)
    }
}

type Read<T> = Result<T, Vec<FileFault>>;

pub(crate) fn read_plan(file: &str, section: &IniSection, name: &str) -> Read<PlanEntry> {
    let mut reader = SectionReader::new(file, section);
    let models = reader.values("models", "names of models, with * as a wildcard");
    let adapters = reader.values("adapters", "names of adapters, with * as a wildcard");
    let services = reader.values("services", "names of services, with * as a wildcard");
    let priority = reader.required("priority", "a priority from 0 (first) to 9");
    let share = reader.required("share", "a share from 1 to 10000");
    let queue = reader.optional("queue", "a count from 1 to 100000", DEFAULT_QUEUE);
    let objectives = read_objectives(&mut reader);
    let faults = reader.finish();
    match (PlanName::new(name), priority, share) {
        (Ok(name), Some(priority), Some(share)) if faults.is_empty() => Ok(PlanEntry {
            name,
            models: NameSet::new(models),
            adapters: NameSet::new(adapters),
            services: NameSet::new(services),
            priority,
            share,
            queue,
            objectives,
        }),
        _ => Err(faults),
    }
}

fn read_objectives(reader: &mut SectionReader<'_>) -> ObjectiveSet {
    const TIME: &str = "a time such as 250ms, 13s, 10min or 2h";
    const PERCENT: &str = "a percentage from 1% to 99.999%";
    let (short, long) = (DEFAULT_SHORT, DEFAULT_LONG);
    ObjectiveSet {
        short: ClassObjective {
            latency: reader.optional("short-latency", TIME, short.latency),
            availability: reader.optional("short-availability", PERCENT, short.availability),
            deadline: reader.optional("short-deadline", TIME, short.deadline),
        },
        long: ClassObjective {
            latency: reader.optional("long-latency", TIME, long.latency),
            availability: reader.optional("long-availability", PERCENT, long.availability),
            deadline: reader.optional("long-deadline", TIME, long.deadline),
        },
    }
}

pub(crate) fn read_model(file: &str, section: &IniSection, name: &str) -> Read<ModelEntry> {
    let mut reader = SectionReader::new(file, section);
    let service = reader.required("service", "the name of a service");
    let replicas = reader.required("replicas", "a count from 0 to 100000");
    let memory = reader.required("memory", "a size such as 14GiB");
    let class = reader.optional("class", "short or long", WorkClass::Short);
    let faults = reader.finish();
    match (ModelId::new(name), service, replicas, memory) {
        (Ok(id), Some(service), Some(replicas), Some(memory)) if faults.is_empty() => {
            Ok(ModelEntry { id, service, replicas, memory, class })
        }
        _ => Err(faults),
    }
}

pub(crate) fn read_adapter(file: &str, section: &IniSection, name: &str) -> Read<AdapterEntry> {
    let mut reader = SectionReader::new(file, section);
    let base = reader.required("base", "the name of a model");
    let memory = reader.required("memory", "a size such as 120MiB");
    let faults = reader.finish();
    match (AdapterId::new(name), base, memory) {
        (Ok(id), Some(base), Some(memory)) if faults.is_empty() => {
            Ok(AdapterEntry { id, base, memory })
        }
        _ => Err(faults),
    }
}

pub(crate) fn read_service(file: &str, section: &IniSection, name: &str) -> Read<ServiceEntry> {
    let mut reader = SectionReader::new(file, section);
    let kind = reader.required("kind", "engine or plain");
    let replicas = reader.required("replicas", "a count from 0 to 100000");
    let memory = reader.optional("memory", "a size such as 80GiB", ByteSize(0));
    let slots = reader.optional("slots", "a count from 1 to 4096", DEFAULT_SLOTS);
    let short_slots = reader.optional("short-slots", "a count below slots", ReplicaCount(0));
    let retryable: Vec<HttpMethod> = reader.values("repeatable", "HTTP methods such as GET");
    let checks_fencing = reader.optional("checks-fencing", "yes or no", YesNo::No);
    let class = reader.optional("class", "short or long", WorkClass::Short);
    if short_slots.0 >= slots.0 {
        reader.fault(section.line, "short-slots", "a count below slots");
    }
    if kind == Some(ServiceKind::Engine) && memory == ByteSize(0) {
        reader.fault(section.line, "memory", "a size such as 80GiB for a service of engines");
    }
    let given = section.entries.iter().any(|entry| entry.key == "repeatable");
    let faults = reader.finish();
    match (ServiceName::new(name), kind, replicas) {
        (Ok(name), Some(kind), Some(replicas)) if faults.is_empty() => Ok(ServiceEntry {
            name,
            kind,
            replicas,
            memory,
            slots,
            short_slots,
            retryable: if given { retryable } else { safe_methods() },
            checks_fencing: checks_fencing.is_yes(),
            class,
        }),
        _ => Err(faults),
    }
}

fn safe_methods() -> Vec<HttpMethod> {
    HttpMethod::SAFE.iter().filter_map(|method| method.parse().ok()).collect()
}
