//! The choice of a backend server.
//!
//! Load pattern: requests come in bursts at several entries, of which each knows the load of a
//! backend server only by late reports and by what it sent itself.

use base::prelude::*;
use catalog::TokenCount;
use roster::InstanceId;

use crate::{call::Generation, servers::ServerView};

/// What the way into another availability zone counts for, in time to the first byte.
///
/// Bytes between zones are priced; a stream of 9 KB costs about as much as this much delay is
/// worth for a request with a goal of half a second.
const ZONE_COST: Duration = Duration::from_millis(12);
/// Mean time of a plain request, by the users' sheets 15 to 30 ms.
const PLAIN_TIME: Duration = Duration::from_millis(25);
/// What a sure failure counts for, in time to the first byte.
const FAILURE_COST: Duration = Duration::from_millis(800);
/// What each request beside a new one counts for: batches slow every token down a little.
const BATCH_COST: Duration = Duration::from_millis(2);
/// Time that a request waits for one ahead of it when all slots are taken.
const SLOT_WAIT: Duration = Duration::from_millis(30);
/// Time until an adapter is there.
const ADAPTER_COST: Duration = Duration::from_millis(40);

/// Tokens of prompts that this entry sends at a time to an engine whose side process is silent.
///
/// An engine reads at most about 2,000 tokens in one step, and every stream that runs there waits
/// for the step; an event takes three steps or four. More prompts at once stretch the pauses of
/// all streams beyond the goals of 250 to 400 ms that the users' sheets name.
const PREFILL_LIMIT: TokenCount = TokenCount(2_100);

/// What the choice for one request depends on besides the backend servers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChoiceView<'a> {
    /// Zone of the entry.
    pub zone: &'a ZoneName,
    /// Backend servers that failed this request before.
    pub failed_servers: &'a [InstanceId],
    /// Now.
    pub now: Instant,
}

impl ChoiceView<'_> {
    fn is_open(&self, server: &ServerView) -> bool {
        !server.is_draining
            && !server.is_down()
            && !server.is_unresponsive(self.now)
            && !server.health.is_suspended(self.now)
            && !self.failed_servers.contains(&server.id)
    }

    fn common_cost(&self, server: &ServerView) -> Duration {
        let zone = if server.zone == *self.zone { Duration::ZERO } else { ZONE_COST };
        zone + FAILURE_COST.mul_f64(server.health.failure_share(self.now))
    }
}

/// The best backend server of a plain service, and the expected time to its first byte.
pub(crate) fn choose_plain<'a>(
    servers: impl Iterator<Item = &'a ServerView>,
    service: &ServiceName,
    view: &ChoiceView<'_>,
) -> Option<(InstanceId, Duration)> {
    let cost = |server: &ServerView| {
        let turns = f64::from(server.load() + 1) / f64::from(server.slots.max(1));
        (PLAIN_TIME.mul_f64(turns) + view.common_cost(server), PLAIN_TIME.mul_f64(turns.max(1.0)))
    };
    servers
        .filter(|server| server.service == *service && view.is_open(server))
        .map(|server| (cost(server), server))
        .min_by(|(a, _), (b, _)| a.0.cmp(&b.0))
        .map(|((_, expected), server)| (server.id.clone(), expected))
}

/// Whether an engine can read another prompt without stretching the pauses of its streams. Its
/// side process decides that, if there is one.
fn can_prefill(server: &ServerView, generation: &Generation) -> bool {
    let unread = server.queued_prefill().0;
    server.has_side_process() || unread == 0 || unread + generation.prompt.0 <= PREFILL_LIMIT.0
}

/// Whether an engine can get the adapter that is asked for, if it does not hold it.
fn can_serve_adapter(server: &ServerView, generation: &Generation) -> bool {
    server.has_side_process() || server.holds(&generation.target)
}

/// Time until an adapter is there; an engine that loads a model takes no other order before.
fn adapter_time(server: &ServerView, now: Instant) -> Duration {
    let loading = server.loading().map(|load| load.ready_at.saturating_duration_since(now));
    ADAPTER_COST + loading.unwrap_or_default()
}

/// What the engines that hold a model say to a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum EngineOffer {
    /// None holds the model.
    ModelMissing,
    /// All that hold it have prompts to read first.
    PrefillBusy,
    /// One can take it.
    Chosen(EngineChoice),
}

/// An engine chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EngineChoice {
    /// Engine.
    pub server: InstanceId,
    /// Expected time to the first event.
    pub expected: Duration,
}

/// The best engine among those that hold the model.
pub(crate) fn choose_engine<'a>(
    servers: impl Iterator<Item = &'a ServerView>,
    service: &ServiceName,
    generation: &Generation,
    view: &ChoiceView<'_>,
) -> EngineOffer {
    let judge = |server: &ServerView| {
        let has_adapter = server.holds(&generation.target);
        let adapter = if has_adapter { Duration::ZERO } else { adapter_time(server, view.now) };
        let excess = (server.load() + 1).saturating_sub(server.slots);
        let expected = server.first_event(generation) + SLOT_WAIT * excess + adapter;
        let company = BATCH_COST * server.load();
        let choice = EngineChoice { server: server.id.clone(), expected };
        (expected + company + view.common_cost(server), choice)
    };
    let mut offer = EngineOffer::ModelMissing;
    let mut least = Duration::MAX;
    let holders = servers
        .filter(|server| server.service == *service && view.is_open(server))
        .filter(|server| server.holds_model(&generation.target.model))
        .filter(|server| can_serve_adapter(server, generation));
    for server in holders {
        if !can_prefill(server, generation) {
            if offer == EngineOffer::ModelMissing {
                offer = EngineOffer::PrefillBusy;
            }
            continue;
        }
        let (cost, choice) = judge(server);
        if cost < least {
            least = cost;
            offer = EngineOffer::Chosen(choice);
        }
    }
    offer
}
