//! Datagrams of other processes with numbers at the ends of their ranges.

mod support;

use std::net::{IpAddr, SocketAddr};

use base::prelude::*;
use peers::{
    BlockQuery, BlockReport, BlockState, ChangeRequest, CrashReport, DatagramBody, DemandReport,
    EngineLoad, EngineState, EntryHeartbeat, KeyAnswer, LimitGrantMessage, LimitQueryMessage,
    LimitState, LoadEstimates, LoadingModel, ModelDemand, ModelEstimate, PastRates, PeerSocket,
    PermitRelease, PermitRequest, QuotaGrantMessage, QuotaGrantRow, QuotaHandover, QuotaLevelRow,
    QuotaQueryMessage, QuotaRequestRow, ResidentState, ReturnedQuota, RunningRequests,
    SideHeartbeat, StoreSighting, SuspectRequest, WaitingStreams,
};
use platform_standin::EngineOptions;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use support::{TestFleet, plain, stream};
use tokio::time;

const SEED: u64 = 17;
const ROUNDS: usize = 40;
const WHOLE: [u64; 5] = [0, 1, u64::MAX / 2, u64::MAX - 1, u64::MAX];
const COUNTS: [u32; 5] = [0, 1, u32::MAX / 2, u32::MAX - 1, u32::MAX];
const FLOATS: [f64; 8] =
    [0.0, -1.0, 1e-300, 1e308, f64::MAX, f64::INFINITY, f64::NEG_INFINITY, f64::NAN];
/// Time within which an answer to a datagram must come, on a loaded machine.
const ANSWERED_WITHIN: Duration = Duration::from_secs(3);

/// Time within which a side process forgets prompts and an entry what other processes reported.
const LAPSED_WITHIN: Duration = Duration::from_secs(10);

/// Draws the numbers of datagrams.
struct NumberSource {
    rng: StdRng,
}

impl NumberSource {
    fn whole(&mut self) -> u64 {
        WHOLE[self.rng.random_range(0..WHOLE.len())]
    }

    fn count(&mut self) -> u32 {
        COUNTS[self.rng.random_range(0..COUNTS.len())]
    }

    fn float(&mut self) -> f64 {
        FLOATS[self.rng.random_range(0..FLOATS.len())]
    }

    fn rates(&mut self) -> PastRates {
        PastRates { recent: self.float(), long_term: self.float() }
    }

    fn limit(&mut self) -> LimitState {
        let limit = Some(self.float());
        LimitState { server: "s-1".to_owned(), started: None, limit, seen_ms_ago: self.count() }
    }

    fn engine_state(&mut self, engine: SocketAddr) -> EngineState {
        let resident = |model: &str, rates| ResidentState {
            model: model.to_owned(),
            weights_version: u64::MAX,
            adapters: vec!["a1".to_owned()],
            past_rates: Some(rates),
        };
        let loading =
            LoadingModel { model: "m2".to_owned(), ready_in_ms: self.count(), is_from_store: true };
        EngineState {
            engine: engine.to_string(),
            is_reachable: true,
            started: 0,
            orders: self.whole(),
            residents: vec![resident("m1", self.rates()), resident("m1", self.rates())],
            loading: self.rng.random::<bool>().then_some(loading),
            unloading: String::new(),
            copies_in_memory: vec!["m3".to_owned()],
            copies_on_disk: vec!["m2".to_owned(), "m3".to_owned()],
            load: Some(self.engine_load()),
            takes_changes: self.rng.random(),
        }
    }

    fn engine_load(&mut self) -> EngineLoad {
        EngineLoad {
            running: self.count(),
            waiting: self.count(),
            tokens_used: self.whole(),
            state_number: self.whole(),
            queued_prefill: self.whole(),
        }
    }

    fn demand(&mut self, model: &str) -> ModelDemand {
        let running = RunningRequests { instance: "e-1".to_owned(), count: self.count() };
        ModelDemand {
            model: model.to_owned(),
            arrivals: self.whole(),
            waiting: self.count(),
            slack_ms: self.count(),
            running: vec![running.clone(), running],
            priority: self.count(),
            past_rates: Some(self.rates()),
            streams: vec![WaitingStreams { software: "v1".to_owned(), count: self.count() }],
        }
    }

    fn quota_query(&mut self) -> QuotaRequestRow {
        let returned =
            ReturnedQuota { account: 1, tokens: self.float(), granted_ms_ago: self.count() };
        QuotaRequestRow {
            workspace: "w-1".to_owned(),
            number: self.count(),
            wanted: self.float(),
            first: self.float(),
            ahead: self.float(),
            turned_away: self.float(),
            returned: vec![returned],
            unanswered: self.count(),
            first_number: self.count(),
        }
    }

    fn crash(&mut self) -> SuspectRequest {
        SuspectRequest {
            keys: vec![self.whole()],
            sent_ms_ago: self.count(),
            crashed_ms_ago: self.count(),
            answered: vec![KeyAnswer { key: self.whole(), ms_ago: self.count() }],
        }
    }

    fn block(&mut self) -> BlockState {
        BlockState {
            keys: vec![self.whole()],
            remaining_ms: self.count(),
            renewals: self.count(),
            since_ms_ago: self.count(),
            decided_ms_ago: self.count(),
            cleared: vec![self.whole()],
        }
    }

    /// What an entry gets from other entries.
    fn for_entry(&mut self) -> Vec<DatagramBody> {
        let store =
            StoreSighting { revision: self.whole(), age_ms: self.whole(), era: self.whole() };
        let estimate = ModelEstimate {
            model: "m2".to_owned(),
            ready_in_ms: Some(self.count()),
            software: String::new(),
        };
        let models = vec![self.demand("m1"), self.demand("m2"), self.demand("m3")];
        let query = LimitQueryMessage {
            state: Some(self.limit()),
            number: self.count(),
            wanted: self.count(),
            max_wait_ms: self.count(),
        };
        let grant = LimitGrantMessage {
            state: Some(self.limit()),
            number: self.count(),
            slots_ms: vec![self.count(), self.count()],
            next_query_ms: self.count(),
        };
        let quota_grant = QuotaGrantRow {
            workspace: "w-1".to_owned(),
            number: self.count(),
            account: Some(self.whole()),
            tokens: self.float(),
            next_query_ms: self.count(),
            room_ms: self.count(),
            is_recent: true,
        };
        let level = QuotaLevelRow { workspace: "w-1".to_owned(), level: self.float() };
        vec![
            DatagramBody::EntryHeartbeat(EntryHeartbeat {
                core_share: 0,
                is_draining: false,
                known: Vec::new(),
                store: self.rng.random::<bool>().then_some(StoreSighting { era: 0, ..store }),
                block_digest: self.whole(),
                catalog_version: 0,
            }),
            DatagramBody::DemandReport(DemandReport { models }),
            DatagramBody::LoadEstimates(LoadEstimates { models: vec![estimate] }),
            DatagramBody::CrashReport(CrashReport { requests: vec![self.crash(), self.crash()] }),
            DatagramBody::BlockReport(BlockReport { blocks: vec![self.block(), self.block()] }),
            DatagramBody::LimitQuery(query),
            DatagramBody::LimitGrant(grant),
            DatagramBody::LimitReport(self.limit()),
            DatagramBody::QuotaQuery(QuotaQueryMessage {
                rows: vec![self.quota_query(), self.quota_query()],
                relay: self.count(),
                asker: self.whole(),
            }),
            DatagramBody::QuotaGrant(QuotaGrantMessage { rows: vec![quota_grant], relay: 0 }),
            DatagramBody::QuotaHandover(QuotaHandover { rows: vec![level] }),
        ]
    }

    /// What a side process gets from entries.
    fn for_side(&mut self) -> Vec<DatagramBody> {
        vec![
            DatagramBody::PermitRequest(PermitRequest {
                key: self.whole(),
                instance: "e-1".to_owned(),
                model: "m1".to_owned(),
                adapter: String::new(),
                tokens: self.whole(),
                due_in_ms: self.count(),
            }),
            DatagramBody::PermitRelease(PermitRelease { key: self.whole() }),
            DatagramBody::ChangeRequest(ChangeRequest {
                instance: "e-1".to_owned(),
                started: self.whole(),
                orders: 0,
                unload: Vec::new(),
                load: "m2".to_owned(),
                load_ms: self.count(),
                is_from_store: true,
            }),
            DatagramBody::SideHeartbeat(SideHeartbeat { known_state: self.whole() }),
        ]
    }
}

async fn socket(ip: IpAddr, vm: &str) -> PeerSocket {
    let vm = vm.parse().expect("a valid name");
    PeerSocket::bind(SocketAddr::new(ip, 0), vm, ProcessIncarnation(7)).await
}

/// Whether the process at `address` answers `question`; other datagrams that come are skipped.
async fn answers(
    socket: &PeerSocket,
    address: SocketAddr,
    question: &DatagramBody,
    is_answer: impl Fn(&DatagramBody) -> bool,
) -> bool {
    let asking = async {
        loop {
            socket.send(address, question.clone());
            let answered =
                async { while !socket.receive().await.1.body.as_ref().is_some_and(&is_answer) {} };
            if time::timeout(Duration::from_millis(300), answered).await.is_ok() {
                return;
            }
        }
    };
    time::timeout(ANSWERED_WITHIN, asking).await.is_ok()
}

async fn start_fleet() -> TestFleet {
    let mut fleet = TestFleet::start().await;
    fleet.add_service("s-1").await;
    let engine = fleet
        .add_engine(EngineOptions {
            residents: vec!["m1".to_owned()],
            on_disk: vec!["m2".to_owned()],
            ..EngineOptions::new("e-1")
        })
        .await;
    fleet.add_agent(engine).await;
    fleet.add_gateway().await;
    fleet
}

/// Whether a stream is served once the prompts that were made up have lapsed.
async fn is_streamed(fleet: &TestFleet) -> bool {
    let serving = async {
        while fleet.call(stream("/report/a", "m1", "c-2")).await.status() != 200 {
            time::sleep(Duration::from_millis(100)).await;
        }
    };
    time::timeout(LAPSED_WITHIN, serving).await.is_ok()
}

/// Guards against sums of counts in datagrams that overflowed with a lock held: the task that receives
/// or plans was gone, and each request after it was cut.
#[tokio::test]
async fn datagrams_with_extreme_numbers_stop_nothing() {
    let fleet = start_fleet().await;
    let engine = fleet.engines[0].address();
    let gateway = fleet.peer_address(0);
    let side = SocketAddr::new(engine.ip(), gateway.port());
    let entry = socket([127, 0, 0, 1].into(), "entry-9").await;
    let other = socket([127, 0, 0, 1].into(), "entry-8").await;
    let engine_side = socket(engine.ip(), "side-9").await;
    let mut numbers = NumberSource { rng: StdRng::seed_from_u64(SEED) };

    for _ in 0..ROUNDS {
        for (from, to) in [(&entry, gateway), (&other, gateway)] {
            numbers.for_entry().into_iter().for_each(|body| from.send(to, body));
        }
        numbers.for_side().into_iter().for_each(|body| entry.send(side, body));
        let state = numbers.engine_state(engine);
        engine_side.send(gateway, DatagramBody::EngineState(state));
        engine_side.send(gateway, DatagramBody::EngineLoad(numbers.engine_load()));
        time::sleep(Duration::from_millis(5)).await;
    }

    let is_blocks = |body: &DatagramBody| matches!(body, DatagramBody::BlockReport(_));
    let question = DatagramBody::BlockQuery(BlockQuery {});
    assert!(answers(&entry, gateway, &question, is_blocks).await, "the gateway receives");
    let is_state = |body: &DatagramBody| matches!(body, DatagramBody::EngineState(_));
    let question = DatagramBody::SideHeartbeat(SideHeartbeat { known_state: 0 });
    assert!(answers(&entry, side, &question, is_state).await, "the agent receives");
    let outcome = fleet.call(plain("POST", "/order/a", "c-1")).await;
    assert_eq!(outcome.status(), 200, "{outcome:?}");
    assert!(is_streamed(&fleet).await, "the engine is used again");
}
