//! Settings of the side process.

use std::net::SocketAddr;

use base::{
    ini::{Result, SectionReader, SettingsReader},
    logging::LogSettings,
    prelude::*,
};
use lists::spread::SpreadConfig;
use loading::FenceCheck;
use snafu::Snafu;
use std::str::FromStr;
use wire::ProcessSettings;

const DEFAULT_DRAIN_LIMIT: TimeSpan = TimeSpan(Duration::from_secs(600));
const DEFAULT_REPORT_INTERVAL: TimeSpan = TimeSpan(Duration::from_secs(1));
const DEFAULT_CONCURRENCY: u32 = 16;
const DEFAULT_ADAPTER: ByteSize = ByteSize::mib(256);

/// What stands beside the side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendKind {
    /// A model engine that takes orders to load and unload.
    Engine,
    /// A plain service.
    Plain,
}

/// The kind of backend server is not known.
#[derive(Debug, Snafu)]
#[snafu(display("a backend server is an engine or plain"))]
pub struct KindError;

impl FromStr for BackendKind {
    type Err = KindError;

    fn from_str(text: &str) -> std::result::Result<Self, KindError> {
        match text {
            "engine" => Ok(BackendKind::Engine),
            "plain" => Ok(BackendKind::Plain),
            _ => KindSnafu.fail(),
        }
    }
}

/// The backend server beside this process.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// What it is.
    pub kind: BackendKind,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where its HTTP interface listens.
    pub address: SocketAddr,
    /// Memory for models.
    pub memory: ByteSize,
    /// Requests that it runs at once.
    pub concurrency: u32,
    /// Memory of the largest adapter; larger ones are not loaded.
    pub largest_adapter: ByteSize,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: FenceCheck,
}

impl BackendSettings {
    fn read(section: &mut SectionReader<'_>) -> Option<Self> {
        let kind = section.required("kind", "engine or plain");
        let service = section.required("service", "the name of the service");
        let address = section.required("address", "an IP address with a port");
        let memory = section.optional("memory", "a size such as 80GiB", ByteSize::default());
        let count = "the number of requests run at once";
        let concurrency = section.optional("concurrency", count, DEFAULT_CONCURRENCY);
        let fencing = section.optional("checks-fencing", "yes or no", FenceCheck::Ignored);
        let adapter = "a size such as 256MiB";
        let largest_adapter = section.optional("largest-adapter", adapter, DEFAULT_ADAPTER);
        Some(Self {
            kind: kind?,
            service: service?,
            address: address?,
            memory,
            concurrency,
            largest_adapter,
            fencing,
        })
    }
}

/// All settings of the side process.
#[derive(Debug, Clone)]
pub struct SideSettings {
    /// Logging.
    pub log: LogSettings,
    /// Who the process is and where it listens.
    pub process: ProcessSettings,
    /// The backend server beside it.
    pub backend: BackendSettings,
    /// The platform.
    pub platform: Option<SocketAddr>,
    /// Longest time that a planned stop waits for requests in flight.
    pub drain_limit: TimeSpan,
    /// Time between reports to subscribers.
    pub report_interval: TimeSpan,
    /// Spread of the lists.
    pub spread: SpreadConfig,
}

impl SideSettings {
    /// Reads settings from the text of a file called `name`.
    ///
    /// # Errors
    ///
    /// Lists all faults of the file.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let mut reader = SettingsReader::new(name, text)?;
        let log = reader.section("log", LogSettings::read);
        let process = reader.section("process", ProcessSettings::read);
        let backend = reader.section("backend", BackendSettings::read);
        let platform = reader.section("platform", |section| {
            section.required::<SocketAddr>("address", "an IP address with a port")
        });
        let span = "a time such as 250ms or 10min";
        let limits = reader.section("limits", |section| {
            let drain = section.optional("drain", span, DEFAULT_DRAIN_LIMIT);
            let report = section.optional("report-interval", span, DEFAULT_REPORT_INTERVAL);
            (drain, report)
        });
        let spread = reader.section("spread", SpreadConfig::read);
        let settings = process.zip(backend).map(|(process, backend)| Self {
            log,
            process,
            backend,
            platform,
            drain_limit: limits.0,
            report_interval: limits.1,
            spread,
        });
        reader.finish(settings)
    }
}
