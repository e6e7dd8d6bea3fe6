//! A caller's request after it has been read and permitted.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use http::{HeaderMap, Method};
use lists::{
    AdapterEntry, CallerRights, ListSet, ModelEntry, RequestTarget, ServiceEntry, WorkClass,
};
use serde::Deserialize;
use wire::{credit::CreditTarget, run::HeaderField};

/// Headers of a request that are passed on to backend servers.
const PASSED_HEADERS: [&str; 4] = ["content-type", "accept", "idempotency-key", CLASS_HEADER];
/// Path of chat completions, here and at model engines.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Header in which a caller gives its time limit, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header in which a caller names the class of its work.
const CLASS_HEADER: &str = "x-request-class";
/// Header in which a caller names the operation, so that it runs at most once.
const KEY_HEADER: &str = "idempotency-key";

/// Result of reading a request.
pub type Result<T, E = ResultCode> = std::result::Result<T, E>;

/// What a request is for.
#[derive(Debug, Clone)]
pub enum CallTarget {
    /// A model, or an adapter on it.
    Model {
        /// The model that must be loaded.
        base: Arc<ModelEntry>,
        /// Adapter, if one was named.
        adapter: Option<Arc<AdapterEntry>>,
    },
    /// A plain service.
    Service(Arc<ServiceEntry>),
}

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// It may be repeated.
    Repeatable,
    /// It may be executed at most once.
    AtMostOnce,
}

/// How the answer is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerMode {
    /// Held back until it is whole.
    Whole,
    /// Passed on as it arrives.
    Stream,
}

/// A request that may be served.
#[derive(Debug, Clone)]
pub struct CallerCall {
    /// Identity given by this entry.
    pub id: RequestId,
    /// The caller.
    pub rights: CallerRights,
    /// Class of its work.
    pub class: WorkClass,
    /// What it is for.
    pub target: CallTarget,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the backend server.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Bytes,
    /// End of the time for the request.
    pub deadline: Instant,
    /// Key under which it runs at most once.
    pub key: Option<IdempotencyKey>,
    /// Whether it may be repeated.
    pub repeat: RepeatRule,
    /// How the answer is to be sent.
    pub mode: AnswerMode,
    /// Largest number of tokens wanted, or zero.
    pub max_tokens: u64,
}

/// Head of a request as the HTTP server read it.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
}

/// The keys of a chat completion that matter here.
#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: u64,
}

impl CallerCall {
    /// Reads a chat completion of the caller with these rights.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed or the lists do not permit the model.
    pub fn chat(
        lists: &ListSet,
        rights: CallerRights,
        head: &CallHead,
        body: Bytes,
        now: Instant,
    ) -> Result<Self> {
        let chat: ChatBody =
            serde_json::from_slice(&body).map_err(|_| ResultCode::MalformedRequest)?;
        let target = match lists.target(&rights, &chat.model)? {
            RequestTarget::Model(base) => CallTarget::Model { base, adapter: None },
            RequestTarget::Adapter { adapter, base } => {
                CallTarget::Model { base, adapter: Some(adapter) }
            }
        };
        let mode = if chat.stream { AnswerMode::Stream } else { AnswerMode::Whole };
        let key = idempotency_key(&head.headers)?;
        let repeat = match key {
            Some(_) => RepeatRule::AtMostOnce,
            None => RepeatRule::Repeatable,
        };
        let mut call = Self::new(rights, target, head, body, now)?;
        call.path = CHAT_PATH.to_owned();
        call.key = key;
        call.repeat = repeat;
        call.mode = mode;
        call.max_tokens = chat.max_tokens;
        Ok(call)
    }

    /// Reads a call of the plain service `name` by the caller with these rights.
    ///
    /// # Errors
    ///
    /// Fails if the lists do not permit the service.
    pub fn service(
        lists: &ListSet,
        rights: CallerRights,
        name: &str,
        head: &CallHead,
        body: Bytes,
        now: Instant,
    ) -> Result<Self> {
        let service = lists.plain_service(&rights, name)?;
        let repeat = match service.may_repeat(head.method.as_str()) {
            true => RepeatRule::Repeatable,
            false => RepeatRule::AtMostOnce,
        };
        let key = idempotency_key(&head.headers)?;
        let mut call = Self::new(rights, CallTarget::Service(service), head, body, now)?;
        call.key = key.filter(|_| repeat == RepeatRule::AtMostOnce);
        call.repeat = repeat;
        Ok(call)
    }

    fn new(
        rights: CallerRights,
        target: CallTarget,
        head: &CallHead,
        body: Bytes,
        now: Instant,
    ) -> Result<Self> {
        let class = named_class(&head.headers)?.unwrap_or(target.class());
        let limit = match head.headers.get(DEADLINE_HEADER) {
            Some(value) => {
                let millis = value.to_str().ok().and_then(|text| text.parse().ok());
                Duration::from_millis(millis.ok_or(ResultCode::MalformedRequest)?)
            }
            None => rights.objectives().of_class(class).deadline.0,
        };
        Ok(Self {
            id: RequestId::random(),
            rights,
            class,
            target,
            method: head.method.clone(),
            path: head.path.clone(),
            headers: HeaderField::pick(&head.headers, &PASSED_HEADERS),
            body,
            deadline: now + limit,
            key: None,
            repeat: RepeatRule::Repeatable,
            mode: AnswerMode::Whole,
            max_tokens: 0,
        })
    }

    /// What owners are asked for.
    pub fn ask_target(&self) -> CreditTarget {
        match &self.target {
            CallTarget::Model { base, adapter } => CreditTarget {
                model: base.id.to_string(),
                adapter: adapter.as_ref().map(|adapter| adapter.id.to_string()).unwrap_or_default(),
                service: base.service.to_string(),
            },
            CallTarget::Service(service) => {
                CreditTarget { service: service.name.to_string(), ..CreditTarget::default() }
            }
        }
    }
}

impl CallTarget {
    /// Memory that the adapter takes beside the model; zero without one.
    pub fn adapter_memory(&self) -> ByteSize {
        match self {
            CallTarget::Model { adapter: Some(adapter), .. } => adapter.memory,
            CallTarget::Model { adapter: None, .. } | CallTarget::Service(_) => ByteSize(0),
        }
    }

    /// Class of work, unless the request tells otherwise.
    pub fn class(&self) -> WorkClass {
        match self {
            CallTarget::Model { base, .. } => base.class,
            CallTarget::Service(service) => service.class,
        }
    }
}

/// The caller whose key the headers show.
///
/// # Errors
///
/// [`ResultCode::UnknownCustomer`] if there is no key or nobody has it.
pub fn caller(lists: &ListSet, headers: &HeaderMap) -> Result<CallerRights> {
    let value = headers.get(http::header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    let key = key.ok_or(ResultCode::UnknownCustomer)?;
    lists.caller(&KeyHash::of_key(key.trim()))
}

/// The class that the request names.
fn named_class(headers: &HeaderMap) -> Result<Option<WorkClass>> {
    let Some(value) = headers.get(CLASS_HEADER) else { return Ok(None) };
    let class = value.to_str().ok().and_then(|text| text.parse().ok());
    class.map(Some).ok_or(ResultCode::MalformedRequest)
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>> {
    let Some(value) = headers.get(KEY_HEADER) else { return Ok(None) };
    let text = value.to_str().map_err(|_| ResultCode::MalformedRequest)?;
    IdempotencyKey::new(text).map(Some).map_err(|_| ResultCode::MalformedRequest)
}
