//! Processes that can be killed, frozen and stopped as planned.

use std::{
    ffi::OsString,
    fs::File,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{
    fs::OpenOptions,
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines},
    process::{Child, ChildStdout, Command},
    time,
};

/// Longest wait for a process to tell its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A process could not be started or signalled.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// The program could not be started.
    #[snafu(display("{name} could not be started: {source}"))]
    Start {
        /// Name of the process.
        name: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The program ended or was silent instead of telling its addresses.
    #[snafu(display("{name} told no addresses"))]
    NoAddress {
        /// Name of the process.
        name: String,
    },
    /// The process does not run.
    #[snafu(display("{name} does not run"))]
    NotRunning {
        /// Name of the process.
        name: String,
    },
}

/// Result of a process operation.
pub type Result<T, E = ProcessError> = std::result::Result<T, E>;

/// How to start a process.
#[derive(Debug, Clone)]
pub struct ProcessSpec {
    /// Name in messages and of the log file.
    pub name: String,
    /// Program.
    pub program: PathBuf,
    /// Arguments.
    pub arguments: Vec<OsString>,
    /// Directory of the log file.
    pub directory: PathBuf,
}

impl ProcessSpec {
    /// A plan to run `program` with `arguments`.
    pub fn new(name: &str, program: &Path, directory: &Path, arguments: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            program: program.to_owned(),
            arguments: arguments.iter().map(OsString::from).collect(),
            directory: directory.to_owned(),
        }
    }

    /// Starts the process and waits until it tells its addresses.
    ///
    /// # Errors
    ///
    /// Fails if the program ends early or stays silent.
    pub async fn start(&self) -> Result<ManagedProcess> {
        let name = &self.name;
        let log = self.directory.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log);
        let log = log.context(StartSnafu { name })?;
        let mut child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .context(StartSnafu { name })?;
        let stdout = child.stdout.take().context(NoAddressSnafu { name })?;
        let mut lines = BufReader::new(stdout).lines();
        let line = time::timeout(START_TIMEOUT, lines.next_line()).await;
        let line = line.ok().and_then(Result::ok).flatten().context(NoAddressSnafu { name })?;
        let output = self.directory.join(format!("{name}.out"));
        tokio::spawn(copy_stdout(line.clone(), lines, output));
        let addresses = read_addresses(&line);
        Ok(ManagedProcess { name: name.clone(), child, addresses, is_frozen: false })
    }
}

/// Keeps what a process writes to its standard output beside its log.
async fn copy_stdout(first: String, mut lines: Lines<BufReader<ChildStdout>>, path: PathBuf) {
    let Ok(mut file) = OpenOptions::new().create(true).append(true).open(path).await else {
        return;
    };
    let mut next = Some(first);
    while let Some(line) = next {
        if file.write_all(format!("{line}\n").as_bytes()).await.is_err() {
            return;
        }
        next = lines.next_line().await.ok().flatten();
    }
    // The test that reads the file waits for the end of the process.
    let _ = file.flush().await;
}

fn read_addresses(line: &str) -> Vec<NamedAddress> {
    let words = line.split_whitespace().collect::<Vec<_>>();
    let pairs = words.windows(2).filter_map(|pair| {
        let address = pair[1].parse().ok()?;
        Some(NamedAddress { role: pair[0].to_owned(), address })
    });
    pairs.collect()
}

#[derive(Debug, Clone)]
struct NamedAddress {
    role: String,
    address: SocketAddr,
}

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct ManagedProcess {
    /// Name in messages.
    pub name: String,
    child: Child,
    addresses: Vec<NamedAddress>,
    is_frozen: bool,
}

impl ManagedProcess {
    /// The address that the process told for `role`.
    ///
    /// # Errors
    ///
    /// Fails if it told none.
    pub fn address(&self, role: &str) -> Result<SocketAddr> {
        let found = self.addresses.iter().find(|address| address.role == role);
        found.map(|found| found.address).context(NoAddressSnafu { name: &self.name })
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        let sent = id.and_then(|id| kill(Pid::from_raw(id), signal).ok());
        sent.context(NotRunningSnafu { name: &self.name })
    }

    /// Stops the process without notice; it can be woken again.
    ///
    /// # Errors
    ///
    /// Fails if the process does not run.
    pub fn freeze(&mut self) -> Result<()> {
        self.is_frozen = true;
        self.signal(Signal::SIGSTOP)
    }

    /// Wakes the process.
    ///
    /// # Errors
    ///
    /// Fails if the process does not run.
    pub fn resume(&mut self) -> Result<()> {
        self.is_frozen = false;
        self.signal(Signal::SIGCONT)
    }

    /// Whether the process has been started and not waited for since.
    pub fn is_running(&self) -> bool {
        self.child.id().is_some()
    }

    /// Whether the process is frozen.
    pub fn is_frozen(&self) -> bool {
        self.is_frozen
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        let _ended = self.child.kill().await;
    }

    /// Asks the process to stop.
    ///
    /// # Errors
    ///
    /// Fails if the process does not run.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Tells the process that its settings changed.
    ///
    /// # Errors
    ///
    /// Fails if the process does not run.
    pub fn hang_up(&self) -> Result<()> {
        self.signal(Signal::SIGHUP)
    }

    /// Waits for the end of the process; `None` after `limit`, else whether it succeeded.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<bool> {
        let ended = time::timeout(limit, self.child.wait()).await.ok()?;
        Some(ended.is_ok_and(|status| status.success()))
    }
}
