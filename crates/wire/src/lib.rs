//! Messages and framing between the processes of the system.

pub mod ask;
pub mod codec;
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
    link::{LinkOptions, LinkPace, LinkReceiver, LinkSender, PeerLink},
    listen::ListenError,
    settings::ProcessSettings,
};
