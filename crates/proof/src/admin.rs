//! HTTP client for the admin interface of the stand-ins: faults, records and VM list.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, Snafu, ensure};
use tokio::time;

/// Longest wait for a complete answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// An admin call or health check got no answer in time, or an unexpected one.
#[derive(Debug, Snafu)]
#[snafu(display("http://{address}{path}: no answer within 5 s, or an unexpected one"))]
pub struct AdminError {
    address: SocketAddr,
    path: String,
}

/// Result of an admin call.
pub type Result<T, E = AdminError> = std::result::Result<T, E>;

async fn call(address: SocketAddr, method: Method, path: &str, body: Bytes) -> Result<Bytes> {
    let context = AdminSnafu { address, path };
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let uri = format!("http://{address}{path}");
    let request = Request::builder().method(method).uri(uri).body(Full::new(body));
    let request = request.ok().context(context)?;
    let exchange = async {
        let response = client.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, body))
    };
    let answer = time::timeout(TIMEOUT, exchange).await.ok().flatten();
    let (status, body) = answer.context(context)?;
    ensure!(status == StatusCode::OK || status == StatusCode::NO_CONTENT, context);
    Ok(body)
}

/// Reads a JSON document with GET.
///
/// # Errors
///
/// Fails if no answer arrives within 5 s, its status is not 200 or 204, or its body cannot be
/// decoded as `T`.
pub async fn read<T>(address: SocketAddr, path: &str) -> Result<T>
where
    T: DeserializeOwned,
{
    let body = call(address, Method::GET, path, Bytes::new()).await?;
    serde_json::from_slice(&body).ok().context(AdminSnafu { address, path })
}

/// Replaces a JSON document with PUT.
///
/// # Errors
///
/// Fails if no answer arrives within 5 s or its status is not 200 or 204.
pub async fn replace<T>(address: SocketAddr, path: &str, document: &T) -> Result<()>
where
    T: Serialize + Sync,
{
    let body = serde_json::to_vec(document).ok().context(AdminSnafu { address, path })?;
    call(address, Method::PUT, path, Bytes::from(body)).await.map(drop)
}

/// Whether GET of a health check answers with status 200 or 204.
pub async fn is_ok(address: SocketAddr, path: &str) -> bool {
    call(address, Method::GET, path, Bytes::new()).await.is_ok()
}
