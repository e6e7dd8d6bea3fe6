//! JSON messages of the engine API.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use super::CacheTier;

/// Tokens generated if a request has no `max_tokens`.
const DEFAULT_TOKENS: u32 = 16;

/// A model, or an adapter on its base model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelKey {
    /// Name of the base model.
    pub model: String,
    /// Name of the adapter; `None` for the base model itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
}

impl ModelKey {
    /// Name by which requests address it: the adapter, or else the model.
    pub fn served_name(&self) -> &str {
        self.adapter.as_deref().unwrap_or(&self.model)
    }
}

impl fmt::Display for ModelKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.served_name())
    }
}

/// Order to load a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Model or adapter to load.
    #[serde(flatten)]
    pub key: ModelKey,
    /// Memory needed, in bytes.
    pub bytes: u64,
    /// Fencing number of the sender; `None` counts as 0.
    #[serde(default)]
    pub fencing: Option<u64>,
}

/// Order to unload a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadOrder {
    /// Model or adapter to unload.
    #[serde(flatten)]
    pub key: ModelKey,
    /// Fencing number of the sender; `None` counts as 0.
    #[serde(default)]
    pub fencing: Option<u64>,
}

/// State of a model or adapter on the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ModelState {
    /// The model is being loaded.
    Loading,
    /// The model serves requests.
    Loaded,
    /// The model is being unloaded.
    Unloading,
}

/// One model or adapter of a listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelListing {
    /// Model or adapter.
    #[serde(flatten)]
    pub key: ModelKey,
    /// Whether it is loading, loaded or unloading.
    pub state: ModelState,
    /// Memory in use, in bytes.
    pub bytes: u64,
    /// Fencing number of its load order.
    pub fencing: Option<u64>,
}

/// Answer to `GET /admin/list`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineListing {
    /// Number of crashes so far.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Models and adapters that use memory, in any state.
    pub models: Vec<ModelListing>,
    /// Cache tier by model; a missing model is [`CacheTier::Remote`].
    pub cached: BTreeMap<String, CacheTier>,
    /// Memory for models and adapters, in bytes.
    pub memory_bytes: u64,
    /// Memory in use, in bytes.
    pub used_bytes: u64,
}

/// Answer to `GET /admin/load_report`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Sequences being generated.
    pub running: usize,
    /// Sequences that wait for a free slot in the batch.
    pub waiting: usize,
    /// Memory in use, in bytes.
    pub used_bytes: u64,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Author, such as `user` or `assistant`; the stand-in ignores it.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Body of `POST /v1/chat/completions`; further fields are ignored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Requested model or adapter.
    pub model: String,
    /// Requested adapter; `None` if `model` names the model or adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Conversation so far, in order.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Number of tokens of the answer, 16 if absent.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Requests of a higher priority enter the batch first.
    #[serde(default)]
    pub priority: i32,
    /// Index of the first token to generate; above 0 to resume an answer.
    #[serde(default)]
    pub resume_from: u32,
}

fn default_tokens() -> u32 {
    DEFAULT_TOKENS
}

impl ChatRequest {
    /// Name of the requested adapter, or else of the model.
    pub fn served_name(&self) -> &str {
        self.adapter.as_deref().unwrap_or(&self.model)
    }

    /// Contents of all messages, joined by line breaks.
    pub fn prompt(&self) -> String {
        self.messages.iter().map(|message| message.content.as_str()).collect::<Vec<_>>().join("\n")
    }
}

/// Order to cancel a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelOrder {
    /// `x-request-id` of the request to cancel.
    pub request_id: String,
}

/// State in which a cancelled request was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CancelState {
    /// The engine does not have the request.
    Unknown,
    /// The request was waiting and is never executed.
    Waiting,
    /// The request was being executed.
    Running,
}
