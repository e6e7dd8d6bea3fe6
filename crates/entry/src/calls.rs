//! Parsing and authorization of callers' requests.

use std::{borrow::Cow, sync::Arc};

use base::prelude::*;
use bytes::Bytes;
use http::{HeaderMap, Method};
use lists::{
    AdapterEntry, CallerRights, ListSet, ModelEntry, RequestTarget, ServiceEntry, WorkClass,
};
use percent_encoding::percent_decode_str;
use serde::Deserialize;
use wire::{credit::CreditTarget, run::HeaderField};

/// Path prefix of calls to plain services.
const SERVICES_PREFIX: &str = "/services/";
/// Request headers that are forwarded to backend servers.
const FORWARDED_HEADERS: [&str; 4] = ["content-type", "accept", "idempotency-key", CLASS_HEADER];
/// Path of chat completions, both at the entry and at model engines.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Header with the caller's time limit, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the work class of the request.
const CLASS_HEADER: &str = "x-request-class";
/// Header with the idempotency key; ignored for retryable service calls.
const KEY_HEADER: &str = "idempotency-key";

/// Result of parsing a request.
pub type Result<T, E = ResultCode> = std::result::Result<T, E>;

/// Model or service that a request addresses.
#[derive(Debug, Clone)]
pub enum CallTarget {
    /// A model, or an adapter on that model.
    Model {
        /// Model that must be loaded.
        base: Arc<ModelEntry>,
        /// Adapter named by the request; `None` for the plain model.
        adapter: Option<Arc<AdapterEntry>>,
    },
    /// A service that is not a model.
    Service(Arc<ServiceEntry>),
}

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryRule {
    /// It may run again after an attempt with an unknown outcome.
    Retryable,
    /// It runs at most once: only attempts that did not run are retried.
    AtMostOnce,
}

/// How the answer is sent to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerMode {
    /// Buffered until it is complete.
    Buffered,
    /// Forwarded as it arrives.
    Stream,
}

/// A parsed request that its caller is allowed to make.
#[derive(Debug, Clone)]
pub struct CallerCall {
    /// Random id assigned by this entry.
    pub id: RequestId,
    /// Customer and plan of the caller.
    pub rights: CallerRights,
    /// Work class: from the request header, else the default of the target.
    pub class: WorkClass,
    /// Model or service addressed.
    pub target: CallTarget,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the backend server.
    pub path: String,
    /// Headers that are forwarded to the backend server.
    pub headers: Vec<HeaderField>,
    /// Complete request body.
    pub body: Bytes,
    /// Arrival plus the caller's time limit, or the default of the class if it gave none.
    pub deadline: Instant,
    /// Idempotency key; `None` if the caller gave none or the request is a retryable service call.
    pub key: Option<IdempotencyKey>,
    /// Whether the request may be executed more than once.
    pub retry_rule: RetryRule,
    /// Whether the answer is buffered or streamed.
    pub mode: AnswerMode,
    /// Limit of generated tokens set by the caller; zero if it set none.
    pub max_tokens: u64,
}

/// Method, path and headers of an HTTP request.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// All headers of the request.
    pub headers: HeaderMap,
}

/// Fields of a chat completion that the entry reads; the others are forwarded without being parsed.
#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: u64,
}

impl CallerCall {
    /// Parses a chat completion of the caller with these rights.
    ///
    /// # Errors
    ///
    /// Fails if the body or a header is malformed or the lists do not permit the model.
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
        let mode = if chat.stream { AnswerMode::Stream } else { AnswerMode::Buffered };
        let key = idempotency_key(&head.headers)?;
        let retry_rule = match key {
            Some(_) => RetryRule::AtMostOnce,
            None => RetryRule::Retryable,
        };
        let mut call = Self::new(rights, target, head, body, now)?;
        call.path = CHAT_PATH.to_owned();
        call.key = key;
        call.retry_rule = retry_rule;
        call.mode = mode;
        call.max_tokens = chat.max_tokens;
        Ok(call)
    }

    /// Parses a call of the plain service `name` by the caller with these rights.
    ///
    /// # Errors
    ///
    /// Fails if a header is malformed or the lists do not permit the service.
    pub fn service(
        lists: &ListSet,
        rights: CallerRights,
        name: &str,
        head: &CallHead,
        body: Bytes,
        now: Instant,
    ) -> Result<Self> {
        let service = lists.plain_service(&rights, name)?;
        let retry_rule = match service.may_retry(head.method.as_str()) {
            true => RetryRule::Retryable,
            false => RetryRule::AtMostOnce,
        };
        let key = idempotency_key(&head.headers)?;
        let mut call = Self::new(rights, CallTarget::Service(service), head, body, now)?;
        call.key = key.filter(|_| retry_rule == RetryRule::AtMostOnce);
        call.retry_rule = retry_rule;
        Ok(call)
    }

    fn new(
        rights: CallerRights,
        target: CallTarget,
        head: &CallHead,
        body: Bytes,
        now: Instant,
    ) -> Result<Self> {
        let class = requested_class(&head.headers)?.unwrap_or(target.class());
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
            headers: HeaderField::pick(&head.headers, &FORWARDED_HEADERS),
            body,
            deadline: now + limit,
            key: None,
            retry_rule: RetryRule::Retryable,
            mode: AnswerMode::Buffered,
            max_tokens: 0,
        })
    }

    /// Checks the caller's key and its right to the target again, by the current `lists`.
    ///
    /// # Errors
    ///
    /// Fails if they no longer permit the call.
    pub fn check_rights(&self, lists: &ListSet) -> Result<()> {
        let rights = lists.caller(&self.rights.key)?;
        if rights.customer.id != self.rights.customer.id {
            return Err(ResultCode::UnknownCustomer);
        }
        match &self.target {
            CallTarget::Model { base, adapter: None } => {
                lists.target(&rights, base.id.as_str()).map(drop)
            }
            CallTarget::Model { adapter: Some(adapter), .. } => {
                lists.target(&rights, adapter.id.as_str()).map(drop)
            }
            CallTarget::Service(service) => {
                lists.plain_service(&rights, service.name.as_str()).map(drop)
            }
        }
    }

    /// The target in the form used in messages to owners.
    pub fn wire_target(&self) -> CreditTarget {
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
    /// Memory that the adapter needs in addition to the model; zero without an adapter.
    pub fn adapter_memory(&self) -> ByteSize {
        match self {
            CallTarget::Model { adapter: Some(adapter), .. } => adapter.memory,
            CallTarget::Model { adapter: None, .. } | CallTarget::Service(_) => ByteSize(0),
        }
    }

    /// Default work class, used if the request names none.
    pub fn class(&self) -> WorkClass {
        match self {
            CallTarget::Model { base, .. } => base.class,
            CallTarget::Service(service) => service.class,
        }
    }
}

/// Decodes the name of the service from the path and query of a call.
///
/// # Errors
///
/// [`ResultCode::UnknownModel`] if the path is none of a service or its name is not UTF-8.
pub fn service_name(path: &str) -> Result<String> {
    let rest = path.strip_prefix(SERVICES_PREFIX).ok_or(ResultCode::UnknownModel)?;
    let name = rest.split(['/', '?']).next().unwrap_or_default();
    let decoded = percent_decode_str(name).decode_utf8();
    decoded.map(Cow::into_owned).map_err(|_| ResultCode::UnknownModel)
}

/// Identifies the caller by the bearer key in the `Authorization` header.
///
/// # Errors
///
/// [`ResultCode::UnknownCustomer`] if the key is missing or unknown.
pub fn authenticate(lists: &ListSet, headers: &HeaderMap) -> Result<CallerRights> {
    let value = headers.get(http::header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    let key = key.ok_or(ResultCode::UnknownCustomer)?;
    lists.caller(&KeyHash::of_key(key.trim()))
}

/// Work class named in the request header; `None` without the header.
fn requested_class(headers: &HeaderMap) -> Result<Option<WorkClass>> {
    let Some(value) = headers.get(CLASS_HEADER) else { return Ok(None) };
    let class = value.to_str().ok().and_then(|text| text.parse().ok());
    class.map(Some).ok_or(ResultCode::MalformedRequest)
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>> {
    let Some(value) = headers.get(KEY_HEADER) else { return Ok(None) };
    let text = value.to_str().map_err(|_| ResultCode::MalformedRequest)?;
    IdempotencyKey::new(text).map(Some).map_err(|_| ResultCode::MalformedRequest)
}
