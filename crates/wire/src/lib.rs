//! Messages and framing between the processes of the system.

pub mod codec;
pub mod credit;
pub mod envelope;
pub mod handshake;
pub mod link;
pub mod listen;
pub mod load;
pub mod run;
pub mod settings;

pub use crate::{
    envelope::{Envelope, Message},
    handshake::{FleetSecret, PeerIdentity, PeerRole},
    link::{HeartbeatTiming, LinkOptions, LinkReceiver, LinkSender, PeerLink},
    listen::ListenError,
    settings::ProcessSettings,
};
