//! Watches the configuration and the backend servers in the platform's store.

use base::prelude::*;
use events::{DecisionEvent, Dependency, EventLog, millis};
use platform::{Listing, ListingGap, PlatformStore, StoreError, WatchOutcome};
use roster::{
    BackendServer, FailedRead, InstanceId, ReadMode, ReadPlan, Roster, RosterChange, RosterUpdate,
    StorePosition,
};
use std::pin::pin;
use tokio::time;

use crate::{
    backends::Backends,
    catalog_holder::{CatalogHolder, CatalogSource},
    fleet::Fleet,
    relisting::{RETRY_DELAY, RelistDelays},
    store_reads::StoreReads,
};

/// Time between two reads of a configuration that cannot be watched.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Records in the decision log when a dependency becomes unavailable and available again.
struct DependencyWatch {
    log: EventLog,
    dependency: Dependency,
    lost_at: Option<Instant>,
}

impl DependencyWatch {
    fn new(log: EventLog, dependency: Dependency) -> Self {
        Self { log, dependency, lost_at: None }
    }

    fn record_loss(&mut self, error: &StoreError) {
        if self.lost_at.is_some() {
            return;
        }
        self.lost_at = Some(Instant::now());
        let reason = error.to_string();
        let dependency = self.dependency;
        self.log.record(&DecisionEvent::DependencyLost { dependency, reason: &reason });
    }

    fn record_recovery(&mut self) {
        if let Some(lost_at) = self.lost_at.take() {
            let outage_ms = millis(lost_at.elapsed());
            let dependency = self.dependency;
            self.log.record(&DecisionEvent::DependencyRegained { dependency, outage_ms });
        }
    }
}

/// Keeps the current configuration up to date.
#[derive(Clone)]
pub struct CatalogFollower {
    /// Client of the store.
    pub store: PlatformStore,
    /// Plans the calls of the watch.
    pub reads: StoreReads,
    /// Decision log.
    pub log: EventLog,
    /// Where each new configuration takes effect.
    pub holder: CatalogHolder,
    /// Other entries, which may know a newer configuration than a store that was restored.
    pub fleet: Fleet,
    /// Longest wait of an entry that starts for a configuration that is not older than theirs.
    pub max_wait: Duration,
}

impl CatalogFollower {
    /// Runs until the process ends.
    pub async fn run(self) {
        let waits_until = Instant::now() + self.max_wait;
        let mut dependency = DependencyWatch::new(self.log.clone(), Dependency::StoreCatalog);
        let mut since = None;
        loop {
            let step = match since {
                None => self.read(waits_until).await,
                Some(position) => self.watch(position).await,
            };
            match step {
                Ok(position) => {
                    dependency.record_recovery();
                    since = position;
                }
                Err(error) => {
                    dependency.record_loss(&error);
                    self.reads.record_failure();
                    since = since.filter(|_| !ends_watch(&error));
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn read(&self, waits_until: Instant) -> Result<Option<StorePosition>, StoreError> {
        let sent = Instant::now();
        let (stored, position) = self.store.read_catalog(ReadMode::Latest).await?;
        if let Some(position) = position {
            self.reads.record_listing(position, sent);
        }
        let Some(stored) = stored else { return Ok(self.pause_unless_watched(position).await) };
        let version = stored.catalog.version();
        let may_wait = self.holder.version().is_none() && Instant::now() < waits_until;
        if may_wait && self.fleet.has_newer_catalog(version).await {
            log::warn!(
                "store: its configuration {version} is older than that of other entries, reading \
                 it again"
            );
            time::sleep(RETRY_DELAY).await;
            return Ok(None);
        }
        self.holder.adopt(stored, CatalogSource::Store);
        Ok(self.pause_unless_watched(position).await)
    }

    /// Waits until the next read if there is no position from which to watch.
    async fn pause_unless_watched(&self, position: Option<StorePosition>) -> Option<StorePosition> {
        if position.is_none() {
            time::sleep(READ_INTERVAL).await;
        }
        position
    }

    async fn watch(&self, since: StorePosition) -> Result<Option<StorePosition>, StoreError> {
        let (plan, sent) = (self.reads.plan(), Instant::now());
        match self.store.watch_catalog(since, plan.wait, plan.mode).await? {
            WatchOutcome::HistoryExpired => Ok(None),
            WatchOutcome::OtherEra => {
                self.reads.record_failure();
                Ok(None)
            }
            WatchOutcome::Changes { changes, position } => {
                let has_changes = !changes.is_empty();
                for stored in changes {
                    self.holder.adopt(stored, CatalogSource::Store);
                }
                let answer = (position, has_changes);
                time::sleep(self.reads.finish_watch(&plan, sent, since, answer)).await;
                Ok(Some(position.max(since)))
            }
        }
    }
}

/// Whether the changes are more than a watch can return or than arrives in time, so that they have to
/// be listed.
fn needs_listing(error: &StoreError) -> bool {
    matches!(error, StoreError::TooLarge { .. } | StoreError::SlowAnswer)
}

/// Whether no watch from the same position can succeed. A listing goes past a change that cannot be
/// decoded, as it leaves out the page with its object; so does a read of the configuration by its name.
fn ends_watch(error: &StoreError) -> bool {
    needs_listing(error) || matches!(error, StoreError::Format { .. })
}

/// Logs which object names no server to use, and whether a server of that name was in service.
fn warn_if_unreadable(change: &RosterChange, roster: &Roster) {
    let RosterChange::Unreadable { id, reason } = change else { return };
    match roster.get(id) {
        Some(_) => log::warn!(
            "store: treating backend server {id} as removed, its object cannot be decoded: {reason}"
        ),
        None => log::warn!(
            "store: ignoring the object {id:?} among the backend servers, none of this name is in \
             service: {reason}",
            id = id.as_str()
        ),
    }
}

/// What a read of the registrations has shown.
enum RosterRead {
    /// The registrations, and the position of the store.
    Listing(Listing<BackendServer>),
    /// The outcome of a watch from `since`, planned as `plan` and sent at `sent`.
    Watch {
        plan: ReadPlan,
        sent: Instant,
        since: StorePosition,
        outcome: WatchOutcome<RosterChange>,
    },
}

/// Keeps the roster of backend servers up to date.
#[derive(Clone)]
pub struct RosterFollower {
    /// Client of the store.
    pub store: PlatformStore,
    /// Plans the calls of the watch.
    pub reads: StoreReads,
    /// Decision log.
    pub log: EventLog,
    /// Dispatcher that gets the changes of the roster.
    pub backends: Backends,
    /// Other processes: side processes of new backend servers are contacted, and draining or
    /// removed backend servers are taken out of planning.
    pub fleet: Fleet,
}

impl RosterFollower {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut roster = Roster::default();
        let mut dependency = DependencyWatch::new(self.log.clone(), Dependency::StoreServers);
        let mut since = None;
        let mut relist_delays = RelistDelays::default();
        let mut watch_delays = RelistDelays::default();
        // After a listing with a gap, changes are watched until the next one.
        let mut relist_at: Option<Instant> = None;
        loop {
            let (sent, last_seen) = (Instant::now(), self.reads.last_seen());
            let is_relisting = relist_at.is_some_and(|due| due <= sent);
            let from = since.filter(|_| !is_relisting);
            let reading = self.read(from, sent, relist_at);
            match self.expire_while(&mut roster, since, reading).await {
                Ok(read) => {
                    dependency.record_recovery();
                    match &read {
                        RosterRead::Listing(listing) => {
                            let gap = listing.gap.as_ref();
                            let delay = gap.map(|gap| relist_delays.after_gap(gap));
                            relist_at = delay.map(|delay| Instant::now() + delay);
                            if delay.is_none() {
                                relist_delays.reset();
                            }
                        }
                        RosterRead::Watch { .. } => watch_delays.reset(),
                    }
                    let (position, pause) = self.apply(&mut roster, read);
                    since = position;
                    let rest = relist_at.map(|due| due.saturating_duration_since(Instant::now()));
                    let pause = rest.map_or(pause, |rest| rest.min(pause));
                    self.expire_while(&mut roster, since, time::sleep(pause)).await;
                }
                Err(error) => {
                    dependency.record_loss(&error);
                    self.reads.record_failure();
                    if !needs_listing(&error) {
                        let failed = FailedRead { sent, last_seen };
                        roster.record_store_failure(failed, Instant::now());
                    }
                    let pause = match (from, since) {
                        (Some(_), _) if ends_watch(&error) => {
                            since = None;
                            watch_delays.after_failure(&error)
                        }
                        (Some(_), _) => {
                            if !error.was_answered() {
                                // What is missing is listed as soon as the store is back.
                                relist_delays.reset();
                                relist_at = relist_at.map(|_| Instant::now());
                            }
                            RETRY_DELAY
                        }
                        (None, None) => relist_delays.after_failure(&error),
                        (None, Some(_)) => {
                            // Changes are watched before the next attempt.
                            let delay = relist_delays.after_failed_repetition(&error);
                            relist_at = Some(Instant::now() + delay);
                            Duration::ZERO
                        }
                    };
                    self.expire_while(&mut roster, since, time::sleep(pause)).await;
                }
            }
        }
    }

    /// Waits for `work`, and meanwhile removes each lapsed backend server when its time is over.
    async fn expire_while<T>(
        &self,
        roster: &mut Roster,
        since: Option<StorePosition>,
        work: impl Future<Output = T>,
    ) -> T {
        let mut work = pin!(work);
        loop {
            let Some(due) = roster.next_expiry() else { return work.await };
            tokio::select! {
                output = &mut work => return output,
                () = time::sleep_until(due) => {
                    let expired = roster.expire(Instant::now());
                    self.publish(roster, &expired, since.unwrap_or_default());
                }
            }
        }
    }

    async fn read(
        &self,
        since: Option<StorePosition>,
        sent: Instant,
        relist_at: Option<Instant>,
    ) -> Result<RosterRead, StoreError> {
        match since {
            None => {
                let listing = self.store.list_servers().await?;
                self.reads.record_listing(listing.position, sent);
                Ok(RosterRead::Listing(listing))
            }
            Some(since) => {
                let mut plan = self.reads.plan();
                if let Some(due) = relist_at {
                    plan.wait = plan.wait.min(due.saturating_duration_since(sent));
                }
                let outcome = self.store.watch_servers(since, plan.wait, plan.mode).await?;
                Ok(RosterRead::Watch { plan, sent, since, outcome })
            }
        }
    }

    /// Applies what was read. Returns the position from which to read on, or none if a listing is
    /// needed, and the time until the next read.
    fn apply(&self, roster: &mut Roster, read: RosterRead) -> (Option<StorePosition>, Duration) {
        let now = Instant::now();
        match read {
            RosterRead::Listing(Listing { items, position, gap }) => {
                roster.record_store_answer(now);
                roster.record_era(position.era, now);
                let mut updates = match &gap {
                    None => roster.apply_snapshot(items, now),
                    Some(gap) => roster.apply_partial(items, gap.read_up_to.as_deref(), now),
                };
                updates.extend(self.unlisted(roster, &updates, gap.as_ref()));
                self.publish(roster, &updates, position);
                self.record_roster(roster, gap.is_none());
                (Some(position), Duration::ZERO)
            }
            RosterRead::Watch { outcome: WatchOutcome::HistoryExpired, .. } => {
                (None, Duration::ZERO)
            }
            RosterRead::Watch { outcome: WatchOutcome::OtherEra, .. } => {
                self.reads.record_failure();
                (None, Duration::ZERO)
            }
            RosterRead::Watch {
                plan,
                sent,
                since,
                outcome: WatchOutcome::Changes { changes, position },
            } => {
                roster.record_store_answer(now);
                let has_changes = !changes.is_empty();
                let updates: Vec<RosterUpdate> = changes
                    .into_iter()
                    .filter_map(|change| {
                        warn_if_unreadable(&change, roster);
                        roster.apply_change(change, now)
                    })
                    .collect();
                self.publish(roster, &updates, position);
                self.record_roster(roster, false);
                let pause = self.reads.finish_watch(&plan, sent, since, (position, has_changes));
                (Some(position.max(since)), pause)
            }
        }
    }

    /// Makes this entry ready as soon as it knows a server, or that there is none.
    fn record_roster(&self, roster: &Roster, is_complete: bool) {
        if is_complete || roster.servers().next().is_some() {
            self.fleet.record_roster(is_complete);
        }
    }

    /// Removals of servers that are neither listed nor in `updates`, nor may stand in the gap of the
    /// listing: this task has panicked after it had listed them.
    fn unlisted(
        &self,
        roster: &Roster,
        updates: &[RosterUpdate],
        gap: Option<&ListingGap>,
    ) -> Vec<RosterUpdate> {
        let may_stand_in_gap = |id: &InstanceId| {
            let read_up_to = gap.map(|gap| gap.read_up_to.as_deref());
            read_up_to.is_some_and(|last| last.is_none_or(|last| id.as_str() > last))
        };
        let known = self.backends.with_dispatcher(|dispatcher, _| {
            let ids = dispatcher.servers().map(|view| &view.id);
            let unlisted = ids.filter(|id| roster.get(id).is_none() && !may_stand_in_gap(id));
            unlisted.cloned().collect::<Vec<_>>()
        });
        let removals = known.into_iter().map(RosterUpdate::Removed);
        removals.filter(|removal| !updates.contains(removal)).collect()
    }

    fn publish(&self, roster: &Roster, updates: &[RosterUpdate], position: StorePosition) {
        if updates.is_empty() {
            return;
        }
        for update in updates {
            self.record(update, position);
        }
        self.backends.with_dispatcher(|dispatcher, now| {
            for update in updates {
                match update {
                    RosterUpdate::Joined(id)
                    | RosterUpdate::Changed(id)
                    | RosterUpdate::Draining(id) => {
                        if let Some((server, _)) = roster.get(id) {
                            dispatcher.upsert_server(server, now);
                        }
                    }
                    RosterUpdate::Lapsed(_) => {}
                    RosterUpdate::Removed(id) => dispatcher.remove_server(id),
                }
            }
            dispatcher.review_waiting(now);
        });
        for update in updates {
            if let RosterUpdate::Joined(id) = update
                && let Some((server, _)) = roster.get(id)
            {
                self.fleet.renew_engine(server.address);
            }
        }
        self.fleet.contact_unknown_peers();
        for update in updates {
            if let RosterUpdate::Draining(id) | RosterUpdate::Removed(id) = update {
                self.fleet.remove_engine(id);
            }
        }
        self.backends.drop_unused_pools();
    }

    fn record(&self, update: &RosterUpdate, position: StorePosition) {
        let (server, status) = match update {
            RosterUpdate::Joined(id) => (id, "joined"),
            RosterUpdate::Changed(id) => (id, "changed"),
            RosterUpdate::Draining(id) => (id, "draining"),
            RosterUpdate::Lapsed(id) => (id, "lapsed"),
            RosterUpdate::Removed(id) => (id, "gone"),
        };
        self.log.record(&DecisionEvent::ServerChanged {
            server,
            standing: status,
            source: "store",
            revision: position.revision.0,
        });
    }
}
