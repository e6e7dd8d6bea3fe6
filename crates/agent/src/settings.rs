//! Settings of the agent.

use std::net::SocketAddr;

use base::{
    ini::{FileFaults, SectionReader, SettingsReader},
    prelude::*,
};

/// Result of reading settings.
pub type Result<T, E = FileFaults> = std::result::Result<T, E>;

const ADDRESS: &str = "an IP address with a port, such as 127.0.0.1:7000";

/// All settings of the agent.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentSettings {
    /// VM that the process runs on; identifies it to the entries.
    pub vm: VmId,
    /// Address of the engine on the same VM.
    pub engine: SocketAddr,
    /// Service of the engine; selects its specification in the configuration.
    pub service: ServiceName,
    /// Address on which datagrams of the entries arrive.
    pub peers: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Longest wait for an answer of the store; 700 ms unless set.
    pub call_timeout: Duration,
}

/// The store answers within milliseconds, but at times takes 60 times as long.
const DEFAULT_CALL_TIMEOUT: TimeSpan = TimeSpan(Duration::from_millis(700));

impl AgentSettings {
    /// Parses settings in INI format. `name` is the file name for error messages.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file, not only the first.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let (reader, settings) = Self::read(name, text)?;
        reader.finish(settings)
    }

    /// The same for a process. Returns the faults that it can do without beside the settings: keys and
    /// sections that are unknown or given twice.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file if a value is missing or malformed.
    pub fn parse_usable(name: &str, text: &str) -> Result<(Self, FileFaults)> {
        let (reader, settings) = Self::read(name, text)?;
        reader.finish_apart(settings)
    }

    fn read(name: &str, text: &str) -> Result<(SettingsReader, Option<Self>)> {
        let mut reader = SettingsReader::new(name, text)?;
        let vm = reader.section("process", |section| section.required("vm", "a VM's name"));
        let engine = reader.section("engine", read_engine);
        let listen = reader.section("listen", read_listen);
        let store = reader.section("store", read_store);
        let settings = (|| {
            let (vm, (engine, service)) = (vm?, engine?);
            let ((peers, metrics), (store, call_timeout)) = (listen?, store?);
            Some(Self { vm, engine, service, peers, metrics, store, call_timeout })
        })();
        Ok((reader, settings))
    }
}

fn read_engine(section: &mut SectionReader<'_>) -> Option<(SocketAddr, ServiceName)> {
    let address = section.required("address", ADDRESS);
    let service = section.required("service", "the name of a service");
    Some((address?, service?))
}

fn read_listen(section: &mut SectionReader<'_>) -> Option<(SocketAddr, SocketAddr)> {
    let peers = section.required("peers", ADDRESS);
    let metrics = section.required("metrics", ADDRESS);
    Some((peers?, metrics?))
}

fn read_store(section: &mut SectionReader<'_>) -> Option<(SocketAddr, Duration)> {
    let address = section.required("address", ADDRESS);
    let hint = "a time such as 250ms";
    let call_timeout = section.optional("call-timeout", hint, DEFAULT_CALL_TIMEOUT).0;
    Some((address?, call_timeout))
}
