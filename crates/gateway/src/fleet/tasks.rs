//! The tasks that exchange datagrams with the other processes.

use std::sync::Arc;

use events::spawn_lasting;
use tokio::sync::{Mutex, mpsc};

use super::Fleet;
use crate::backends::PeerReport;

impl Fleet {
    /// Starts the tasks that receive datagrams, send heartbeats, send demand and `reports`, and
    /// plan.
    pub fn start(&self, reports: mpsc::Receiver<PeerReport>) {
        let reports = Arc::new(Mutex::new(reports));
        self.spawn("reports", move |fleet| fleet.send_reports(Arc::clone(&reports)));
        self.spawn("datagrams", Self::receive);
        self.spawn("heartbeats", Self::send_heartbeats);
        self.spawn("demand", Self::report_demand);
        self.spawn("planner", Self::run_planner);
        self.spawn("quotas", Self::run_quotas);
    }

    fn spawn<F>(&self, name: &'static str, mut start: impl FnMut(Self) -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let fleet = self.clone();
        spawn_lasting(name, move || start(fleet.clone()));
    }

    /// Passes on what other entries have to know, until the process ends.
    async fn send_reports(self, reports: Arc<Mutex<mpsc::Receiver<PeerReport>>>) {
        let mut reports = reports.lock().await;
        while let Some(report) = reports.recv().await {
            match report {
                PeerReport::Crash(sightings) => self.handle_crashes(&sightings),
                PeerReport::Narrowed(blocks) => self.share_blocks(&blocks),
                PeerReport::Limit(query) => self.send_limit_query(&query),
            }
        }
    }
}
