//! Callers that leave a stream and take it up again.

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use platform_standin::caller;

use super::{HOST, send};

/// Timeout that callers of these streams state.
const STREAM_TIMEOUT: Duration = Duration::from_secs(6);

/// Where a caller takes a stream up.
#[derive(Debug, Clone)]
pub struct TakeUp<'a> {
    /// Id of the last event that the caller has.
    pub last_event: u64,
    /// Id of the caller's attempt that brought the first event.
    pub resumes: Option<&'a str>,
}

/// A request for a resumable stream, from its start or taken up.
pub fn resumable(model: &str, call: &str, take_up: Option<&TakeUp<'_>>) -> Request<Full<Bytes>> {
    let request = caller::request("POST", HOST, "/report/", call, STREAM_TIMEOUT);
    let mut request = caller::with_model(request, model, 600, 60);
    if let Some(take_up) = take_up {
        request = request.header("last-event-id", take_up.last_event);
        if let Some(first) = take_up.resumes {
            request = request.header("resumes", first);
        }
    }
    request.body(Full::from("a prompt")).expect("a valid request")
}

/// Reads a stream until it has brought `count` events, then drops the connection. Returns the
/// number of complete events, or why they did not arrive.
pub async fn read_events(
    gateway: SocketAddr,
    request: Request<Full<Bytes>>,
    count: u64,
) -> Result<u64, String> {
    let (_connection, response) =
        send(gateway, request).await.map_err(|error| error.to_string())?;
    let (parts, mut body) = response.into_parts();
    if parts.status != 200 {
        return Err(format!("status {}", parts.status));
    }
    let mut text = String::new();
    loop {
        let events = text.matches("\n\n").count() as u64;
        if events >= count {
            return Ok(events);
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                text.push_str(&String::from_utf8_lossy(&data));
            }
            Some(Err(error)) => return Err(format!("broken off after {events} events: {error}")),
            None => return Err(format!("ended after {events} events")),
        }
    }
}
