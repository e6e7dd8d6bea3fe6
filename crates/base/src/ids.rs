//! Typed identifiers with `Display` and `FromStr`.

use std::{fmt, str::FromStr};

use rand::Rng;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{Snafu, ensure};

/// Longest textual identifier, in bytes.
pub const MAX_ID_BYTES: usize = 200;

/// Why a textual or numeric identifier could not be parsed.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    #[snafu(display("an identifier is empty"))]
    EmptyText,
    /// The text is longer than [`MAX_ID_BYTES`].
    #[snafu(display("an identifier has {bytes} bytes, at most {MAX_ID_BYTES} are allowed"))]
    LongText {
        /// Length found, in bytes.
        bytes: usize,
    },
    /// The text contains a character outside `A-Za-z0-9._:@/-`.
    #[snafu(display("an identifier contains {found:?}; only A-Za-z0-9._:@/- are allowed"))]
    BadCharacter {
        /// First offending character.
        found: char,
    },
    /// The text is not a valid number, request identifier, attempt or key hash.
    #[snafu(display("{text:?} is not a valid number"))]
    BadNumber {
        /// The text as given.
        text: String,
    },
}

/// Result of parsing an identifier.
pub type Result<T, E = IdError> = std::result::Result<T, E>;

fn check_text(text: &str) -> Result<()> {
    ensure!(!text.is_empty(), EmptyTextSnafu);
    ensure!(text.len() <= MAX_ID_BYTES, LongTextSnafu { bytes: text.len() });
    let bad = text.chars().find(|c| !c.is_ascii_alphanumeric() && !"._:@/-".contains(*c));
    match bad {
        Some(found) => BadCharacterSnafu { found }.fail(),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Checks `text` and wraps it.
            ///
            /// # Errors
            ///
            /// Fails if `text` is empty, longer than [`MAX_ID_BYTES`] or contains a character
            /// outside `A-Za-z0-9._:@/-`.
            pub fn new(text: impl Into<String>) -> Result<Self> {
                let text = text.into();
                check_text(&text)?;
                Ok(Self(text))
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0
            }
        }
    )*};
}

text_id! {
    /// A model, as named by callers and by the list of rights.
    ModelId;
    /// An adapter that is applied to a loaded base model.
    AdapterId;
    /// A plain service or a group of backend servers that serve models.
    ServiceName;
    /// A customer named in the list of plans.
    CustomerId;
    /// A plan named in both lists.
    PlanName;
    /// A VM of the platform, as named in the VM list.
    VmId;
    /// An availability zone.
    ZoneName;
    /// A region of one or more availability zones.
    RegionName;
    /// An idempotency key chosen by a caller.
    IdempotencyKey;
    /// An operator who edits the lists.
    OperatorName;
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// The number plus one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self> {
                match text.parse() {
                    Ok(number) => Ok(Self(number)),
                    Err(_) => BadNumberSnafu { text }.fail(),
                }
            }
        }
    )*};
}

number_id! {
    /// Distinguishes the runs of one process: a random number drawn at each start.
    ProcessIncarnation;
    /// Fencing token: rises with every change of holder, so that orders of former holders are
    /// recognised as outdated.
    FencingNumber;
    /// Version of the lists of plans and rights together; rises by one with every accepted edit.
    ListVersion;
}

impl ProcessIncarnation {
    /// Draws a new incarnation; the lowest bit is set, so zero is never drawn.
    pub fn random() -> Self {
        Self(rand::rng().next_u64() | 1)
    }
}

/// One request of a caller, unique across the fleet; written as 32 hexadecimal digits.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Draws a new identifier of 128 random bits.
    pub fn random() -> Self {
        let mut rng = rand::rng();
        Self(u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64()))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self> {
        match u128::from_str_radix(text, 16) {
            Ok(number) => Ok(Self(number)),
            Err(_) => BadNumberSnafu { text }.fail(),
        }
    }
}

/// SHA-256 of a caller's API key; the list of plans contains the hash and never the key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(String);

impl KeyHash {
    /// Hashes a key as presented by a caller.
    pub fn of_key(key: &str) -> Self {
        Self(hex::encode(Sha256::digest(key.as_bytes())))
    }

    /// The hash as 64 hexadecimal digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for KeyHash {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self> {
        let valid = text.len() == 64 && text.chars().all(|c| c.is_ascii_hexdigit());
        ensure!(valid, BadNumberSnafu { text });
        Ok(Self(text.to_ascii_lowercase()))
    }
}

/// One attempt of a request; an entry may make several. Written as `request#attempt`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Request that is attempted.
    pub request: RequestId,
    /// Number of the attempt, counted from one.
    pub attempt: u32,
}

impl AttemptId {
    /// Reads the identifier from the fields of a message; `None` if the request is not 16 bytes
    /// long.
    pub fn from_wire(request: &[u8], attempt: u32) -> Option<Self> {
        let bytes = <[u8; 16]>::try_from(request).ok()?;
        Some(Self { request: RequestId(u128::from_be_bytes(bytes)), attempt })
    }

    /// The request's identifier as messages carry it: 16 bytes, big-endian.
    pub fn request_bytes(&self) -> Vec<u8> {
        self.request.0.to_be_bytes().to_vec()
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.request, self.attempt)
    }
}

impl FromStr for AttemptId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self> {
        let bad_number = || BadNumberSnafu { text }.build();
        let (request, attempt) = text.split_once('#').ok_or_else(bad_number)?;
        let attempt = attempt.parse().map_err(|_| bad_number())?;
        Ok(Self { request: request.parse()?, attempt })
    }
}
