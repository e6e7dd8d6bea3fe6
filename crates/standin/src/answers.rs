//! Answers of a correct backend server: a deterministic function of the request, so that a caller
//! can verify them.

use sha2::{Digest, Sha256};

/// Bytes of the SHA-256 hash that a short digest keeps.
const DIGEST_PREFIX_BYTES: usize = 8;

/// First 8 bytes of the SHA-256 hash of `parts`, as hexadecimal digits.
///
/// Each part is hashed after its length, so that `["ab", "c"]` and `["a", "bc"]` differ.
pub fn short_digest(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.len().to_le_bytes());
        hasher.update(part);
    }
    hex::encode(&hasher.finalize()[..DIGEST_PREFIX_BYTES])
}

/// Token `index` of the answer of `model` to `prompt`; token 0 is the digest of model and prompt.
pub fn answer_token(model: &str, prompt: &str, index: u32) -> String {
    let parts = [model.as_bytes(), prompt.as_bytes()];
    if index == 0 {
        return short_digest(&parts);
    }
    let word = short_digest(&[parts[0], parts[1], &index.to_le_bytes()]);
    format!(" {}", &word[..5])
}

/// Complete answer of `model` to `prompt`, `tokens` tokens long.
pub fn answer_text(model: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| answer_token(model, prompt, index)).collect()
}

/// Digest with which a plain service answers a call; `path` begins with `/services/<name>`.
pub fn call_digest(service: &str, method: &str, path: &str, body: &[u8]) -> String {
    short_digest(&[service.as_bytes(), method.as_bytes(), path.as_bytes(), body])
}
