//! The model listing, and load reports that lag behind the state.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
};

use base::prelude::*;
use http::StatusCode;
use tokio::time;
use viz::{Request, Response};

use super::{EngineServer, LoadReport};
use crate::server::{json_answer, state_of};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Limits the history to 100 s, the longest report lag.
const MAX_SAMPLES: usize = 2_000;

/// Load samples of the past; clones share them.
#[derive(Debug, Clone, Default)]
pub(super) struct ReportHistory {
    samples: Arc<Mutex<VecDeque<ReportSample>>>,
}

#[derive(Debug, Clone, Copy)]
struct ReportSample {
    taken_at: Instant,
    report: LoadReport,
}

impl ReportHistory {
    fn push(&self, report: LoadReport) {
        let mut samples = self.samples.lock().expect("no thread panics while holding the lock");
        samples.push_back(ReportSample { taken_at: Instant::now(), report });
        if samples.len() > MAX_SAMPLES {
            samples.pop_front();
        }
    }

    /// Latest report at least `lag` old; an empty one if there is none.
    fn latest_older_than(&self, lag: Duration) -> LoadReport {
        let samples = self.samples.lock().expect("no thread panics while holding the lock");
        let sample = samples.iter().rev().find(|sample| sample.taken_at.elapsed() >= lag);
        sample.map(|sample| sample.report).unwrap_or_default()
    }
}

impl EngineServer {
    fn current_report(&self) -> LoadReport {
        LoadReport {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            used_bytes: self.lock().table.used_bytes(),
        }
    }
}

/// Samples the load until the task is aborted.
pub(super) async fn sample_load(server: EngineServer) {
    loop {
        server.report_history.push(server.current_report());
        time::sleep(SAMPLE_INTERVAL).await;
    }
}

pub(super) async fn load_report(request: Request) -> viz::Result<Response> {
    let server = state_of::<EngineServer>(&request);
    let report = server.report_history.latest_older_than(server.options.report_lag);
    Ok(json_answer(StatusCode::OK, &report))
}

pub(super) async fn list(request: Request) -> viz::Result<Response> {
    let server = state_of::<EngineServer>(&request);
    let listing = server.lock().table.listing(server.incarnation());
    Ok(json_answer(StatusCode::OK, &listing))
}
