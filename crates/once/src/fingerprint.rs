//! Fingerprints that identify retries of a request.

use std::{fmt, str::FromStr};

use base::prelude::*;
use sha2::{Digest, Sha256};
use snafu::Snafu;

/// A fingerprint could not be parsed.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("{text:?} is not a fingerprint of 64 hexadecimal digits"))]
pub struct FingerprintError {
    text: String,
}

/// Result of parsing a fingerprint.
pub type Result<T, E = FingerprintError> = std::result::Result<T, E>;

/// SHA-256 over the customer, the model and the body of a request, each preceded by its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(pub [u8; 32]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request of `customer` for `model` with `body`.
    pub fn of_request(customer: &CustomerId, model: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [customer.as_str().as_bytes(), model.as_bytes(), body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.finalize().into())
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self> {
        let mut bytes = [0; 32];
        match hex::decode_to_slice(text, &mut bytes) {
            Ok(()) => Ok(Self(bytes)),
            Err(_) => FingerprintSnafu { text }.fail(),
        }
    }
}
