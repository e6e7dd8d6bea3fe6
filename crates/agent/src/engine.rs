//! HTTP client of the engine on the same VM.

use std::net::SocketAddr;

use base::prelude::*;
use connections::{ConnectSettings, ConnectionPool, PoolSettings};
use http_body_util::{BodyExt, Limited};
use platform::engine_api;
use residency::{EngineOrder, EngineReport, OrderAnswer};
use tokio::time;

/// Longest wait for an answer of the engine, which runs on the same VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Connections to the engine: one for reports, one for orders, one spare.
const MAX_CONNECTIONS: usize = 3;
/// Longest idle time of a connection.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// Largest body of an answer that is read.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Client of one engine; clones share its connections.
#[derive(Debug, Clone)]
pub struct EngineClient {
    pool: ConnectionPool,
    host: String,
}

impl EngineClient {
    /// Creates a client of the engine at `address`. It connects with the first call.
    pub fn new(address: SocketAddr) -> Self {
        let connect = ConnectSettings {
            connect_timeout: CALL_TIMEOUT,
            user_timeout: CALL_TIMEOUT,
            read_buffer: ByteSize(64 * 1024),
        };
        let settings = PoolSettings { connect, max_open: MAX_CONNECTIONS, max_idle: MAX_IDLE };
        Self { pool: ConnectionPool::new(address, settings), host: address.to_string() }
    }

    /// Fetches the engine's report.
    ///
    /// # Errors
    ///
    /// Returns the reason as text if the report does not arrive in time or cannot be read.
    pub async fn fetch_report(&self) -> Result<EngineReport, String> {
        match time::timeout(CALL_TIMEOUT, self.request_report()).await {
            Ok(report) => report,
            Err(_) => Err("no report in time".to_owned()),
        }
    }

    async fn request_report(&self) -> Result<EngineReport, String> {
        let mut lease = self.pool.lease(MAX_IDLE).await.map_err(|error| error.to_string())?;
        let request = engine_api::report_request(&self.host);
        let response = lease.send(request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|error| error.to_string())?
            .to_bytes();
        lease.release(MAX_IDLE);
        if !status.is_success() {
            return Err(format!("status {}", status.as_u16()));
        }
        engine_api::read_report(&body).map_err(|error| error.to_string())
    }

    /// Sends an order. Returns [`OrderAnswer::Unknown`] if the call fails or times out; the engine
    /// may carry out the order nevertheless.
    pub async fn send_order(&self, order: &EngineOrder) -> OrderAnswer {
        match time::timeout(CALL_TIMEOUT, self.post_order(order)).await {
            Ok(answer) => answer,
            Err(_) => OrderAnswer::Unknown,
        }
    }

    async fn post_order(&self, order: &EngineOrder) -> OrderAnswer {
        let Ok(mut lease) = self.pool.lease(MAX_IDLE).await else { return OrderAnswer::Unknown };
        let request = engine_api::order_request(&self.host, order);
        match lease.send(request).await {
            Ok(response) => {
                let answer = engine_api::read_order_answer(response.status());
                if Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await.is_ok() {
                    lease.release(MAX_IDLE);
                }
                answer
            }
            Err(error) => {
                log::debug!("engine: sending an order failed, its outcome is unknown: {error}");
                OrderAnswer::Unknown
            }
        }
    }
}
