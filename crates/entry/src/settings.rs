//! Settings of the entry process.

use std::net::SocketAddr;

use base::{
    ini::{Result, SectionReader, SettingsReader},
    logging::LogSettings,
    prelude::*,
};
use lists::spread::SpreadConfig;
use object_api::rate_limit::CallLimits;
use once::ShardLimits;
use wire::ProcessSettings;

const DEFAULT_READS: EventRate = EventRate(20.0);
const DEFAULT_WRITES: EventRate = EventRate(5.0);
const DEFAULT_BODY: ByteSize = ByteSize::mib(4);
/// Sixteen bodies of the largest size; about half of the 120 MB of the smallest VM.
const DEFAULT_BODIES: ByteSize = ByteSize::mib(64);
/// Below the 3,075 descriptors of the smallest VM, less 200 for files and some for peers.
const DEFAULT_CONNECTIONS: u64 = 2_000;
/// Four bodies of the largest size at each backend server.
const DEFAULT_SERVER_BYTES: ByteSize = ByteSize::mib(16);
const DEFAULT_ANSWER: ByteSize = ByteSize::mib(16);
const DEFAULT_DRAIN: TimeSpan = TimeSpan(Duration::from_secs(600));
const DEFAULT_VM_POLL: TimeSpan = TimeSpan(Duration::from_secs(1));

/// Settings of the connection to the platform.
#[derive(Debug, Clone, Copy)]
pub struct PlatformSettings {
    /// Address of the platform's API.
    pub address: SocketAddr,
    /// Limits of this process's calls, per second.
    pub limits: CallLimits,
    /// Time between reads of the VM list; longer for a large fleet.
    pub vm_poll: TimeSpan,
}

impl PlatformSettings {
    fn read(section: &mut SectionReader<'_>) -> Option<Self> {
        let address = section.required("address", "an IP address with a port");
        let rate = "a rate such as 4.5/s";
        let reads = section.optional("reads", rate, DEFAULT_READS);
        let writes = section.optional("writes", rate, DEFAULT_WRITES);
        let span = "a time such as 250ms or 10min";
        let vm_poll = section.optional("vm-poll", span, DEFAULT_VM_POLL);
        Some(Self { address: address?, limits: CallLimits { reads, writes }, vm_poll })
    }
}

/// Limits of one request and of a planned stop.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Largest request body that is accepted.
    pub max_body: ByteSize,
    /// Memory for the bodies of all requests, while they are read and in flight, and for answers
    /// until they are read.
    pub bodies: ByteSize,
    /// Connections of callers that may be open.
    pub max_connections: u64,
    /// Connections that may be open from one address; no limit unless set, because callers may
    /// share the address of a load balancer.
    pub max_connections_per_address: Option<u64>,
    /// Bytes of request bodies that one backend server holds unanswered for this entry.
    pub server_bytes: ByteSize,
    /// Largest answer that is buffered, and most of a streamed one that is kept for its caller; a
    /// larger one fails the attempt.
    pub max_answer: ByteSize,
    /// Longest time that a planned stop waits for requests in flight.
    pub drain_timeout: TimeSpan,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_body: DEFAULT_BODY,
            bodies: DEFAULT_BODIES,
            max_connections: DEFAULT_CONNECTIONS,
            max_connections_per_address: None,
            server_bytes: DEFAULT_SERVER_BYTES,
            max_answer: DEFAULT_ANSWER,
            drain_timeout: DEFAULT_DRAIN,
        }
    }
}

impl RequestLimits {
    fn read(section: &mut SectionReader<'_>) -> Self {
        let size = "a size such as 4MiB";
        let connections = "a number of connections";
        Self {
            max_body: section.optional("body", size, DEFAULT_BODY),
            bodies: section.optional("bodies", size, DEFAULT_BODIES),
            max_connections: section.optional("connections", connections, DEFAULT_CONNECTIONS),
            max_connections_per_address: section
                .values("connections-per-address", connections)
                .pop(),
            server_bytes: section.optional("server-bytes", size, DEFAULT_SERVER_BYTES),
            max_answer: section.optional("answer", size, DEFAULT_ANSWER),
            drain_timeout: section.optional("drain", "a time such as 10min", DEFAULT_DRAIN),
        }
    }
}

fn read_claims(section: &mut SectionReader<'_>) -> ShardLimits {
    let limits = ShardLimits::default();
    let span = "a time such as 100ms";
    let min_write_interval =
        section.optional("write-gap", span, TimeSpan(limits.min_write_interval)).0;
    let claim_lifetime =
        section.optional("life", "a time such as 1h", TimeSpan(limits.claim_lifetime)).0;
    ShardLimits { min_write_interval, claim_lifetime, ..limits }
}

/// All settings of the entry process.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Log level and line format.
    pub log: LogSettings,
    /// Identity and addresses of the process.
    pub process: ProcessSettings,
    /// Connection to the platform.
    pub platform: PlatformSettings,
    /// Limits of requests and of a planned stop.
    pub limits: RequestLimits,
    /// Distribution of the lists.
    pub spread: SpreadConfig,
    /// Claims of idempotency keys.
    pub claims: ShardLimits,
}

impl EntrySettings {
    /// Parses the text of a settings file; `name` is used in error messages.
    ///
    /// # Errors
    ///
    /// Reports all faults of the file.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let mut reader = SettingsReader::new(name, text)?;
        let log = reader.section("log", LogSettings::read);
        let process = reader.section("process", ProcessSettings::read);
        let platform = reader.section("platform", PlatformSettings::read);
        let limits = reader.section("limits", RequestLimits::read);
        let spread = reader.section("spread", SpreadConfig::read);
        let claims = reader.section("claims", read_claims);
        let settings = process.zip(platform).map(|(process, platform)| Self {
            log,
            process,
            platform,
            limits,
            spread,
            claims,
        });
        reader.finish(settings)
    }
}
