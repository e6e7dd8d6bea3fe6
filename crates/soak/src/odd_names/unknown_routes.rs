//! Requests for a route that is not in the configuration.

use std::net::SocketAddr;

use base::prelude::*;
use connections::Connection;
use tokio::{sync::mpsc, task::JoinHandle, time};

use crate::callers::{CALLER_TIMEOUT, connect_settings, request};

/// Path of no route.
const UNKNOWN_PATH: &str = "/unknown/a";
/// Time between two requests at a gateway.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// Outcome of a request for an unknown route.
#[derive(Debug)]
pub(super) struct UnknownCall {
    pub gateway: usize,
    pub sent: Instant,
    pub duration: Duration,
    /// Status of the answer; `None` for no answer within [`CALLER_TIMEOUT`].
    pub status: Option<u16>,
}

/// Callers that ask each gateway for an unknown route, until they are dropped.
pub(super) struct UnknownCallers {
    tasks: Vec<JoinHandle<()>>,
    calls: mpsc::UnboundedReceiver<UnknownCall>,
}

impl UnknownCallers {
    pub fn start(gateways: Vec<SocketAddr>) -> Self {
        let (sender, calls) = mpsc::unbounded_channel();
        let gateways = gateways.into_iter().enumerate();
        let tasks = gateways
            .map(|(gateway, address)| tokio::spawn(ask_often(gateway, address, sender.clone())));
        Self { tasks: tasks.collect(), calls }
    }

    /// Takes the outcomes that are known.
    pub fn take(&mut self) -> Vec<UnknownCall> {
        std::iter::from_fn(|| self.calls.try_recv().ok()).collect()
    }
}

impl Drop for UnknownCallers {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn ask_often(gateway: usize, address: SocketAddr, calls: mpsc::UnboundedSender<UnknownCall>) {
    for number in 1_u64.. {
        let sent = Instant::now();
        let call = format!("u{gateway}-{number}");
        let asked = time::timeout(CALLER_TIMEOUT, ask(address, &call)).await;
        let status = asked.ok().flatten();
        if calls.send(UnknownCall { gateway, sent, duration: sent.elapsed(), status }).is_err() {
            return;
        }
        time::sleep(REQUEST_INTERVAL).await;
    }
}

async fn ask(address: SocketAddr, call: &str) -> Option<u16> {
    let mut connection = Connection::open(address, &connect_settings()).await.ok()?;
    let head = request(call, "POST", UNKNOWN_PATH, None, CALLER_TIMEOUT);
    connection.send(head).await.ok().map(|answer| answer.status().as_u16())
}
