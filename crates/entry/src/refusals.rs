//! Refusals sent to callers.

use base::prelude::*;
use serde::Serialize;
use viz::{Response, ResponseExt, StatusCode, header::HeaderValue};

/// Smallest retry delay suggested to callers, in seconds.
const MIN_RETRY_AFTER_SECS: u64 = 1;

/// Why a request was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRefusal {
    /// Result code that states the reason.
    pub code: ResultCode,
    /// Whether any part of the request may have run.
    pub state: RunState,
    /// Suggested retry delay; `None` for the default of one second.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct RefusalBody {
    error: RefusalError,
}

#[derive(Serialize)]
struct RefusalError {
    code: u32,
    message: &'static str,
    state: String,
    request: String,
}

impl CallRefusal {
    /// JSON body of the refusal of request `id`.
    pub fn body(&self, id: RequestId) -> Vec<u8> {
        let body = RefusalBody {
            error: RefusalError {
                code: self.code.number(),
                message: self.code.text(),
                state: self.state.to_string(),
                request: id.to_string(),
            },
        };
        serde_json::to_vec(&body).expect("the body has only text and numbers")
    }

    /// HTTP response to the caller of request `id`.
    pub fn response(&self, id: RequestId) -> Response {
        let body = http_body_util::Full::from(self.body(id));
        let mut response = Response::with(body, "application/json");
        let status = StatusCode::from_u16(self.code.http_status());
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        if self.code.is_retryable() {
            let seconds = self.retry_after.map_or(MIN_RETRY_AFTER_SECS, |after| after.as_secs());
            let value = HeaderValue::from(seconds.max(MIN_RETRY_AFTER_SECS));
            response.headers_mut().insert(viz::header::RETRY_AFTER, value);
        }
        response
    }
}

impl From<ResultCode> for CallRefusal {
    fn from(code: ResultCode) -> Self {
        Self { code, state: code.run_state(), retry_after: None }
    }
}
