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
    /// VM that the process runs on.
    pub vm: VmId,
    /// Engine beside the process.
    pub engine: SocketAddr,
    /// Service that the engine belongs to.
    pub service: ServiceName,
    /// Where datagrams of entries arrive.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Longest wait for an answer of the store.
    pub call_timeout: Duration,
}

/// Answers of the store take milliseconds, and 60 times as long on bad days.
const DEFAULT_CALL_TIMEOUT: TimeSpan = TimeSpan(Duration::from_millis(700));

impl AgentSettings {
    /// Reads settings from the text of a file called `name`.
    ///
    /// # Errors
    ///
    /// Lists all faults of the file.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
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
        reader.finish(settings)
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
    let span = "a time such as 250ms";
    let call_timeout = section.optional("call-timeout", span, DEFAULT_CALL_TIMEOUT).0;
    Some((address?, call_timeout))
}
