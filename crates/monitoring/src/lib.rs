//! HTTP listeners for readiness checks and metrics.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use base::prelude::*;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    task::AbortHandle,
    time,
};
use viz::{Responder, Router, Tree};

/// Most open connections of one listener.
pub const MAX_CONNECTIONS: usize = 32;
/// Delay after a failed accept, which occurs when the process runs out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Open connections, the oldest first.
#[derive(Debug, Default)]
struct OpenConnections(VecDeque<AbortHandle>);

impl OpenConnections {
    /// Adds a connection; the oldest one is closed if too many are open.
    fn push(&mut self, connection: AbortHandle) {
        self.0.retain(|open| !open.is_finished());
        if self.0.len() >= MAX_CONNECTIONS
            && let Some(oldest) = self.0.pop_front()
        {
            oldest.abort();
        }
        self.0.push_back(connection);
    }
}

/// Serves `router` on the connections of `listener` until the process ends. A listener has at most
/// [`MAX_CONNECTIONS`], because those of a prober that has lost power stay open.
pub async fn serve(listener: TcpListener, router: Router) {
    let tree = Arc::new(Tree::from(router));
    let mut open = OpenConnections::default();
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let serving = serve_connection(stream, address, Arc::clone(&tree));
                open.push(tokio::spawn(serving).abort_handle());
            }
            Err(error) => {
                log::warn!("monitoring: failed to accept a connection, retrying: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, address: SocketAddr, tree: Arc<Tree>) {
    let responder = Responder::new(tree, Some(address));
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), responder);
    if let Err(error) = serving.await {
        log::debug!("monitoring: a connection of {address} failed: {error}");
    }
}
