//! Test fixtures: servers, requests, and a replay of dispatchers and engines.

#![allow(dead_code, reason = "each test uses some of them")]

pub mod engine;
pub mod plain_policies;
pub mod plain_servers;
pub mod replay;

use base::prelude::*;
use catalog::{RouteKind, RouteName, TokenCount};
use dispatch::{
    CallDispatcher, DispatchRequest, DispatchSettings, Generation, ModelTarget, RetryLimits,
};
use roster::{BackendServer, IncarnationStart, InstanceId, ResidentModel, ServerState};
use suspects::SuspectKeys;

pub const ENGINES: &str = "reports";
pub const PLAIN: &str = "orders";

pub fn model(name: &str) -> ModelId {
    name.parse().expect("a valid name")
}

pub fn instance(name: &str) -> InstanceId {
    name.parse().expect("a valid name")
}

pub fn service(name: &str) -> ServiceName {
    name.parse().expect("a valid name")
}

pub fn zone(name: &str) -> ZoneName {
    name.parse().expect("a valid name")
}

/// A dispatcher of an entry in zone a.
pub fn dispatcher() -> CallDispatcher {
    CallDispatcher::new(DispatchSettings {
        zone: zone("a"),
        retry_limits: RetryLimits { ratio: 0.2, allowance: 52.0, window: Duration::from_secs(10) },
    })
}

pub fn server(name: &str, service_name: &str, models: &[&str]) -> BackendServer {
    let residents = models.iter().map(|name| ResidentModel {
        model: model(name),
        weights_version: 1,
        adapters: Vec::new(),
    });
    let number = name.bytes().map(u16::from).fold(0, |sum: u16, byte| sum.wrapping_mul(31) + byte);
    BackendServer {
        id: instance(name),
        started: Some(IncarnationStart(1)),
        check_ins: None,
        service: service(service_name),
        software: "v1".parse().expect("any text"),
        address: format!("10.0.0.1:{}", number.max(1)).parse().expect("an address"),
        zone: zone("a"),
        slots: 64,
        state: ServerState::Ready,
        slow_start_left: Duration::ZERO,
        residents: residents.collect(),
    }
}

pub fn generation(name: &str, prompt: u64) -> Generation {
    Generation {
        target: ModelTarget { model: model(name), adapter: None },
        prompt: TokenCount(prompt),
        output_limit: TokenCount(300),
        output_estimate: None,
        parts: Vec::new(),
    }
}

/// A stream that may not be retried, as most are.
pub fn stream_request(name: &str, prompt: u64, now: Instant) -> DispatchRequest {
    DispatchRequest {
        kind: RouteKind::Streaming { is_resumable: false },
        route: RouteName("stream".to_owned()),
        service: service(ENGINES),
        generation: Some(generation(name, prompt)),
        software: None,
        arrived: now,
        goal: Duration::from_millis(500),
        first_byte_deadline: now + Duration::from_secs(2),
        deadline: now + Duration::from_secs(15),
        priority: 1,
        workspace: None,
        max_attempts: 1,
        suspect_keys: SuspectKeys::default(),
        body: ByteSize(0),
    }
}

pub fn plain_request(kind: RouteKind, max_attempts: u32, now: Instant) -> DispatchRequest {
    DispatchRequest {
        kind,
        route: RouteName("plain".to_owned()),
        service: service(PLAIN),
        generation: None,
        software: None,
        arrived: now,
        goal: Duration::from_millis(100),
        first_byte_deadline: now + Duration::from_secs(1),
        deadline: now + Duration::from_secs(1),
        priority: 2,
        workspace: None,
        max_attempts,
        suspect_keys: SuspectKeys::default(),
        body: ByteSize(0),
    }
}
