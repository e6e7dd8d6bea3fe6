//! Verification of answers against what a correct backend server would have answered.

use std::fmt;

use base::prelude::*;
use serde_json::Value;

use super::{ChatCall, ServiceCall};
use crate::{
    answers::{answer_text, call_digest},
    service::CallAnswer,
};

/// What became of a request, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallVerdict {
    /// The whole and right answer came.
    Whole,
    /// A numbered refusal or failure came.
    Refused {
        /// Result code.
        code: ResultCode,
        /// Whether the request can have been executed, as told to the caller.
        run: RunState,
    },
    /// The answer ended early as if it were whole.
    Cut,
    /// The connection broke within the answer, so that the caller can tell that it is not whole.
    Broken,
    /// A whole answer came, but not the one to this request.
    Crossed,
    /// Neither an answer nor a refusal came.
    Lost,
    /// A refusal came that cannot be read.
    Unreadable,
}

impl fmt::Display for CallVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallVerdict::Whole => f.write_str("whole"),
            CallVerdict::Refused { code, run } => write!(f, "refused {code}, {run}"),
            CallVerdict::Cut => f.write_str("cut"),
            CallVerdict::Broken => f.write_str("broken"),
            CallVerdict::Crossed => f.write_str("crossed"),
            CallVerdict::Lost => f.write_str("lost"),
            CallVerdict::Unreadable => f.write_str("unreadable"),
        }
    }
}

fn run_state(text: &str) -> Option<RunState> {
    [RunState::NotRun, RunState::MayHaveRun].into_iter().find(|state| state.to_string() == text)
}

fn refusal_of(message: &Value) -> Option<CallVerdict> {
    let error = message.get("error").unwrap_or(message);
    let number = error.get("code")?.as_u64()?;
    let code = ResultCode::from_number(u32::try_from(number).ok()?)?;
    let run = run_state(error.get("state")?.as_str()?)?;
    Some(CallVerdict::Refused { code, run })
}

/// Reads a refusal.
pub fn read_refusal(body: &[u8]) -> CallVerdict {
    let message = serde_json::from_slice::<Value>(body).ok();
    message.as_ref().and_then(refusal_of).unwrap_or(CallVerdict::Unreadable)
}

fn compare(found: &str, expected: &str) -> CallVerdict {
    match found {
        _ if found == expected => CallVerdict::Whole,
        _ if expected.starts_with(found) => CallVerdict::Cut,
        _ => CallVerdict::Crossed,
    }
}

/// Judges a plain answer to a chat completion.
pub fn read_chat(call: &ChatCall, body: &[u8]) -> CallVerdict {
    let Ok(message) = serde_json::from_slice::<Value>(body) else {
        return CallVerdict::Cut;
    };
    let content = message.pointer("/choices/0/message/content").and_then(Value::as_str);
    match content {
        Some(content) => compare(content, &answer_text(&call.model, &call.prompt, call.tokens)),
        None => refusal_of(&message).unwrap_or(CallVerdict::Cut),
    }
}

/// Judges a streamed answer to a chat completion.
pub fn read_stream(call: &ChatCall, body: &[u8]) -> CallVerdict {
    let text = String::from_utf8_lossy(body);
    let mut content = String::new();
    for data in text.split("\n\n").filter_map(|event| event.trim_start().strip_prefix("data:")) {
        let data = data.trim();
        if data == "[DONE]" {
            return compare(&content, &answer_text(&call.model, &call.prompt, call.tokens));
        }
        let Ok(message) = serde_json::from_str::<Value>(data) else {
            return CallVerdict::Cut;
        };
        if let Some(refusal) = refusal_of(&message) {
            return refusal;
        }
        let token = message.pointer("/choices/0/delta/content").and_then(Value::as_str);
        content.push_str(token.unwrap_or_default());
    }
    CallVerdict::Cut
}

/// Judges the answer of a plain service.
pub fn read_service(call: &ServiceCall, body: &[u8]) -> CallVerdict {
    let Ok(answer) = serde_json::from_slice::<CallAnswer>(body) else {
        return CallVerdict::Cut;
    };
    let path = format!("/services/{}{}", call.service, call.path);
    let expected = call_digest(&call.service, &call.method, &path, call.body.as_bytes());
    match answer.digest == expected {
        true => CallVerdict::Whole,
        false => CallVerdict::Crossed,
    }
}
