//! Refusals as callers see them.

use base::prelude::*;
use serde::Serialize;
use viz::{Response, ResponseExt, StatusCode, header::HeaderValue};

/// Pause suggested when nothing better is known, in seconds.
const DEFAULT_RETRY_AFTER: u64 = 1;

/// Why a request was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRefusal {
    /// Result code.
    pub code: ResultCode,
    /// Whether any part can have been executed.
    pub state: RunState,
    /// When to try again.
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
    /// The body of the refusal of request `id`, as JSON.
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

    /// The answer to the caller of request `id`.
    pub fn response(&self, id: RequestId) -> Response {
        let body = http_body_util::Full::from(self.body(id));
        let mut response = Response::with(body, "application/json");
        let status = StatusCode::from_u16(self.code.http_status());
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        if self.code.is_retryable() {
            let seconds = self.retry_after.map_or(DEFAULT_RETRY_AFTER, |after| after.as_secs());
            let value = HeaderValue::from(seconds.max(DEFAULT_RETRY_AFTER));
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
