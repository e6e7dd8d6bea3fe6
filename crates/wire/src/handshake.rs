//! Mutual proof of the fleet's shared secret when a connection opens.
//!
//! The accepting peer sends a nonce; the dialling peer answers with its identity, a nonce of its
//! own and a proof over both; the accepting peer proves itself the same way. No frame other than
//! these three is read before both proofs hold.

use std::{fmt, str::FromStr};

use base::prelude::*;
use hmac::{Hmac, KeyInit, Mac};
use prost::Message;
use rand::Rng;
use sha2::Sha256;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    time,
};

use crate::codec::{self, FrameError, FrameStream};

/// Time limit of the whole handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 16;
/// Shortest secret accepted, in bytes.
const MIN_SECRET_BYTES: usize = 8;

/// The handshake failed.
#[derive(Debug, Snafu)]
pub enum HandshakeError {
    /// A frame could not be read or written.
    #[snafu(display("{source}"))]
    Frame {
        /// Error of the connection or of the decoder.
        source: FrameError,
    },
    /// The peer's proof does not match the fleet's secret.
    #[snafu(display("the peer's proof does not match the fleet's secret"))]
    WrongSecret,
    /// The peer's VM name or availability zone is malformed.
    #[snafu(display("the peer's VM name or availability zone is malformed"))]
    BadIdentity,
    /// The handshake did not end within its time limit.
    #[snafu(display("the handshake did not end within {HANDSHAKE_TIMEOUT:?}"))]
    Timeout,
}

/// Result of a handshake.
pub type Result<T, E = HandshakeError> = std::result::Result<T, E>;

/// The secret shared by all processes of the fleet; debug output leaves it out.
#[derive(Clone)]
pub struct FleetSecret(String);

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}

/// The secret is shorter than the minimum of 8 bytes.
#[derive(Debug, Snafu)]
#[snafu(display("a secret needs at least {MIN_SECRET_BYTES} bytes"))]
pub struct SecretError;

impl FromStr for FleetSecret {
    type Err = SecretError;

    fn from_str(text: &str) -> std::result::Result<Self, SecretError> {
        ensure!(text.len() >= MIN_SECRET_BYTES, SecretSnafu);
        Ok(Self(text.to_owned()))
    }
}

/// Program that a peer runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRole {
    /// An entry, which accepts requests from callers.
    Entry,
    /// A side process, which runs beside a backend server.
    Side,
}

/// Identity of a process, exchanged in the handshake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Name of the VM on which the process runs.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Incarnation of the process, drawn at its start.
    pub incarnation: ProcessIncarnation,
    /// Program that the process runs.
    pub role: PeerRole,
}

#[derive(Clone, PartialEq, Message)]
struct Challenge {
    #[prost(bytes = "vec", tag = "1")]
    nonce: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
struct Hello {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(string, tag = "2")]
    zone: String,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
    #[prost(bool, tag = "4")]
    is_side: bool,
    #[prost(bytes = "vec", tag = "5")]
    nonce: Vec<u8>,
    #[prost(bytes = "vec", tag = "6")]
    proof: Vec<u8>,
}

impl Hello {
    fn new(identity: &PeerIdentity, nonce: Vec<u8>) -> Self {
        Self {
            vm: identity.vm.to_string(),
            zone: identity.zone.to_string(),
            incarnation: identity.incarnation.0,
            is_side: identity.role == PeerRole::Side,
            nonce,
            proof: Vec::new(),
        }
    }

    fn identity(&self) -> Option<PeerIdentity> {
        Some(PeerIdentity {
            vm: self.vm.parse().ok()?,
            zone: self.zone.parse().ok()?,
            incarnation: ProcessIncarnation(self.incarnation),
            role: if self.is_side { PeerRole::Side } else { PeerRole::Entry },
        })
    }

    fn mac(&self, secret: &FleetSecret, nonce: &[u8]) -> Hmac<Sha256> {
        let mut unsigned = self.clone();
        unsigned.proof.clear();
        let mut mac = Hmac::<Sha256>::new_from_slice(secret.0.as_bytes())
            .expect("a key of any length is accepted");
        mac.update(nonce);
        mac.update(&unsigned.encode_to_vec());
        mac
    }

    fn sign(mut self, secret: &FleetSecret, nonce: &[u8]) -> Self {
        self.proof = self.mac(secret, nonce).finalize().into_bytes().to_vec();
        self
    }

    fn verify(&self, secret: &FleetSecret, nonce: &[u8]) -> Result<PeerIdentity> {
        let verified = self.mac(secret, nonce).verify_slice(&self.proof);
        ensure!(verified.is_ok(), WrongSecretSnafu);
        self.identity().context(BadIdentitySnafu)
    }
}

fn random_nonce() -> Vec<u8> {
    let mut nonce = vec![0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

/// Performs the dialling part of the handshake with identity `local` and returns the peer's
/// identity.
///
/// # Errors
///
/// Fails if the peer's proof does not match `secret`, or the peer is too slow or disconnects.
pub async fn dial<S>(
    frames: &mut FrameStream<S>,
    secret: &FleetSecret,
    local: &PeerIdentity,
) -> Result<PeerIdentity>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let exchange = async {
        let challenge: Challenge = codec::read_message(frames).await.context(FrameSnafu)?;
        let nonce = random_nonce();
        let hello = Hello::new(local, nonce.clone()).sign(secret, &challenge.nonce);
        codec::write_message(frames, &hello).await.context(FrameSnafu)?;
        let reply: Hello = codec::read_message(frames).await.context(FrameSnafu)?;
        reply.verify(secret, &nonce)
    };
    time::timeout(HANDSHAKE_TIMEOUT, exchange).await.unwrap_or(TimeoutSnafu.fail())
}

/// Performs the accepting part of the handshake with identity `local` and returns the peer's
/// identity. Sends no identity or proof before the peer's proof has been verified.
///
/// # Errors
///
/// Fails if the peer's proof does not match `secret`, or the peer is too slow or disconnects.
pub async fn accept<S>(
    frames: &mut FrameStream<S>,
    secret: &FleetSecret,
    local: &PeerIdentity,
) -> Result<PeerIdentity>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let exchange = async {
        let nonce = random_nonce();
        let challenge = Challenge { nonce: nonce.clone() };
        codec::write_message(frames, &challenge).await.context(FrameSnafu)?;
        let hello: Hello = codec::read_message(frames).await.context(FrameSnafu)?;
        let identity = hello.verify(secret, &nonce)?;
        let reply = Hello::new(local, Vec::new()).sign(secret, &hello.nonce);
        codec::write_message(frames, &reply).await.context(FrameSnafu)?;
        Ok(identity)
    };
    time::timeout(HANDSHAKE_TIMEOUT, exchange).await.unwrap_or(TimeoutSnafu.fail())
}
