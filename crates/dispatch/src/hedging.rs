//! When a second attempt of a slow request (a hedge) is due, and the extra work that hedges may
//! cause.

use std::{collections::HashMap, net::SocketAddr};

use base::prelude::*;
use catalog::RouteName;
use roster::InstanceId;

use crate::{answer_times::AnswerTimes, decision::Assignment};

/// Hedges that a service may save up, so that a burst of slow requests can use what the quiet time
/// before it has left.
const MAX_SAVED_HEDGES: f64 = 8.0;
/// Factor on the percentile after which a hedge is due. Requests that are merely large are answered
/// shortly after the percentile; hedges for them only add load. In the replay of servers that report
/// their slowdowns, hedges at the percentile itself lengthened the 99th percentile by up to 9%.
const DELAY_MARGIN: f64 = 1.1;
/// Most routes of one service whose answer times are kept, about 2 KB each.
const MAX_ROUTES: usize = 64;
/// Share of the slots of a service that are in use from which it counts as nearly full.
pub(crate) const FULL_SHARE: f64 = 0.7;
/// Largest expected failure share of the server of a hedge.
pub(crate) const MAX_FAILURE_SHARE: f64 = 0.1;

/// Limits of hedges, set by operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeLimits {
    /// Hedges as a share of the requests of a service; at 0 there are none.
    pub share: f64,
    /// Percentile of the answer times of a service and route from which the delay of a hedge is
    /// derived, between 0 and 1.
    pub percentile: f64,
    /// Least time after which a hedge is due.
    pub min_delay: Duration,
}

impl Default for HedgeLimits {
    fn default() -> Self {
        Self { share: 0.0, percentile: 0.95, min_delay: Duration::from_millis(10) }
    }
}

/// Why a hedge that was due is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HedgeCause {
    /// The process stops.
    Stopping,
    /// The request has no further attempts.
    NoAttempts,
    /// Requests like it were in flight when backend servers crashed.
    Suspect,
    /// Requests of the service wait for a backend server.
    CallsWait,
    /// Most slots of the service are in use.
    ServiceFull,
    /// No other server is healthy and clearly less loaded.
    NoServer,
    /// The other server could not answer before the deadline.
    TooLate,
    /// The service has used up its share of extra work.
    ShareSpent,
    /// The retry budget is spent.
    BudgetSpent,
}

impl HedgeCause {
    /// Name in the decision log and the metrics.
    pub fn text(self) -> &'static str {
        match self {
            HedgeCause::Stopping => "stopping",
            HedgeCause::NoAttempts => "no-attempts",
            HedgeCause::Suspect => "suspect",
            HedgeCause::CallsWait => "calls-wait",
            HedgeCause::ServiceFull => "service-full",
            HedgeCause::NoServer => "no-server",
            HedgeCause::TooLate => "too-late",
            HedgeCause::ShareSpent => "share-spent",
            HedgeCause::BudgetSpent => "budget-spent",
        }
    }
}

/// What happens to a request whose hedge is due.
#[derive(Debug, Clone, PartialEq)]
pub enum HedgeDecision {
    /// A second attempt is sent.
    Send(Assignment),
    /// There is no second attempt.
    Withheld(HedgeCause),
}

/// One of the two attempts of a hedged request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeSide {
    /// The attempt that was sent first.
    First,
    /// The attempt that was sent because the first one was slow.
    Second,
}

/// Where an attempt is assigned to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldAddress {
    /// Address of the backend server when it was chosen.
    pub address: SocketAddr,
    /// Whether the body of the request counts there.
    pub has_body: bool,
}

/// State of one request's hedge.
#[derive(Debug, Default)]
pub(crate) struct CallHedge {
    /// When the first attempt was sent.
    pub first_sent: Option<Instant>,
    /// Server of the hedge while both attempts are in flight.
    pub second: Option<InstanceId>,
    /// Where the hedge was assigned to, and whether the body counts there.
    pub second_held_at: Option<HeldAddress>,
}

#[derive(Debug, Default)]
struct ServiceHedges {
    saved: f64,
    routes: HashMap<RouteName, AnswerTimes>,
    /// Times of all routes together: an entry of a large fleet gets too few requests of one route for
    /// a percentile of its own.
    all_routes: Option<AnswerTimes>,
}

/// Answer times and extra work of all services, as this entry sees them.
#[derive(Debug, Default)]
pub(crate) struct HedgeBook {
    limits: HedgeLimits,
    services: HashMap<ServiceName, ServiceHedges>,
}

impl HedgeBook {
    pub fn set_limits(&mut self, limits: HedgeLimits) {
        if limits.percentile != self.limits.percentile || limits.share <= 0.0 {
            self.services.clear();
        }
        self.limits = limits;
    }

    pub fn is_on(&self) -> bool {
        self.limits.share > 0.0
    }

    /// Counts a request, of which hedges are a share.
    pub fn record_request(&mut self, service: &ServiceName) {
        if !self.is_on() {
            return;
        }
        let share = self.limits.share;
        let hedges = match self.services.get_mut(service) {
            Some(hedges) => hedges,
            None => self.services.entry(service.clone()).or_default(),
        };
        hedges.saved = (hedges.saved + share).min(MAX_SAVED_HEDGES);
    }

    /// Records the time to a complete answer.
    pub fn record_answer(
        &mut self,
        service: &ServiceName,
        route: &RouteName,
        took: Duration,
        now: Instant,
    ) {
        let percentile = self.limits.percentile;
        let Some(hedges) = self.services.get_mut(service).filter(|_| self.limits.share > 0.0)
        else {
            return;
        };
        let all_routes = hedges.all_routes.get_or_insert_with(|| AnswerTimes::new(percentile, now));
        all_routes.record(took, now);
        if let Some(times) = hedges.routes.get_mut(route) {
            times.record(took, now);
            return;
        }
        if hedges.routes.len() >= MAX_ROUTES {
            let oldest = hedges.routes.iter().min_by_key(|(_, times)| times.last_record());
            if let Some(oldest) = oldest.map(|(route, _)| route.clone()) {
                hedges.routes.remove(&oldest);
            }
        }
        let mut times = AnswerTimes::new(percentile, now);
        times.record(took, now);
        hedges.routes.insert(route.clone(), times);
    }

    /// Time after which a hedge of a request is due, by the answer times of its route, or of its
    /// service while those are too few; none while neither is known.
    pub fn delay(
        &mut self,
        service: &ServiceName,
        route: &RouteName,
        now: Instant,
    ) -> Option<Duration> {
        let min_delay = self.limits.min_delay;
        let hedges = self.services.get_mut(service)?;
        let of_route = hedges.routes.get_mut(route).and_then(|times| times.percentile(now));
        let of_all = || hedges.all_routes.as_mut().and_then(|times| times.percentile(now));
        of_route.or_else(of_all).map(|delay| delay.mul_f64(DELAY_MARGIN).max(min_delay))
    }

    /// Whether the share of extra work allows a hedge now.
    pub fn has_share(&self, service: &ServiceName) -> bool {
        self.is_on() && self.services.get(service).is_some_and(|hedges| hedges.saved >= 1.0)
    }

    /// Takes one hedge from the share of extra work.
    pub fn take_share(&mut self, service: &ServiceName) {
        if let Some(hedges) = self.services.get_mut(service) {
            hedges.saved -= 1.0;
        }
    }

    /// Returns a hedge that was taken and not sent.
    pub fn put_back_share(&mut self, service: &ServiceName) {
        if let Some(hedges) = self.services.get_mut(service) {
            hedges.saved = (hedges.saved + 1.0).min(MAX_SAVED_HEDGES);
        }
    }
}
