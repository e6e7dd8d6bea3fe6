//! Panics in tasks of an entry.

use std::{net::Ipv4Addr, sync::Arc};

use base::prelude::*;
use catalog::{RouteKind, RouteName};
use dispatch::{CallDispatcher, DispatchRequest, DispatchSettings, RetryLimits};
use events::{EventLog, LogLimits};
use gateway::{
    PermitClient, ProcessMemory, backends::Backends, memory_budget::BudgetLimits,
    metrics::GatewayMetrics,
};
use peers::PeerSocket;
use suspects::SuspectKeys;
use tokio::sync::mpsc;

fn request(now: Instant) -> DispatchRequest {
    let deadline = now + Duration::from_secs(5);
    DispatchRequest {
        route: RouteName("r-1".into()),
        kind: RouteKind::NonIdempotent,
        service: "orders".parse().expect("a valid name"),
        generation: None,
        software: None,
        arrived: now,
        goal: Duration::from_secs(1),
        first_byte_deadline: deadline,
        deadline,
        priority: 0,
        workspace: None,
        max_attempts: 1,
        suspect_keys: SuspectKeys::default(),
        body: ByteSize(0),
    }
}

async fn backends() -> Backends {
    let vm: VmId = "entry-1".parse().expect("a valid name");
    let dispatcher = CallDispatcher::new(DispatchSettings {
        zone: "a".parse().expect("a valid name"),
        retry_limits: RetryLimits { ratio: 0.2, allowance: 50.0, window: Duration::from_secs(10) },
    });
    let address = (Ipv4Addr::LOCALHOST, 0).into();
    let socket = PeerSocket::bind(address, vm.clone(), ProcessIncarnation(1)).await;
    let permits = PermitClient::new(Arc::new(socket), 1);
    let (log, _) = EventLog::start(&vm, LogLimits::default(), std::io::sink());
    let metrics = GatewayMetrics::new();
    let limits = BudgetLimits::for_vm(ByteSize::mib(120));
    let memory = ProcessMemory::new(limits, metrics.clone());
    Backends::new(dispatcher, permits, log, metrics, mpsc::channel(8).0, memory)
}

/// Guards against the end of the process: the panic of one request closed the lock, so that dropping
/// its ticket panicked, too.
#[tokio::test]
async fn panic_under_the_lock_ends_one_request_and_not_the_process() {
    let backends = backends().await;
    let shared = backends.clone();

    let panicked = tokio::spawn(async move {
        let _ticket = shared.submit(request(Instant::now()));
        shared.with_dispatcher(|_, _| panic!("a panic of a test"));
    });
    let outcome = panicked.await;

    assert!(outcome.is_err_and(|error| error.is_panic()));
    let (mut ticket, _) = backends.submit(request(Instant::now()));
    ticket.finish(true);
    let open = backends.with_dispatcher(|dispatcher, _| dispatcher.open_calls());
    assert_eq!(open, 0, "the request that panicked is finished, too");
}
