//! Event loop of a [`SpreadNode`]: feeds it frames, timers and platform answers, and runs its
//! actions.

use std::{net::SocketAddr, sync::Arc};

use base::prelude::*;
use bytes::Bytes;
use log::{info, warn};
use object_api::{ObjectChange, ObjectStore, ObjectVersion, VmList};
use prost::Message;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::{self, MissedTickBehavior},
};

use crate::{
    set::ListSet,
    spread::{
        SpreadAction, SpreadEvent, SpreadFrame, SpreadNode, StatusReport, StoreUpdate,
        copy::EditStep,
    },
    store::{
        EditRecord, HeadObject, edits_between, objects::decode_object, objects::head_key,
        read_head, read_lists, write_status,
    },
};

/// Interval of tick events, at which the node checks its timers.
const TICK: Duration = Duration::from_millis(250);
/// Longest wait of one watch call; each answer proves that the store is reachable.
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// Delay before a failed watch is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of missing versions that a node reads as edits; if it misses more, it reads the
/// complete lists.
const MAX_EDITS: u64 = 64;
/// Maximum number of queued results of platform calls.
const RESULT_QUEUE: usize = 64;

/// Sends frames to peers without waiting.
///
/// An implementation uses the connection that the peer opened, or opens one to `address`. A frame
/// that cannot be sent is dropped; the node sends its state again with the next heartbeat.
pub trait SpreadLinks: Send + Sync {
    /// Queues one frame for the peer `to`; `address` is `None` if the node does not know it.
    fn send(&self, to: &VmId, address: Option<SocketAddr>, frame: Bytes);
}

/// An input from the connections.
#[derive(Debug, Clone)]
pub enum SpreadInput {
    /// A frame was received.
    Frame {
        /// The peer that sent it.
        from: VmId,
        /// The encoded [`SpreadFrame`].
        frame: Bytes,
    },
    /// A peer is unreachable or its connection ended.
    Disconnected {
        /// Peer of the connection.
        peer: VmId,
    },
}

/// The inputs and outputs of a running driver.
#[derive(Debug, Clone)]
pub struct SpreadHandle {
    /// Receives the inputs of the connections.
    pub inbox: mpsc::Sender<SpreadInput>,
    /// Lists in use on this node; `None` until it is ready.
    pub lists: watch::Receiver<Option<ListSet>>,
}

/// Runs one node until its inbox closes.
pub struct SpreadDriver {
    node: SpreadNode,
    links: Arc<dyn SpreadLinks>,
    store: Arc<dyn ObjectStore>,
    vms: Arc<dyn VmList>,
    inbox: mpsc::Receiver<SpreadInput>,
    lists: watch::Sender<Option<ListSet>>,
    results: mpsc::Sender<SpreadEvent>,
    pending: mpsc::Receiver<SpreadEvent>,
    tasks: JoinSet<()>,
    head_watch: Option<tokio::task::AbortHandle>,
}

impl SpreadDriver {
    /// Creates a driver for `node`, and a receiver of the lists in use; `None` until it is ready.
    pub fn new(
        node: SpreadNode,
        links: Arc<dyn SpreadLinks>,
        store: Arc<dyn ObjectStore>,
        vms: Arc<dyn VmList>,
        inbox: mpsc::Receiver<SpreadInput>,
    ) -> (Self, watch::Receiver<Option<ListSet>>) {
        let (results, pending) = mpsc::channel(RESULT_QUEUE);
        let (lists, receiver) = watch::channel(None);
        let tasks = JoinSet::new();
        let head_watch = None;
        let driver =
            Self { node, links, store, vms, inbox, lists, results, pending, tasks, head_watch };
        (driver, receiver)
    }

    /// Runs until every sender of the inbox is dropped.
    pub async fn run(mut self) {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                input = self.inbox.recv() => match input {
                    Some(input) => input_event(input),
                    None => break,
                },
                Some(event) = self.pending.recv() => Some(event),
                Some(_) = self.tasks.join_next() => None,
                _ = ticks.tick() => Some(SpreadEvent::Tick),
            };
            if let Some(event) = event {
                self.handle_event(event);
            }
        }
    }

    fn handle_event(&mut self, event: SpreadEvent) {
        for action in self.node.handle(event, Instant::now()) {
            self.run_action(action);
        }
    }

    fn run_action(&mut self, action: SpreadAction) {
        let results = self.results.clone();
        let store = Arc::clone(&self.store);
        match action {
            SpreadAction::Send { to, body } => {
                let frame = SpreadFrame { body: Some(body) }.encode_to_vec();
                self.links.send(&to, self.node.address(&to), Bytes::from(frame));
            }
            SpreadAction::WatchHead(true) => {
                info!("lists: this node becomes a relay and watches the store");
                self.head_watch = Some(self.tasks.spawn(watch_head(store, results)));
            }
            SpreadAction::WatchHead(false) => {
                if let Some(task) = self.head_watch.take() {
                    task.abort();
                }
            }
            SpreadAction::ReadHead => {
                self.tasks.spawn(report(results, async move { read_head_version(&*store).await }));
            }
            SpreadAction::ReadLists { after } => {
                self.tasks.spawn(report(results, async move { read_update(&*store, after).await }));
            }
            SpreadAction::ReadVms => {
                let vms = Arc::clone(&self.vms);
                self.tasks.spawn(report(results, async move { read_vms(&*vms).await }));
            }
            SpreadAction::Install(set) => {
                self.lists.send_replace(Some(set));
            }
            SpreadAction::WriteStatus(status) => {
                let task = self.status_task(status);
                self.tasks.spawn(task);
            }
        }
    }

    fn status_task(&self, status: StatusReport) -> impl Future<Output = ()> + use<> {
        let store = Arc::clone(&self.store);
        let identity = self.node.identity().clone();
        let results = self.results.clone();
        async move {
            if let Err(error) = write_status(&*store, &identity.zone, &identity.vm, &status).await {
                warn!(
                    "lists: writing the status of zone {} failed, will retry: {error}",
                    identity.zone
                );
                let _ = results.send(SpreadEvent::StatusWriteFailed).await;
            }
        }
    }
}

fn input_event(input: SpreadInput) -> Option<SpreadEvent> {
    match input {
        SpreadInput::Disconnected { peer } => Some(SpreadEvent::Disconnected { peer }),
        SpreadInput::Frame { from, frame } => {
            let body = SpreadFrame::decode(frame).ok()?.body?;
            Some(SpreadEvent::Received { from, body })
        }
    }
}

async fn report(
    results: mpsc::Sender<SpreadEvent>,
    read: impl Future<Output = Option<SpreadEvent>>,
) {
    if let Some(event) = read.await {
        let _ = results.send(event).await;
    }
}

async fn read_head_version(store: &dyn ObjectStore) -> Option<SpreadEvent> {
    match read_head(store).await {
        Ok(head) => {
            let version = head.map_or(ListVersion(0), |(_, head)| head.version);
            Some(SpreadEvent::HeadRead(version))
        }
        Err(error) => {
            warn!("lists: reading the head failed: {error}");
            None
        }
    }
}

async fn read_vms(vms: &dyn VmList) -> Option<SpreadEvent> {
    match vms.vms().await {
        Ok(vms) => Some(SpreadEvent::VmsRead(vms)),
        Err(error) => {
            warn!("lists: reading the VM list failed: {error}");
            None
        }
    }
}

async fn read_update(store: &dyn ObjectStore, after: ListVersion) -> Option<SpreadEvent> {
    match update_after(store, after).await {
        Ok(update) => Some(SpreadEvent::ListsRead(update)),
        Err(error) => {
            warn!("lists: reading the lists after version {after} failed: {error}");
            None
        }
    }
}

async fn update_after(
    store: &dyn ObjectStore,
    after: ListVersion,
) -> crate::store::Result<StoreUpdate> {
    if after > ListVersion(0) {
        let head = read_head(store).await?.map(|(_, head)| head).unwrap_or_default();
        if head.version.0.saturating_sub(after.0) <= MAX_EDITS {
            match edits_between(store, &head, after).await {
                Ok(edits) => {
                    let steps = edits.into_iter().map(edit_step).collect();
                    return Ok(StoreUpdate::Edits(steps));
                }
                Err(error) if error.is_outage() => return Err(error),
                Err(error) => warn!("lists: reading the complete lists instead of edits: {error}"),
            }
        }
    }
    let lists = read_lists(store).await?;
    Ok(StoreUpdate::Whole { version: lists.head.version, image: lists.image })
}

fn edit_step(record: EditRecord) -> EditStep {
    EditStep { version: record.version, digest: record.digest, delta: record.delta }
}

async fn watch_head(store: Arc<dyn ObjectStore>, results: mpsc::Sender<SpreadEvent>) {
    let mut since = ObjectVersion(0);
    let mut version = ListVersion(0);
    loop {
        let changes = store.watch(head_key().as_str(), since, WATCH_WAIT).await;
        match changes {
            Ok(changes) => {
                for change in changes {
                    since = since.max(change.version());
                    version = head_version(&change).unwrap_or(version);
                }
                if results.send(SpreadEvent::HeadRead(version)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                warn!("lists: watching the head failed, retrying in {RETRY_DELAY:?}: {error}");
                time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn head_version(change: &ObjectChange) -> Option<ListVersion> {
    let ObjectChange::Written(object) = change else { return None };
    // The watch also reports objects whose names only begin like the head's.
    if object.key != head_key() {
        return None;
    }
    let head = decode_object::<HeadObject>(&object.key, &object.body);
    let head = head.inspect_err(|error| warn!("lists: ignoring a version of the head: {error}"));
    Some(head.ok()?.version)
}
