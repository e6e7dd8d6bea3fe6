//! Messages, framing and connections between entries and side processes.

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
    link::{HeartbeatTiming, LinkOptions, LinkReceiver, LinkSender, PeerLink, SendSlot},
    listen::ListenError,
    settings::ProcessSettings,
};
