//! Calls to the engine beside the process.

use std::net::SocketAddr;

use base::prelude::*;
use connections::{ConnectSettings, ConnectionPool, PoolSettings};
use http_body_util::{BodyExt, Limited};
use platform::engine_form;
use residency::{EngineOrder, EngineReport, OrderAnswer};
use tokio::time;

/// Longest wait for an answer of the engine on the same VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Connections to the engine: one for reports, one for orders, one spare.
const MAX_CONNECTIONS: usize = 3;
/// Longest rest of a connection.
const MAX_REST: Duration = Duration::from_secs(5);
/// Largest report that is read.
const MAX_REPORT: usize = 1 << 20;

/// Client of the engine.
#[derive(Debug, Clone)]
pub struct EngineClient {
    pool: ConnectionPool,
    host: String,
}

impl EngineClient {
    /// A client of the engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let connect = ConnectSettings {
            connect_timeout: CALL_TIMEOUT,
            user_timeout: CALL_TIMEOUT,
            read_buffer: ByteSize(64 * 1024),
        };
        let settings = PoolSettings { connect, max_open: MAX_CONNECTIONS, max_idle: MAX_REST };
        Self { pool: ConnectionPool::new(address, settings), host: address.to_string() }
    }

    /// Reads the engine's report.
    ///
    /// # Errors
    ///
    /// Tells why there is none.
    pub async fn report(&self) -> Result<EngineReport, String> {
        match time::timeout(CALL_TIMEOUT, self.read_report()).await {
            Ok(report) => report,
            Err(_) => Err("no report in time".to_owned()),
        }
    }

    async fn read_report(&self) -> Result<EngineReport, String> {
        let mut lease = self.pool.lease(MAX_REST).await.map_err(|error| error.to_string())?;
        let request = engine_form::report_request(&self.host);
        let response = lease.send(request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_REPORT)
            .collect()
            .await
            .map_err(|error| error.to_string())?
            .to_bytes();
        lease.release(MAX_REST);
        if !status.is_success() {
            return Err(format!("status {}", status.as_u16()));
        }
        engine_form::read_report(&body).map_err(|error| error.to_string())
    }

    /// Gives an order.
    pub async fn order(&self, order: &EngineOrder) -> OrderAnswer {
        match time::timeout(CALL_TIMEOUT, self.send_order(order)).await {
            Ok(answer) => answer,
            Err(_) => OrderAnswer::Unknown,
        }
    }

    async fn send_order(&self, order: &EngineOrder) -> OrderAnswer {
        let Ok(mut lease) = self.pool.lease(MAX_REST).await else { return OrderAnswer::Unknown };
        let request = engine_form::order_request(&self.host, order);
        match lease.send(request).await {
            Ok(response) => {
                let answer = engine_form::read_order_answer(response.status());
                if Limited::new(response.into_body(), MAX_REPORT).collect().await.is_ok() {
                    lease.release(MAX_REST);
                }
                answer
            }
            Err(error) => {
                log::debug!("engine: no answer to an order: {error}");
                OrderAnswer::Unknown
            }
        }
    }
}
