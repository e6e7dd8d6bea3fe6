//! Streams that callers take up again after the last event that they have received.

use base::prelude::*;
use catalog::Route;
use dispatch::{CallHead, CallId, Refusal};
use events::{DecisionEvent, millis};
use origins::{StreamKey, StreamOrigin};

use crate::{backends::WaitEnd, process::Gateway, trace::CallTrace};

/// Key of a stream that may be resumed: that of the try which brought its first event.
pub fn stream_key(route: &Route, head: &CallHead) -> Option<StreamKey> {
    let first_call = match &head.resumed {
        Some(stream) => stream.first_call.as_ref(),
        None => head.call.as_ref(),
    };
    first_call.filter(|_| is_resumable(route)).map(|CallId(call)| StreamKey::of_call(call))
}

fn is_resumable(route: &Route) -> bool {
    route.kind.is_streaming() && route.kind.may_retry()
}

/// The service and software version at which a stream that the caller takes up again may go on; none
/// for other requests.
///
/// # Errors
///
/// Returns the refusal of a stream that cannot go on.
pub async fn find_origin(
    gateway: &Gateway,
    trace: &CallTrace,
    route: &Route,
    head: &CallHead,
    service: &ServiceName,
    deadline: Instant,
) -> Result<Option<StreamOrigin>, Refusal> {
    let Some(stream) = head.resumed.as_ref().filter(|_| is_resumable(route)) else {
        return Ok(None);
    };
    let asked = Instant::now();
    let found = tokio::select! {
        found = gateway.fleet.find_version(stream, route, service) => found,
        end = gateway.backends.wait_for_deadline(deadline) => return Err(match end {
            WaitEnd::DeadlinePassed => Refusal::new(ResultCode::DeadlinePassed, "deadline passed"),
            WaitEnd::ProcessEnds => Refusal::stopping(Duration::ZERO),
        }),
    };
    let (software, source) = match &found {
        Ok((origin, source)) => (origin.software.as_str(), source.text()),
        Err(lost) => ("", lost.text()),
    };
    trace.record(&DecisionEvent::StreamOrigin {
        call: trace.call(),
        software,
        source,
        after_ms: millis(asked.elapsed()),
    });
    match found {
        Ok((origin, _)) => Ok(Some(origin)),
        Err(lost) => Err(Refusal::new(ResultCode::NoReplica, lost.reason())),
    }
}
