//! JSON messages of the engine.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use super::CacheTier;

/// Tokens generated when a request names no number.
const DEFAULT_TOKENS: u32 = 16;

/// A model, or an adapter on its base model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelKey {
    /// The model.
    pub model: String,
    /// Adapter on the model, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
}

impl ModelKey {
    /// Name under which requests find this model or adapter.
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
    /// What to load.
    #[serde(flatten)]
    pub key: ModelKey,
    /// Memory needed, in bytes.
    pub bytes: u64,
    /// Fencing number of the one who orders.
    #[serde(default)]
    pub fencing: Option<u64>,
}

/// Order to unload a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadOrder {
    /// What to unload.
    #[serde(flatten)]
    pub key: ModelKey,
    /// Fencing number of the one who orders.
    #[serde(default)]
    pub fencing: Option<u64>,
}

/// State of a model on the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ModelState {
    /// The model is being loaded.
    Loading,
    /// The model answers requests.
    Loaded,
    /// The model is being unloaded.
    Unloading,
}

/// One model of a listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelListing {
    /// The model or adapter.
    #[serde(flatten)]
    pub key: ModelKey,
    /// Its state.
    pub state: ModelState,
    /// Memory taken, in bytes.
    pub bytes: u64,
    /// Fencing number of its load order.
    pub fencing: Option<u64>,
}

/// Answer to `GET /admin/list`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineListing {
    /// Number of crashes so far.
    pub life: u64,
    /// Models and adapters that take memory.
    pub models: Vec<ModelListing>,
    /// Cached checkpoints.
    pub cached: BTreeMap<String, CacheTier>,
    /// Memory for models and adapters, in bytes.
    pub memory_bytes: u64,
    /// Memory taken, in bytes.
    pub used_bytes: u64,
}

/// Answer to `GET /admin/load_report`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Sequences being generated.
    pub running: usize,
    /// Sequences that wait for a place in the batch.
    pub waiting: usize,
    /// Memory taken, in bytes.
    pub used_bytes: u64,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// Body of `POST /v1/chat/completions`; further fields are ignored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model or adapter asked.
    pub model: String,
    /// Adapter on the model, if it is not named by `model`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Tokens to generate.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Requests of a higher priority enter the batch first.
    #[serde(default)]
    pub priority: i32,
    /// First token to generate, for an answer that is resumed.
    #[serde(default)]
    pub resume_from: u32,
}

fn default_tokens() -> u32 {
    DEFAULT_TOKENS
}

impl ChatRequest {
    /// Name under which the model or adapter is served.
    pub fn served_name(&self) -> &str {
        self.adapter.as_deref().unwrap_or(&self.model)
    }

    /// All messages as one text.
    pub fn prompt(&self) -> String {
        self.messages.iter().map(|message| message.content.as_str()).collect::<Vec<_>>().join("\n")
    }
}

/// Order to cancel a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelOrder {
    /// The request.
    pub request_id: String,
}

/// What became of a cancelled request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CancelState {
    /// The engine does not have the request.
    Unknown,
    /// The request waited and was never executed.
    Waiting,
    /// The request was being executed.
    Running,
}
