//! Probes a backend server after connections to it broke, to distinguish a crash from a failure of
//! the connections.

use std::{io, net::SocketAddr};

use base::prelude::*;
use events::{DecisionEvent, EventLog};
use roster::InstanceId;
use tokio::{net::TcpStream, time};

use crate::{
    backends::{Backends, PeerReport},
    metrics::GatewayMetrics,
};

/// Delay of the probe, so that all connections to the backend server have broken by then.
const PROBE_DELAY: Duration = Duration::from_millis(20);
/// Longest wait for the connection of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Probes `server`, records which requests were broken off, and reports them if it has ended.
pub async fn run(
    backends: Backends,
    log: EventLog,
    metrics: GatewayMetrics,
    server: InstanceId,
    address: SocketAddr,
) {
    time::sleep(PROBE_DELAY).await;
    let has_ended = refuses_connections(address).await;
    let severed =
        backends.with_dispatcher(|dispatcher, _| dispatcher.suspects_mut().record_probe(&server));
    let keys: Vec<String> = severed.iter().map(|attempt| attempt.keys.to_string()).collect();
    log.record(&DecisionEvent::ServerProbed {
        server: &server,
        has_ended,
        severed: severed.len(),
        keys: &keys.join(","),
    });
    if has_ended {
        metrics.ended_servers.inc();
        backends.report(PeerReport::Crash(severed));
    }
}

/// Whether no process listens at `address`. A VM that does not answer may only be unreachable.
async fn refuses_connections(address: SocketAddr) -> bool {
    match time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
