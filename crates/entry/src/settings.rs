//! Settings of the entry process.

use std::net::SocketAddr;

use base::{
    ini::{Result, SectionReader, SettingsReader},
    logging::LogSettings,
    prelude::*,
};
use lists::spread::SpreadConfig;
use object_api::budget::CallLimits;
use once::ShardLimits;
use wire::ProcessSettings;

const DEFAULT_READS: EventRate = EventRate(20.0);
const DEFAULT_WRITES: EventRate = EventRate(5.0);
const DEFAULT_BODY: ByteSize = ByteSize::mib(4);
const DEFAULT_ANSWER: ByteSize = ByteSize::mib(16);
const DEFAULT_DRAIN: TimeSpan = TimeSpan(Duration::from_secs(600));
const DEFAULT_VM_POLL: TimeSpan = TimeSpan(Duration::from_secs(1));

/// The platform's service.
#[derive(Debug, Clone, Copy)]
pub struct PlatformSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Rates of calls of this process.
    pub limits: CallLimits,
    /// Time between reads of the VM list.
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
    /// Largest body accepted.
    pub max_body: ByteSize,
    /// Largest answer held back until it is whole.
    pub max_answer: ByteSize,
    /// Longest time that a planned stop waits for requests.
    pub drain_timeout: TimeSpan,
}

impl RequestLimits {
    fn read(section: &mut SectionReader<'_>) -> Self {
        let size = "a size such as 4MiB";
        Self {
            max_body: section.optional("body", size, DEFAULT_BODY),
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
    /// Logging.
    pub log: LogSettings,
    /// Who the process is and where it listens.
    pub process: ProcessSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Limits.
    pub limits: RequestLimits,
    /// Spread of the lists.
    pub spread: SpreadConfig,
    /// Claims of idempotency keys.
    pub claims: ShardLimits,
}

impl EntrySettings {
    /// Reads settings from the text of a file called `name`.
    ///
    /// # Errors
    ///
    /// Lists all faults of the file.
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
