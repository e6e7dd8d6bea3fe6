//! Settings of the gateway.

use std::net::SocketAddr;

use base::{
    figures::{StatedCount, StatedMemory, StatedRatio, StatedSpan},
    ini::{FileFaults, SectionReader, SettingsReader},
    prelude::*,
};
use dispatch::{HedgeLimits, RetryLimits};
use limits::quotas::QuotaTolerance;

/// Result of reading settings.
pub type Result<T, E = FileFaults> = std::result::Result<T, E>;

const ADDRESS_FORMAT: &str = "an IP address with a port, such as 127.0.0.1:7000";
const DURATION_FORMAT: &str = "a time such as 250ms, 13s or 10min";

/// Identity of the process.
#[derive(Debug, Clone, PartialEq)]
pub struct IdentitySettings {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Share of a CPU core that the VM has, in thousandths.
    pub core_share: u32,
}

/// Addresses on which the process listens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListenSettings {
    /// Requests of callers, HTTP.
    pub callers: SocketAddr,
    /// Readiness checks of the balancer, HTTP.
    pub ready: SocketAddr,
    /// Metrics, HTTP.
    pub metrics: SocketAddr,
    /// Datagrams (UDP) of the other processes of the system; side processes use the same port.
    pub peers: SocketAddr,
}

/// The platform's store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreSettings {
    /// Address of its HTTP API.
    pub address: SocketAddr,
    /// Timeout of a call; for a watch, the time that it waits for changes is added.
    pub call_timeout: Duration,
    /// Time within which a change in the store must reach this process.
    pub known_within: Duration,
}

/// Limits of retries, hedges and of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewayLimits {
    /// Retry budget that all entries share.
    pub retry_limits: RetryLimits,
    /// Limits of second attempts of slow requests.
    pub hedge_limits: HedgeLimits,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
}

/// What the process may use of its VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResourceSettings {
    /// Memory of the VM.
    pub memory: ByteSize,
    /// File descriptors of the process.
    pub descriptors: usize,
    /// Most open connections of callers from one address; none without a limit.
    pub connections_per_address: Option<usize>,
    /// Most bytes of request bodies that one backend server holds for this entry.
    pub server_bytes: ByteSize,
}

/// Settings of the gateway, as read from its settings file.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Identity of the process.
    pub identity: IdentitySettings,
    /// Addresses on which it listens.
    pub listen: ListenSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// Limits of retries, hedges and of a planned stop; these change by a reload.
    pub limits: GatewayLimits,
    /// Tolerance of the quotas of workspaces; its default where the file does not state it.
    pub quotas: QuotaTolerance,
    /// What the process may use of its VM.
    pub resources: ResourceSettings,
}

/// The store answers within milliseconds, and takes up to 60 times as long at its slowest.
const DEFAULT_CALL_TIMEOUT: TimeSpan = TimeSpan(Duration::from_millis(700));

/// Time within which changes in the store are known where the platform states none.
const DEFAULT_KNOWN_WITHIN: Duration = Duration::from_secs(1);
/// Shortest time within which changes in the store are known; for a shorter one the process would ask
/// the store without a pause.
const MIN_KNOWN_WITHIN: Duration = Duration::from_millis(200);
/// Retry budget where the platform states none. A larger one would spread an overload.
const DEFAULT_RETRY_LIMITS: RetryLimits =
    RetryLimits { ratio: 0.1, allowance: 10.0, window: Duration::from_secs(10) };
/// Time from the stop signal until the process is killed where the platform states none.
const DEFAULT_GRACE: Duration = Duration::from_secs(5);

/// A number of the text within the range; an error otherwise.
fn parse_within(text: &str, range: std::ops::RangeInclusive<f64>) -> std::result::Result<f64, ()> {
    text.parse().ok().filter(|value| range.contains(value)).ok_or(())
}

struct HedgeShare(f64);

impl std::str::FromStr for HedgeShare {
    type Err = ();

    fn from_str(text: &str) -> std::result::Result<Self, ()> {
        parse_within(text, 0.0..=0.5).map(Self)
    }
}

struct HedgePercentile(f64);

impl std::str::FromStr for HedgePercentile {
    type Err = ();

    fn from_str(text: &str) -> std::result::Result<Self, ()> {
        parse_within(text, 0.5..=0.999).map(Self)
    }
}

/// Memory of the smallest VM that runs a gateway.
const DEFAULT_MEMORY: ByteSize = ByteSize::mib(120);
/// File descriptors of the smallest VM that runs a gateway.
const DEFAULT_DESCRIPTORS: usize = 3_075;
/// Four bodies of the largest size that the platform allows. Most bodies have less than 9 KB.
const DEFAULT_SERVER_BYTES: ByteSize = ByteSize::mib(16);
const SIZE_FORMAT: &str = "a size such as 120MiB";

fn read_identity(section: &mut SectionReader<'_>) -> Option<IdentitySettings> {
    let vm = section.required("vm", "the name of this VM");
    let zone = section.required("zone", "the name of this availability zone");
    let share = section.figure("core-share", "a part of a core such as 0.19", StatedRatio(1.0)).0;
    let core_share = (share.min(1000.0) * 1000.0) as u32;
    Some(IdentitySettings { vm: vm?, zone: zone?, core_share })
}

fn read_listen(section: &mut SectionReader<'_>) -> Option<ListenSettings> {
    let callers = section.required("callers", ADDRESS_FORMAT);
    let ready = section.required("ready", ADDRESS_FORMAT);
    let metrics = section.required("metrics", ADDRESS_FORMAT);
    let peers = section.required("peers", ADDRESS_FORMAT);
    Some(ListenSettings { callers: callers?, ready: ready?, metrics: metrics?, peers: peers? })
}

fn read_store(section: &mut SectionReader<'_>) -> Option<StoreSettings> {
    let address = section.required("address", ADDRESS_FORMAT);
    let call_timeout = section.optional("call-timeout", DURATION_FORMAT, DEFAULT_CALL_TIMEOUT).0;
    let stated = section.figures::<StatedSpan>("known-within", DURATION_FORMAT).into_iter().min();
    let known_within = stated.map_or(DEFAULT_KNOWN_WITHIN, |span| span.0.max(MIN_KNOWN_WITHIN));
    Some(StoreSettings { address: address?, call_timeout, known_within })
}

fn read_hedging(section: &mut SectionReader<'_>) -> HedgeLimits {
    let default = HedgeLimits::default();
    let format = "a part of all requests from 0 to 0.5, such as 0.05";
    let share = section.optional::<HedgeShare>("share", format, HedgeShare(default.share)).0;
    let format = "a part of the answers from 0.5 to 0.999, such as 0.95";
    let percentile =
        section.optional::<HedgePercentile>("after", format, HedgePercentile(default.percentile)).0;
    let min_delay = TimeSpan(default.min_delay);
    let min_delay = section.optional("min-delay", DURATION_FORMAT, min_delay).0;
    HedgeLimits { share, percentile, min_delay }
}

fn read_limits(section: &mut SectionReader<'_>, hedge_limits: HedgeLimits) -> GatewayLimits {
    let RetryLimits { ratio, allowance, window } = DEFAULT_RETRY_LIMITS;
    let format = "retries for each request, such as 0.2";
    let ratio = section.figure("repeat-ratio", format, StatedRatio(ratio)).0;
    let format = "a number of retries";
    let allowance = section.figure("repeat-allowance", format, StatedRatio(allowance)).0;
    let window = read_window(section, "repeat-window").unwrap_or(window);
    let retry_limits = RetryLimits { ratio, allowance, window };
    let grace = section.figure("grace", DURATION_FORMAT, StatedSpan(DEFAULT_GRACE)).0;
    GatewayLimits { retry_limits, hedge_limits, grace }
}

/// A time over which something is counted; a platform that states zero sets none.
fn read_window(section: &mut SectionReader<'_>, key: &'static str) -> Option<Duration> {
    let window = section.figure(key, DURATION_FORMAT, StatedSpan(Duration::ZERO)).0;
    (window > Duration::ZERO).then_some(window)
}

fn read_quotas(section: &mut SectionReader<'_>) -> QuotaTolerance {
    let QuotaTolerance { window, overrun, allowance } = QuotaTolerance::default();
    let window = read_window(section, "quota-window").unwrap_or(window);
    let format = "a share such as 0.1";
    let overrun = section.figure("quota-overrun", format, StatedRatio(overrun)).0;
    let format = "a number of tokens";
    let allowance = section.figure("quota-allowance", format, StatedRatio(allowance)).0;
    QuotaTolerance { window, overrun, allowance }
}

/// The smallest of the values of `key`, if there is one.
fn read_count(section: &mut SectionReader<'_>, key: &'static str, expected: &str) -> Option<usize> {
    section.figures::<StatedCount>(key, expected).into_iter().min().map(|count| count.0)
}

fn read_resources(section: &mut SectionReader<'_>) -> ResourceSettings {
    ResourceSettings {
        memory: section.figure("memory", SIZE_FORMAT, StatedMemory(DEFAULT_MEMORY)).0,
        descriptors: read_count(section, "descriptors", "a number of file descriptors")
            .unwrap_or(DEFAULT_DESCRIPTORS),
        connections_per_address: read_count(
            section,
            "connections-per-address",
            "a number of connections",
        ),
        server_bytes: section.optional("server-bytes", SIZE_FORMAT, DEFAULT_SERVER_BYTES),
    }
}

impl GatewaySettings {
    /// Reads settings from the text of a file called `name`.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let (reader, settings) = Self::read(name, text)?;
        reader.finish(settings)
    }

    /// The same for a process, which works with defaults where figures are malformed. Returns the
    /// faults that it can do without beside the settings.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file if a required value is missing or malformed.
    pub fn parse_usable(name: &str, text: &str) -> Result<(Self, FileFaults)> {
        let (reader, settings) = Self::read(name, text)?;
        reader.finish_apart(settings)
    }

    fn read(name: &str, text: &str) -> Result<(SettingsReader, Option<Self>)> {
        let mut reader = SettingsReader::new(name, text)?;
        let identity = reader.section("process", read_identity);
        let listen = reader.section("listen", read_listen);
        let store = reader.section("store", read_store);
        let hedge_limits = reader.section("hedging", read_hedging);
        let (limits, resources) = reader.section("limits", |section| {
            (read_limits(section, hedge_limits), read_resources(section))
        });
        let quotas = reader.section("quotas", read_quotas);
        let settings = (|| {
            let (identity, listen) = (identity?, listen?);
            Some(Self { identity, listen, store: store?, limits, quotas, resources })
        })();
        Ok((reader, settings))
    }
}
