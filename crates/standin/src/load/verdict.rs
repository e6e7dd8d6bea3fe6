//! Verifies answers against those of a correct backend server.

use std::fmt;

use base::prelude::*;
use serde_json::Value;

use super::{ChatCall, ServiceCall};
use crate::{
    answers::{answer_text, call_digest},
    service::CallAnswer,
};

/// Result of a request, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallVerdict {
    /// The answer is complete and correct.
    Complete,
    /// The answer is an error with a result code.
    Refused {
        /// Result code in the answer.
        code: ResultCode,
        /// Whether the request can have been executed, as stated in the answer.
        run: RunState,
    },
    /// The answer is too short or cannot be parsed, but ended without an error, so that a caller
    /// can take it for complete.
    Truncated,
    /// The connection failed or the time ran out within the body; the caller can detect that the
    /// answer is not complete.
    Interrupted,
    /// The answer has another content than expected, such as that of the answer to another request.
    Mismatched,
    /// No byte of a body arrived before the connection failed or the time ran out.
    NoAnswer,
    /// The answer has an error status, but its body has no valid code and run state.
    InvalidRefusal,
}

impl fmt::Display for CallVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallVerdict::Complete => f.write_str("whole"),
            CallVerdict::Refused { code, run } => write!(f, "refused {code}, {run}"),
            CallVerdict::Truncated => f.write_str("cut"),
            CallVerdict::Interrupted => f.write_str("broken"),
            CallVerdict::Mismatched => f.write_str("crossed"),
            CallVerdict::NoAnswer => f.write_str("lost"),
            CallVerdict::InvalidRefusal => f.write_str("unreadable"),
        }
    }
}

fn parse_run_state(text: &str) -> Option<RunState> {
    [RunState::NotRun, RunState::MayHaveRun].into_iter().find(|state| state.to_string() == text)
}

fn refusal_in(message: &Value) -> Option<CallVerdict> {
    let error = message.get("error").unwrap_or(message);
    let number = error.get("code")?.as_u64()?;
    let code = ResultCode::from_number(u32::try_from(number).ok()?)?;
    let run = parse_run_state(error.get("state")?.as_str()?)?;
    Some(CallVerdict::Refused { code, run })
}

/// Parses the body of an answer with an error status.
pub fn parse_refusal(body: &[u8]) -> CallVerdict {
    let message = serde_json::from_slice::<Value>(body).ok();
    message.as_ref().and_then(refusal_in).unwrap_or(CallVerdict::InvalidRefusal)
}

fn compare_content(found: &str, expected: &str) -> CallVerdict {
    match found {
        _ if found == expected => CallVerdict::Complete,
        _ if expected.starts_with(found) => CallVerdict::Truncated,
        _ => CallVerdict::Mismatched,
    }
}

/// Verifies the body of a chat completion that is not streamed.
pub fn verify_chat(call: &ChatCall, body: &[u8]) -> CallVerdict {
    let Ok(message) = serde_json::from_slice::<Value>(body) else {
        return CallVerdict::Truncated;
    };
    let content = message.pointer("/choices/0/message/content").and_then(Value::as_str);
    match content {
        Some(content) => {
            compare_content(content, &answer_text(&call.model, &call.prompt, call.tokens))
        }
        None => refusal_in(&message).unwrap_or(CallVerdict::Truncated),
    }
}

/// Verifies the body of a streamed chat completion.
pub fn verify_stream(call: &ChatCall, body: &[u8]) -> CallVerdict {
    let text = String::from_utf8_lossy(body);
    let mut content = String::new();
    for data in text.split("\n\n").filter_map(|event| event.trim_start().strip_prefix("data:")) {
        let data = data.trim();
        if data == "[DONE]" {
            return compare_content(&content, &answer_text(&call.model, &call.prompt, call.tokens));
        }
        let Ok(message) = serde_json::from_str::<Value>(data) else {
            return CallVerdict::Truncated;
        };
        if let Some(refusal) = refusal_in(&message) {
            return refusal;
        }
        let token = message.pointer("/choices/0/delta/content").and_then(Value::as_str);
        content.push_str(token.unwrap_or_default());
    }
    CallVerdict::Truncated
}

/// Verifies the body of the answer of a plain service.
pub fn verify_service(call: &ServiceCall, body: &[u8]) -> CallVerdict {
    let Ok(answer) = serde_json::from_slice::<CallAnswer>(body) else {
        return CallVerdict::Truncated;
    };
    let path = format!("/services/{}{}", call.service, call.path);
    let expected = call_digest(&call.service, &call.method, &path, call.body.as_bytes());
    match answer.digest == expected {
        true => CallVerdict::Complete,
        false => CallVerdict::Mismatched,
    }
}
