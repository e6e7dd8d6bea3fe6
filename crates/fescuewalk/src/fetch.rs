//! Reading of pages of entry processes.

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};

use crate::error::{CliError, CliResult};

/// Largest answer of one entry, in bytes.
const MAX_PAGE_BYTES: usize = 16 << 20;
/// Time for the answer of one entry.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// The page at `path` of an entry.
///
/// # Errors
///
/// Fails if the entry does not answer in time.
pub async fn fetch(address: SocketAddr, path: &str) -> CliResult<Bytes> {
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
    body.ok_or_else(|| CliError::failed(format!("{address} does not answer")))
}
