//! Fetches newer versions of the configuration from other entries, and serves them to others.
//!
//! The address for datagrams of an entry is, over TCP, the address at which it serves its
//! configuration: one request on each connection, answered with the configuration as the store holds
//! it. `catalog::exchange` decides when to fetch and from which entry.

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use base::prelude::*;
use bytes::Bytes;
use catalog::{CatalogVersion, FetchStep};
use connections::{ConnectSettings, Connection, SendError};
use events::{DecisionEvent, EventLog, millis};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::StoredCatalog;
use snafu::Snafu;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};
use wire::listen::listen;

use crate::{
    catalog_holder::{CatalogHolder, CatalogSource},
    fleet::Fleet,
    metrics::GatewayMetrics,
};

/// Path prefix of the one request; the version follows that the sender has, zero for none.
const PATH_PREFIX: &str = "/catalog/newer-than/";
/// Time in which the other entry accepts the connection, and again in which its answer begins. An
/// entry that is frozen accepts connections but does not answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for the whole answer. The largest configuration takes 0.8 s on a link of 10 Mbit/s.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Largest configuration that is accepted; the store holds objects of up to 1 MB.
const MAX_CATALOG_SIZE: ByteSize = ByteSize::mib(2);
/// Kilobytes that are sent at the same time, over all connections; one of any size is always served.
/// Further connections are closed, and their entries try another one. More would share the link so
/// that none ends in time.
const MAX_SENT_KB: u32 = 1_024;
/// Kilobytes that each connection counts for at least, which bounds their number.
const MIN_CONNECTION_KB: u32 = 64;
/// Longest time for which a connection is served.
const SERVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the address is bound again, or a connection is accepted again, after a failure.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The configuration could not be fetched. No text names contents of a configuration.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// The request failed.
    #[snafu(display("{source}"), context(false))]
    Send {
        /// Why it failed.
        source: SendError,
    },
    /// The other entry did not answer in time.
    #[snafu(display("no answer in time"))]
    TimedOut,
    /// The other entry has no newer version, or refuses.
    #[snafu(display("answered with {status}"))]
    Refused {
        /// Status of the answer.
        status: StatusCode,
    },
    /// The answer was cut off or is too long.
    #[snafu(display("the configuration did not arrive: {reason}"))]
    Cut {
        /// Why it did not.
        reason: String,
    },
    /// The answer cannot be decoded.
    #[snafu(display("{source}"), context(false))]
    Format {
        /// Why it cannot be decoded.
        source: platform::FormatError,
    },
}

/// Result of a fetch.
pub type Result<T, E = FetchError> = std::result::Result<T, E>;

/// Exchanges the configuration with other entries.
#[derive(Clone)]
pub struct CatalogExchange {
    /// Where fetched configurations take effect, and what is served.
    pub holder: CatalogHolder,
    /// Addresses of the other entries and the versions that they have.
    pub fleet: Fleet,
    /// Decision log.
    pub log: EventLog,
    /// Metrics, for fetches.
    pub metrics: GatewayMetrics,
}

impl CatalogExchange {
    /// Fetches newer versions from other entries until the process ends.
    pub async fn follow(self) {
        loop {
            match self.fleet.next_catalog_fetch() {
                FetchStep::Idle => self.fleet.wait_for_catalog_offer().await,
                FetchStep::WaitUntil(due) => {
                    // An offer may come that can be used at once.
                    let _ = time::timeout_at(due, self.fleet.wait_for_catalog_offer()).await;
                }
                FetchStep::Fetch { source, version } => {
                    let is_delivered = self.fetch_from(source, version).await;
                    self.fleet.finish_catalog_fetch(is_delivered);
                }
            }
        }
    }

    /// Fetches from `source`, which has `version`; returns whether that brought a newer version than
    /// the one in force.
    async fn fetch_from(&self, source: SocketAddr, version: CatalogVersion) -> bool {
        let began = Instant::now();
        let held = self.holder.version().unwrap_or_default();
        self.metrics.catalog_fetches.inc();
        let fetched = time::timeout(FETCH_TIMEOUT, fetch(source, held)).await;
        let fetched = fetched.unwrap_or(Err(FetchError::TimedOut));
        let bytes = fetched.as_ref().map_or(0, |stored| stored.contents.len() as u64);
        let (outcome, reason) = match fetched {
            Ok(stored) => match self.holder.adopt(stored, CatalogSource::Peer) {
                true => ("newer", String::new()),
                false => ("outdated", String::new()),
            },
            Err(error) => ("nothing", error.to_string()),
        };
        if outcome != "newer" {
            self.metrics.failed_catalog_fetches.inc();
        }
        self.log.record(&DecisionEvent::CatalogFetched {
            source,
            version,
            outcome,
            reason: &reason,
            bytes,
            after_ms: millis(began.elapsed()),
        });
        outcome == "newer"
    }

    /// Serves the configuration to other entries on `address` until the process ends. An address
    /// that is in use is tried again, because the entry serves its callers without.
    pub async fn serve(self, address: SocketAddr) {
        loop {
            match listen(address).await {
                Ok(listener) => self.accept(listener).await,
                Err(error) => {
                    log::warn!("catalog: not served to other entries for now: {error}");
                }
            }
            time::sleep(LISTEN_RETRY_DELAY).await;
        }
    }

    async fn accept(&self, listener: TcpListener) {
        let room = Arc::new(Semaphore::new(MAX_SENT_KB as usize));
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let size = u32::try_from(self.holder.size() / 1_024).unwrap_or(u32::MAX);
                    let size = size.clamp(MIN_CONNECTION_KB, MAX_SENT_KB);
                    // The connection closes without an answer if there is no room.
                    let Ok(slot) = Arc::clone(&room).try_acquire_many_owned(size) else { continue };
                    let exchange = self.clone();
                    tokio::spawn(async move {
                        exchange.serve_connection(stream).await;
                        drop(slot);
                    });
                }
                Err(error) => {
                    log::warn!("catalog: failed to accept a connection, retrying: {error}");
                    time::sleep(LISTEN_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_connection(&self, stream: TcpStream) {
        let service = service_fn(|request: Request<Incoming>| {
            let response = self.answer(&request);
            async move { Ok::<_, Infallible>(response) }
        });
        let serving = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(ANSWER_TIMEOUT)
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service);
        match time::timeout(SERVE_TIMEOUT, serving).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::debug!("catalog: a connection failed: {error}"),
            Err(_) => log::warn!("catalog: another entry did not read the configuration in time"),
        }
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let version = request.uri().path().strip_prefix(PATH_PREFIX).and_then(|text| {
            text.parse::<CatalogVersion>().ok().filter(|_| request.method() == Method::GET)
        });
        let Some(version) = version else { return status_response(StatusCode::NOT_FOUND) };
        match self.holder.contents_newer_than(version) {
            Some(contents) => {
                self.metrics.served_catalogs.inc();
                Response::new(Full::new(contents))
            }
            None => status_response(StatusCode::NO_CONTENT),
        }
    }
}

fn status_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Fetches the configuration of the entry at `source` if it is newer than `held`.
async fn fetch(source: SocketAddr, held: CatalogVersion) -> Result<StoredCatalog> {
    let settings = ConnectSettings {
        connect_timeout: ANSWER_TIMEOUT,
        user_timeout: FETCH_TIMEOUT,
        read_buffer: ByteSize(64 * 1024),
    };
    let mut connection = Connection::open(source, &settings).await?;
    let mut request = Request::new(Full::default());
    *request.uri_mut() = format!("{PATH_PREFIX}{held}").parse().expect("a valid path");
    let host = source.to_string().parse().expect("an address is a valid value");
    request.headers_mut().insert(header::HOST, host);
    let answered = time::timeout(ANSWER_TIMEOUT, connection.send(request)).await;
    let response = answered.map_err(|_| FetchError::TimedOut)??;
    let status = response.status();
    if status != StatusCode::OK {
        return RefusedSnafu { status }.fail();
    }
    let limit = usize::try_from(MAX_CATALOG_SIZE.0).unwrap_or(usize::MAX);
    let body = Limited::new(response.into_body(), limit).collect().await;
    let body = body.map_err(|error| FetchError::Cut { reason: error.to_string() })?;
    Ok(StoredCatalog::read(body.to_bytes())?)
}
