//! Start, peer connections and planned stop of the side process.

use std::{net::SocketAddr, sync::Arc};

use base::prelude::*;
use lists::spread::SpreadProcess;
use object_api::{
    http::{ClientSettings, PlatformClient},
    rate_limit::{CallLimits, RateLimitedStore},
};
use once::{DrainCause, LinkId, RunEvent};
use tokio::{net::TcpListener, time};
use wire::{
    LinkOptions, LinkSender, Message, PeerIdentity, PeerLink, PeerRole, listen::listen_when_free,
    load::BackendReport,
};

use crate::{
    admin,
    backend::BackendClient,
    drain::{DrainStage, DrainState},
    engine_watch::EngineWatch,
    loads::{self, LoadDriver},
    metrics::SideMetrics,
    requests::{self, RequestTable},
    settings::{BackendKind, SideSettings},
};

/// Limits of platform calls per second. They are low, since the lists come from entries.
const PLATFORM_LIMITS: CallLimits = CallLimits { reads: EventRate(2.0), writes: EventRate(1.0) };
/// Delay before the process ends, in which queued messages are written to their connections.
const FINAL_SEND_DELAY: Duration = Duration::from_millis(20);

/// Time after which a subscriber gets a report even if nothing has changed.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// State shared by the tasks of the process.
#[derive(Debug)]
pub struct SideState {
    /// Settings, fixed at the start.
    pub settings: SideSettings,
    /// VM, zone and role of the process, with the incarnation drawn at its start.
    pub identity: PeerIdentity,
    /// Metrics served at `/metrics`.
    pub metrics: SideMetrics,
    /// HTTP client of the backend server.
    pub backend: BackendClient,
    /// Loads and unloads at the engine, with the memory reserved for them.
    pub loads: LoadDriver,
    /// Requests handed over by entries.
    pub requests: RequestTable,
    /// Detection of crashes of the backend server.
    pub engine_watch: EngineWatch,
    /// Progress of a planned stop.
    pub drain: DrainState,
    /// Distribution of the lists; `None` if the settings name no platform.
    pub spread: Option<SpreadProcess>,
}

/// A running side process.
#[derive(Debug)]
pub struct SideHandle {
    state: Arc<SideState>,
    peer_address: SocketAddr,
    http_address: SocketAddr,
}

impl SideHandle {
    /// Binds the listeners as soon as their addresses are free, and starts all tasks. The peer address
    /// is bound exclusively, so that no second side process can run with the same address.
    pub async fn start(settings: SideSettings) -> Self {
        let peer_listener = listen_when_free(settings.process.peer_address).await;
        let admin_listener = listen_when_free(settings.process.http_address).await;
        let peer_address = settings.process.peer_address;
        let incarnation = ProcessIncarnation::random();
        let identity = settings.process.identity(PeerRole::Side, incarnation);
        let state = Arc::new(SideState {
            spread: start_spread(&settings, &identity),
            identity,
            metrics: SideMetrics::new(),
            backend: BackendClient::new(settings.backend.address),
            loads: LoadDriver::new(&settings.backend, incarnation),
            requests: RequestTable::new(incarnation, settings.backend.concurrency),
            engine_watch: EngineWatch::default(),
            drain: DrainState::new(),
            settings,
        });
        if state.settings.backend.kind == BackendKind::Engine {
            tokio::spawn(loads::run(Arc::clone(&state)));
        }
        let http_address =
            admin_listener.local_addr().unwrap_or(state.settings.process.http_address);
        let peer_address = peer_listener.local_addr().unwrap_or(peer_address);
        tokio::spawn(admin::serve(admin_listener, Arc::clone(&state)));
        tokio::spawn(accept_peers(peer_listener, Arc::clone(&state)));
        tokio::spawn(requests::tick(Arc::clone(&state)));
        log::info!("process: side process {} listens on {peer_address}", state.identity.vm);
        Self { state, peer_address, http_address }
    }

    /// Returns the address on which peers connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address of the metrics and health endpoints.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Refuses new requests and waits for those in flight; at the drain limit it ends the rest.
    pub async fn stop(&self) {
        log::info!("process: draining {} requests", self.state.requests.in_flight());
        self.state.drain.advance(DrainStage::Draining);
        requests::apply_event(&self.state, RunEvent::Drain(DrainCause::Signal)).await;
        let ended = self.state.drain.reached(DrainStage::Stopped);
        if time::timeout(self.state.settings.drain_limit.0, ended).await.is_err() {
            log::warn!("process: the drain limit has passed; ending the requests in flight");
            self.state.drain.advance(DrainStage::Stopped);
        }
        time::sleep(FINAL_SEND_DELAY).await;
        log::info!("process: stopped");
    }
}

fn start_spread(settings: &SideSettings, identity: &PeerIdentity) -> Option<SpreadProcess> {
    let client = PlatformClient::new(ClientSettings::new(settings.platform?));
    let store = Arc::new(RateLimitedStore::new(client.clone(), PLATFORM_LIMITS));
    let secret = settings.process.secret.clone();
    let identity = identity.clone();
    Some(SpreadProcess::start(identity, secret, &settings.spread, store, Arc::new(client)))
}

async fn accept_peers(listener: TcpListener, state: Arc<SideState>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.drain.reached(DrainStage::Stopped) => return,
        };
        let Ok((stream, address)) = accepted else { continue };
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let secret = &state.settings.process.secret;
            let options = LinkOptions::default();
            match PeerLink::accept(stream, secret, &state.identity, options).await {
                Ok(link) => serve_peer(state, link).await,
                Err(error) => {
                    state.metrics.refused_peers.inc();
                    log::warn!("peers: refused a connection from {address}: {error}");
                }
            }
        });
    }
}

async fn serve_peer(state: Arc<SideState>, mut link: PeerLink) {
    log::debug!("peers: {} connected", link.peer.vm);
    let id = state.requests.connect(link.sender.clone());
    let error = loop {
        match link.receiver.next().await {
            Ok(message) => handle_message(&state, id, &link.sender, message).await,
            Err(error) => break error,
        }
    };
    log::debug!("peers: connection to {} closed: {error}", link.peer.vm);
    requests::apply_event(&state, RunEvent::LinkLost(id)).await;
}

async fn handle_message(
    state: &Arc<SideState>,
    link: LinkId,
    sender: &LinkSender,
    message: Message,
) {
    let state = Arc::clone(state);
    let sender = sender.clone();
    match message {
        Message::RunRequest(run) => {
            requests::run(&state, link, run).await;
        }
        Message::RunCancel(cancel) => {
            requests::cancel(&state, link, cancel).await;
        }
        Message::LoadOrder(order) => {
            tokio::spawn(async move {
                let outcome = loads::load(Arc::clone(&state), order).await;
                let _ = sender.send(Message::OrderOutcome(outcome)).await;
            });
        }
        Message::UnloadOrder(order) => {
            tokio::spawn(async move {
                let outcome = loads::unload(Arc::clone(&state), order).await;
                let _ = sender.send(Message::OrderOutcome(outcome)).await;
            });
        }
        Message::LeaveNotice(_) => {
            log::info!("process: the VM list marks this VM as leaving");
            state.drain.advance(DrainStage::Draining);
            requests::apply_event(&state, RunEvent::Drain(DrainCause::VmLeaving)).await;
        }
        Message::ListSpread(_) => {
            log::warn!("peers: ignoring a list message: a side process has no children")
        }
        Message::ReportSubscription(_) => {
            tokio::spawn(send_reports(state, sender));
        }
        other => log::warn!("peers: ignoring an unexpected message: {other:?}"),
    }
}

/// Sends a report after each change, and at least every [`MAX_REPORT_INTERVAL`], until the
/// subscriber's connection ends.
///
/// A change of the requests in flight alone sends no report: receivers use these counts only as a
/// hint that may be outdated.
async fn send_reports(state: Arc<SideState>, sender: LinkSender) {
    let mut last = BackendReport::default();
    let mut sent_at = Instant::now();
    loop {
        let report = report(&state);
        let is_due = sent_at.elapsed() >= MAX_REPORT_INTERVAL;
        if is_due || without_request_counts(&report) != last {
            last = without_request_counts(&report);
            sent_at = Instant::now();
            if sender.send(Message::BackendReport(report)).await.is_err() {
                return;
            }
        }
        if sender.is_closed() {
            return;
        }
        time::sleep(state.settings.report_interval.0).await;
    }
}

fn without_request_counts(report: &BackendReport) -> BackendReport {
    let mut report = report.clone();
    for model in &mut report.models {
        model.in_flight = 0;
    }
    report
}

fn report(state: &SideState) -> BackendReport {
    BackendReport {
        models: state.loads.models(),
        memory: state.settings.backend.memory.0,
        reserved: state.loads.reserved().0,
        is_draining: state.drain.stage() != DrainStage::Serving,
        concurrency: state.settings.backend.concurrency,
        cached: state.loads.cached(),
    }
}
