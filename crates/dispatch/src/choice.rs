//! Choice of the backend server with the least estimated cost.
//!
//! Requests arrive in bursts at several entries. Each entry knows the load of a backend server only
//! from delayed reports and from its own requests there.

use std::net::SocketAddr;

use base::prelude::*;
use catalog::TokenCount;
use limits::LimitAllowances;
use memory_budget::ServerBytes;
use roster::{InstanceId, SoftwareVersion};

use crate::{
    call::{Generation, ModelTarget},
    hedging::MAX_FAILURE_SHARE,
    servers::ServerView,
};

/// Cost of sending a request to another availability zone, as time to the first byte.
///
/// Traffic between zones is charged; the price of a stream of 9 KB about equals the cost of this
/// delay for a request with a latency goal of 500 ms.
const ZONE_COST: Duration = Duration::from_millis(12);
/// Weight of the time of a plain request at an idle server, beside that of its load; servers of equal
/// speed have the same. In a replay of unequal servers, mean times were longer at a quarter of the
/// load with 0, and at three quarters with 1.
const UNLOADED_WEIGHT: f64 = 0.5;
/// Cost of a failed attempt, as time to the first byte; multiplied by the failure share of the
/// backend server.
const FAILURE_COST: Duration = Duration::from_millis(800);
/// Cost of a new connection as a part of that of one more request at the server, so that it decides
/// only among servers of about equal cost. With a fixed 2 ms, a server of fast requests without an
/// idle connection got none while others were loaded more.
const NEW_CONNECTION_SHARE: f64 = 0.5;
/// Cost of each other request at the engine: larger batches slow every token down a little.
const BATCH_COST: Duration = Duration::from_millis(2);
/// Waiting time for each request beyond the slots of an engine.
const SLOT_WAIT: Duration = Duration::from_millis(30);
/// Time for loading an adapter.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(40);

/// Maximum number of prompt tokens that this entry has queued for prefill at an engine whose side
/// process is unreachable. A longer prompt is sent only if none is queued.
///
/// An engine prefills at most about 2,000 tokens in one step, and every running stream waits for
/// the step; an event takes three or four steps. More queued prompts stretch the gaps between the
/// events of all streams beyond the goals of 250 to 400 ms in the users' workload sheets.
const PREFILL_LIMIT: TokenCount = TokenCount(2_100);

/// Inputs of the choice for one request besides the backend servers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChoiceView<'a> {
    /// Availability zone of this entry.
    pub zone: &'a ZoneName,
    /// Backend servers where an attempt of this request failed; they are excluded.
    pub failed_servers: &'a [InstanceId],
    /// Software version that began the stream; none for a stream that has not begun.
    pub software: Option<&'a SoftwareVersion>,
    /// Average time of a plain request of the service, in seconds.
    pub service_time: f64,
    /// Slots at the backend servers that name a limit.
    pub allowances: &'a LimitAllowances,
    /// Bodies that backend servers hold.
    pub bodies: &'a ServerBytes<SocketAddr>,
    /// Size of the body of the request.
    pub body: ByteSize,
    /// Time at which the choice is made.
    pub now: Instant,
}

impl ChoiceView<'_> {
    /// Whether a server takes requests, apart from its limit.
    fn is_usable(&self, server: &ServerView) -> bool {
        self.is_open(server) && !server.is_unresponsive(self.now)
    }

    /// Whether a server takes requests, apart from its limit and from how long it takes to answer.
    fn is_open(&self, server: &ServerView) -> bool {
        !server.is_draining()
            && !server.is_down()
            && server.fits(self.software)
            && server.paused_until(self.now).is_none()
            && !server.health.is_suspended(self.now)
            && !self.failed_servers.contains(&server.id)
    }

    fn is_within_limit(&self, server: &ServerView) -> bool {
        self.allowances.may_send(&server.id, server.started, self.now)
    }

    fn has_room(&self, server: &ServerView) -> bool {
        self.bodies.has_room(&server.address, self.body)
    }

    fn common_cost(&self, server: &ServerView) -> Duration {
        let zone = if server.zone == *self.zone { Duration::ZERO } else { ZONE_COST };
        zone + FAILURE_COST.mul_f64(server.health.failure_share(self.now))
    }
}

/// Cost of a new connection to a server, as a part of that of one more request; zero if there is an
/// idle one or if that is not known.
fn connection_share(server: &ServerView) -> f64 {
    match server.has_idle_connection {
        Some(false) => NEW_CONNECTION_SHARE,
        Some(true) | None => 0.0,
    }
}

/// The backend server chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ServerChoice {
    /// Name of the backend server.
    pub server: InstanceId,
    /// Expected time to the first byte or event.
    pub expected: Duration,
    /// Cost by which servers are compared, as time to the first byte.
    pub cost: Duration,
}

/// What a request would take at one server; copies no name, as there is one for each server and
/// decision.
#[derive(Debug, Clone, Copy)]
struct ServerEstimate<'a> {
    server: &'a ServerView,
    expected: Duration,
    cost: Duration,
}

impl ServerEstimate<'_> {
    fn into_choice(self) -> ServerChoice {
        let server = self.server.id.clone();
        ServerChoice { server, expected: self.expected, cost: self.cost }
    }
}

fn estimate_plain<'a>(server: &'a ServerView, view: &ChoiceView<'_>) -> ServerEstimate<'a> {
    let slots = f64::from(server.slots.max(1));
    let rounds = f64::from(server.load().saturating_add(1)) / slots;
    let time = server.plain_time(view.service_time, view.now);
    let cost = time * (UNLOADED_WEIGHT + rounds + connection_share(server) / slots);
    ServerEstimate {
        server,
        expected: Duration::from_secs_f64(time * rounds.max(1.0)),
        cost: Duration::from_secs_f64(cost) + view.common_cost(server),
    }
}

fn estimate_engine<'a>(
    server: &'a ServerView,
    generation: &Generation,
    view: &ChoiceView<'_>,
) -> ServerEstimate<'a> {
    let has_adapter = server.holds(&generation.target);
    let adapter = if has_adapter { Duration::ZERO } else { adapter_time(server, view.now) };
    let excess = server.load().saturating_add(1).saturating_sub(server.slots);
    let expected = server.first_event(generation) + SLOT_WAIT * excess + adapter;
    let batching = BATCH_COST.mul_f64(f64::from(server.load()) + connection_share(server));
    let cost = expected + batching + view.common_cost(server);
    ServerEstimate { server, expected, cost }
}

/// The backend server of a plain service with the least cost; none if none is usable.
pub(crate) fn choose_plain<'a>(
    servers: impl Iterator<Item = &'a ServerView>,
    service: &ServiceName,
    view: &ChoiceView<'_>,
) -> Option<ServerChoice> {
    servers
        .filter(|server| server.service == *service)
        .filter(|server| view.is_usable(server) && view.is_within_limit(server))
        .filter(|server| view.has_room(server))
        .map(|server| estimate_plain(server, view))
        .min_by_key(|estimate| estimate.cost)
        .map(ServerEstimate::into_choice)
}

/// Whether a backend server of a plain service would be chosen if it had room for the body. One that
/// is slow to answer the bodies that it holds may count as unresponsive until then.
pub(crate) fn is_full<'a>(
    mut servers: impl Iterator<Item = &'a ServerView>,
    service: &ServiceName,
    view: &ChoiceView<'_>,
) -> bool {
    servers.any(|server| {
        server.service == *service
            && view.is_open(server)
            && view.is_within_limit(server)
            && !view.has_room(server)
    })
}

/// The backend server for a second attempt of a request whose first runs at `first`; none if none is
/// healthy and, with the attempt, no more loaded than `first`. Servers that name a limit get no
/// second attempts.
pub(crate) fn choose_hedge<'a>(
    servers: impl Iterator<Item = &'a ServerView>,
    service: &ServiceName,
    first: &ServerView,
    view: &ChoiceView<'_>,
) -> Option<ServerChoice> {
    let first_load = first.relative_load(0);
    servers
        .filter(|server| server.service == *service && server.id != first.id)
        .filter(|server| view.is_usable(server) && server.fits(Some(&first.software)))
        .filter(|server| view.has_room(server))
        .filter(|server| !view.allowances.is_limited(&server.id, server.started))
        .filter(|server| server.health.failure_share(view.now) <= MAX_FAILURE_SHARE)
        .filter(|server| server.relative_load(1) <= first_load)
        .map(|server| estimate_plain(server, view))
        .min_by_key(|estimate| estimate.cost)
        .map(ServerEstimate::into_choice)
}

/// The backend servers that could take a request, if they did not name a limit for which this entry
/// has no slot now. `generation` is none for plain services.
pub(crate) fn limited_choices<'a>(
    servers: impl Iterator<Item = &'a ServerView>,
    service: &ServiceName,
    generation: Option<&Generation>,
    view: &ChoiceView<'_>,
) -> impl Iterator<Item = ServerChoice> {
    servers
        .filter(|server| server.service == *service)
        .filter(|server| view.allowances.is_limited(&server.id, server.started))
        .filter(|server| view.is_usable(server) && !view.is_within_limit(server))
        .filter_map(move |server| match generation {
            None => Some(estimate_plain(server, view).into_choice()),
            Some(generation) => {
                let can_serve = server.holds_model(&generation.target.model)
                    && can_serve_adapter(server, generation);
                can_serve.then(|| estimate_engine(server, generation, view).into_choice())
            }
        })
}

/// Whether a server takes requests, apart from what followed from the results of some.
fn is_in_service(server: &ServerView, now: Instant) -> bool {
    !server.is_draining() && !server.is_down() && !server.is_unresponsive(now)
}

/// When the first pause ends of the backend servers that could take a request if they had not asked
/// for a pause; none if there is no such server. `target` is the model of a generation.
pub(crate) fn earliest_pause_end<'a>(
    servers: impl Iterator<Item = &'a ServerView>,
    service: &ServiceName,
    target: Option<&ModelTarget>,
    now: Instant,
) -> Option<Instant> {
    servers
        .filter(|server| server.service == *service && is_in_service(server, now))
        .filter(|server| target.is_none_or(|target| server.holds_model(&target.model)))
        .filter_map(|server| server.paused_until(now))
        .min()
}

/// Whether an engine can prefill another prompt without stretching the gaps between events of its
/// streams; always true with a reachable side process, which decides that itself.
fn can_prefill(server: &ServerView, generation: &Generation) -> bool {
    let queued = server.queued_prefill();
    server.has_side_process()
        || queued == TokenCount(0)
        || queued.plus(generation.prompt) <= PREFILL_LIMIT
}

/// Whether an engine holds the requested adapter, or has a reachable side process, which loads it.
fn can_serve_adapter(server: &ServerView, generation: &Generation) -> bool {
    server.has_side_process() || server.holds(&generation.target)
}

/// Time until an adapter is loaded; an engine that is loading a model first finishes that load.
fn adapter_time(server: &ServerView, now: Instant) -> Duration {
    let loading = server.loading().map(|load| load.ready_at.saturating_duration_since(now));
    ADAPTER_LOAD_TIME + loading.unwrap_or_default()
}

/// Result of [`choose_engine`].
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum EngineOffer {
    /// No usable engine holds the model.
    ModelMissing,
    /// All engines that hold it are busy with the prefill of other prompts.
    PrefillBusy,
    /// All engines that could take the request have no room for its body.
    Full,
    /// The engine with the least cost.
    Chosen(ServerChoice),
}

/// Chooses the engine with the least cost among those that hold the model.
pub(crate) fn choose_engine<'a>(
    servers: impl Iterator<Item = &'a ServerView>,
    service: &ServiceName,
    generation: &Generation,
    view: &ChoiceView<'_>,
) -> EngineOffer {
    let (mut is_full, mut is_prefill_busy) = (false, false);
    let mut least: Option<ServerEstimate<'_>> = None;
    let holders = servers
        .filter(|server| server.service == *service)
        .filter(|server| view.is_open(server) && view.is_within_limit(server))
        .filter(|server| server.holds_model(&generation.target.model))
        .filter(|server| can_serve_adapter(server, generation));
    for server in holders {
        if !view.has_room(server) {
            is_full = true;
            continue;
        }
        if !view.is_usable(server) {
            continue;
        }
        if !can_prefill(server, generation) {
            is_prefill_busy = true;
            continue;
        }
        let estimate = estimate_engine(server, generation, view);
        if least.is_none_or(|least| estimate.cost < least.cost) {
            least = Some(estimate);
        }
    }
    match least {
        Some(estimate) => EngineOffer::Chosen(estimate.into_choice()),
        None if is_full => EngineOffer::Full,
        None if is_prefill_busy => EngineOffer::PrefillBusy,
        None => EngineOffer::ModelMissing,
    }
}
