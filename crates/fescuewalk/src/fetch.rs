//! HTTP GET requests to entry processes.

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};

use crate::error::{CliError, CliResult};

const MAX_PAGE_BYTES: usize = 16 << 20;
/// Time limit for connecting, sending the request and receiving the complete answer.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the body of the page at `path` of the entry that listens at `address`.
///
/// The status of the answer is not checked.
///
/// # Errors
///
/// Fails if the entry cannot be reached, or if its complete answer does not arrive within
/// [`PAGE_TIMEOUT`] or is larger than [`MAX_PAGE_BYTES`].
pub async fn fetch_page(address: SocketAddr, path: &str) -> CliResult<Bytes> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::get(format!("http://{address}{path}"))
        .body(Full::default())
        .map_err(|error| CliError::usage(error.to_string()))?;
    let exchange = async {
        let answer = client.request(request).await.ok()?;
        let body = Limited::new(answer.into_body(), MAX_PAGE_BYTES).collect().await.ok()?;
        Some(body.to_bytes())
    };
    let body = tokio::time::timeout(PAGE_TIMEOUT, exchange).await.ok().flatten();
    body.ok_or_else(|| CliError::failed(format!("no complete answer from the entry at {address}")))
}
