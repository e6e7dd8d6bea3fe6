//! Settings of the gateway.

use std::net::SocketAddr;

use base::{
    ini::{FileFaults, SectionReader, SettingsReader},
    prelude::*,
};
use dispatch::RetryLimits;

/// Result of reading settings.
pub type Result<T, E = FileFaults> = std::result::Result<T, E>;

const ADDRESS: &str = "an IP address with a port, such as 127.0.0.1:7000";
const SPAN: &str = "a time such as 250ms, 13s or 10min";

/// Who the process is.
#[derive(Debug, Clone, PartialEq)]
pub struct IdentitySettings {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Part of a core that the VM gives, in thousandths.
    pub core_share: u32,
}

/// Where the process listens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListenSettings {
    /// Callers.
    pub callers: SocketAddr,
    /// Questions whether the process is ready.
    pub ready: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
    /// Datagrams of other processes of the system; side processes use the same port.
    pub peers: SocketAddr,
}

/// The platform's store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Longest wait for an answer; a watch takes its own wait on top.
    pub call_timeout: Duration,
    /// Time within which a change in the store must be known here.
    pub known_within: Duration,
}

/// Part of the time within which changes must be known for which a watch waits. A connection that
/// went silent is noticed after this and the call's own time.
const WAIT_PART: f64 = 0.6;
/// Part of that time between two calls of a watch, so that changes are gathered: each call is
/// priced, and models come and go all the time.
const PACE_PART: f64 = 0.45;

impl StoreSettings {
    /// Longest wait of a watch.
    pub fn watch_wait(&self) -> Duration {
        self.known_within.mul_f64(WAIT_PART)
    }

    /// Least time between two calls of a watch that brought changes.
    pub fn watch_pace(&self) -> Duration {
        self.known_within.mul_f64(PACE_PART)
    }
}

/// Limits of requests and of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewayLimits {
    /// Budget of repeats that all entries share.
    pub repeats: RetryLimits,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
}

/// All settings of the gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Who the process is.
    pub identity: IdentitySettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// The store.
    pub store: StoreSettings,
    /// Limits.
    pub limits: GatewayLimits,
}

/// Answers of the store take milliseconds, and 60 times as long on bad days.
const DEFAULT_CALL_TIMEOUT: TimeSpan = TimeSpan(Duration::from_millis(700));
fn read_identity(section: &mut SectionReader<'_>) -> Option<IdentitySettings> {
    let vm = section.required("vm", "the name of this VM");
    let zone = section.required("zone", "the name of this availability zone");
    let share: f64 = section.optional("core-share", "a part of a core such as 0.19", 1.0);
    let core_share = (share.clamp(0.0, 1000.0) * 1000.0) as u32;
    Some(IdentitySettings { vm: vm?, zone: zone?, core_share })
}

fn read_listen(section: &mut SectionReader<'_>) -> Option<ListenSettings> {
    let callers = section.required("callers", ADDRESS);
    let ready = section.required("ready", ADDRESS);
    let metrics = section.required("metrics", ADDRESS);
    let peers = section.required("peers", ADDRESS);
    Some(ListenSettings { callers: callers?, ready: ready?, metrics: metrics?, peers: peers? })
}

fn read_store(section: &mut SectionReader<'_>) -> Option<StoreSettings> {
    let address = section.required("address", ADDRESS);
    let call_timeout = section.optional("call-timeout", SPAN, DEFAULT_CALL_TIMEOUT).0;
    let known_within = section.values::<TimeSpan>("known-within", SPAN);
    let Some(shortest) = known_within.into_iter().min() else {
        section.fault(0, "known-within", SPAN);
        return None;
    };
    Some(StoreSettings { address: address?, call_timeout, known_within: shortest.0 })
}

fn read_limits(section: &mut SectionReader<'_>) -> Option<GatewayLimits> {
    let ratio = section.required("repeat-ratio", "repeats for each request, such as 0.2");
    let allowance = section.required("repeat-allowance", "a number of repeats");
    let window = section.required::<TimeSpan>("repeat-window", SPAN);
    let grace = section.required::<TimeSpan>("grace", SPAN);
    let repeats = RetryLimits { ratio: ratio?, allowance: allowance?, window: window?.0 };
    Some(GatewayLimits { repeats, grace: grace?.0 })
}

impl GatewaySettings {
    /// Reads settings from the text of a file called `name`.
    ///
    /// # Errors
    ///
    /// Lists all faults of the file.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let mut reader = SettingsReader::new(name, text)?;
        let identity = reader.section("process", read_identity);
        let listen = reader.section("listen", read_listen);
        let store = reader.section("store", read_store);
        let limits = reader.section("limits", read_limits);
        let settings = (|| {
            let (identity, listen) = (identity?, listen?);
            Some(Self { identity, listen, store: store?, limits: limits? })
        })();
        reader.finish(settings)
    }
}
