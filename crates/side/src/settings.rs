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
const DEFAULT_LARGEST_ADAPTER: ByteSize = ByteSize::mib(256);

/// Kind of the backend server beside the side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendKind {
    /// A model engine that takes orders to load and unload.
    Engine,
    /// A plain HTTP service, without models to load.
    Plain,
}

/// The setting `kind` is neither `engine` nor `plain`.
#[derive(Debug, Snafu)]
#[snafu(display("the kind of a backend server is engine or plain"))]
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

/// Section `[backend]`: the backend server beside this process.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Whether it is a model engine or a plain service.
    pub kind: BackendKind,
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Address on which its HTTP interface listens.
    pub address: SocketAddr,
    /// Memory for models and adapters; zero if it is not set.
    pub memory: ByteSize,
    /// Largest number of requests that it runs at once.
    pub concurrency: u32,
    /// Memory of the largest adapter that may be loaded.
    pub largest_adapter: ByteSize,
    /// Whether the engine itself refuses orders with an outdated fencing number.
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
        let largest_adapter = section.optional("largest-adapter", adapter, DEFAULT_LARGEST_ADAPTER);
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
    /// Section `[log]`.
    pub log: LogSettings,
    /// Section `[process]`: identity of the process and the addresses on which it listens.
    pub process: ProcessSettings,
    /// Section `[backend]`.
    pub backend: BackendSettings,
    /// Address of the platform's object store; `None` without a section `[platform]`.
    pub platform: Option<SocketAddr>,
    /// Longest time that a planned stop waits for requests in flight; then it ends them.
    pub drain_limit: TimeSpan,
    /// Time between checks whether the report to subscribers has changed.
    pub report_interval: TimeSpan,
    /// Section `[spread]`: distribution of the lists between processes.
    pub spread: SpreadConfig,
}

impl SideSettings {
    /// Parses the text of a settings file; `name` is used in error messages.
    ///
    /// # Errors
    ///
    /// Fails with all faults of the file if a section or key is missing or malformed.
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
