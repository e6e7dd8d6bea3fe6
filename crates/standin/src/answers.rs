//! What a correct backend server answers: a deterministic function of the request.

use sha2::{Digest, Sha256};

/// Bytes of a digest that are shown, as hexadecimal digits.
const SHOWN_DIGEST_BYTES: usize = 8;

/// Shortened SHA-256 of `parts`, as hexadecimal digits.
pub fn digest_of(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.len().to_le_bytes());
        hasher.update(part);
    }
    hex::encode(&hasher.finalize()[..SHOWN_DIGEST_BYTES])
}

/// Token `index` of the answer to `prompt`; the first one is a digest of model and prompt.
pub fn answer_token(model: &str, prompt: &str, index: u32) -> String {
    let parts = [model.as_bytes(), prompt.as_bytes()];
    if index == 0 {
        return digest_of(&parts);
    }
    let word = digest_of(&[parts[0], parts[1], &index.to_le_bytes()]);
    format!(" {}", &word[..5])
}

/// The whole answer to `prompt` with `tokens` tokens.
pub fn answer_text(model: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| answer_token(model, prompt, index)).collect()
}

/// Digest that a plain service echoes for a call.
pub fn call_digest(service: &str, method: &str, path: &str, body: &[u8]) -> String {
    digest_of(&[service.as_bytes(), method.as_bytes(), path.as_bytes(), body])
}
