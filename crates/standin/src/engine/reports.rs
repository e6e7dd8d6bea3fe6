//! The listing, and load reports that come late.

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

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Samples kept.
const KEPT_SAMPLES: usize = 2_000;

/// Past load reports; clones share them.
#[derive(Debug, Clone, Default)]
pub(super) struct ReportHistory {
    samples: Arc<Mutex<VecDeque<ReportSample>>>,
}

#[derive(Debug, Clone, Copy)]
struct ReportSample {
    taken: Instant,
    report: LoadReport,
}

impl ReportHistory {
    fn push(&self, report: LoadReport) {
        let mut samples = self.samples.lock().expect("no holder panics");
        samples.push_back(ReportSample { taken: Instant::now(), report });
        if samples.len() > KEPT_SAMPLES {
            samples.pop_front();
        }
    }

    fn before(&self, lag: Duration) -> LoadReport {
        let samples = self.samples.lock().expect("no holder panics");
        let late = samples.iter().rev().find(|sample| sample.taken.elapsed() >= lag);
        late.map(|sample| sample.report).unwrap_or_default()
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

/// Samples the load until the engine is aborted.
pub(super) async fn sample(server: EngineServer) {
    loop {
        server.reports.push(server.current_report());
        time::sleep(SAMPLE_INTERVAL).await;
    }
}

pub(super) async fn load_report(request: Request) -> viz::Result<Response> {
    let server = state_of::<EngineServer>(&request);
    let report = server.reports.before(server.options.report_lag);
    Ok(json_answer(StatusCode::OK, &report))
}

pub(super) async fn list(request: Request) -> viz::Result<Response> {
    let server = state_of::<EngineServer>(&request);
    let listing = server.lock().table.listing(server.life());
    Ok(json_answer(StatusCode::OK, &listing))
}
