//! Child processes that can be killed, frozen and terminated.

use std::{
    ffi::OsString,
    fs::File,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
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

/// Longest wait for a process to print its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A process could not be started or signalled.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// The program could not be started, or its log file could not be opened.
    #[snafu(display("{name} could not be started: {source}"))]
    Start {
        /// Name of the process.
        name: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The program printed no addresses before its end or the timeout, or not the requested one.
    #[snafu(display("{name} printed no usable address"))]
    NoAddress {
        /// Name of the process.
        name: String,
    },
    /// The process has ended, so that it cannot be signalled.
    #[snafu(display("{name} is not running"))]
    NotRunning {
        /// Name of the process.
        name: String,
    },
}

/// Result of a process operation.
pub type Result<T, E = ProcessError> = std::result::Result<T, E>;

/// Command line and log location of a process.
#[derive(Debug, Clone)]
pub struct ProcessSpec {
    /// Name in messages, and stem of the log file names.
    pub name: String,
    /// Path of the program.
    pub program: PathBuf,
    /// Command line arguments.
    pub arguments: Vec<OsString>,
    /// Directory of `NAME.log` (standard error) and `NAME.out` (standard output).
    pub directory: PathBuf,
}

impl ProcessSpec {
    /// Describes a process that runs `program` with `arguments` and logs into `directory`.
    pub fn new(name: &str, program: &Path, directory: &Path, arguments: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            program: program.to_owned(),
            arguments: arguments.iter().map(OsString::from).collect(),
            directory: directory.to_owned(),
        }
    }

    /// Starts the process and waits for the first line of its output, which lists its addresses.
    ///
    /// # Errors
    ///
    /// Fails if the program does not start, or prints no line within 10 seconds.
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

/// Appends the standard output of a process to the file at `path`.
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
    // One flush is enough: tests read the file only after the end of the process.
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
    /// Name in messages and of the log files.
    pub name: String,
    child: Child,
    addresses: Vec<NamedAddress>,
    is_frozen: bool,
}

impl ManagedProcess {
    /// The address that the process printed for `role`, such as `http` or `peers`.
    ///
    /// # Errors
    ///
    /// Fails if it printed none.
    pub fn address(&self, role: &str) -> Result<SocketAddr> {
        let found = self.addresses.iter().find(|address| address.role == role);
        found.map(|found| found.address).context(NoAddressSnafu { name: &self.name })
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        let sent = id.and_then(|id| kill(Pid::from_raw(id), signal).ok());
        sent.context(NotRunningSnafu { name: &self.name })
    }

    /// Suspends the process with SIGSTOP until it is resumed.
    ///
    /// # Errors
    ///
    /// Fails if the process does not run.
    pub fn freeze(&mut self) -> Result<()> {
        self.is_frozen = true;
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Fails if the process does not run.
    pub fn resume(&mut self) -> Result<()> {
        self.is_frozen = false;
        self.signal(Signal::SIGCONT)
    }

    /// Whether the process runs, as far as is known: an exit is noticed only when it is awaited.
    pub fn is_running(&self) -> bool {
        self.child.id().is_some()
    }

    /// Whether the process was suspended with [`Self::freeze`] and not resumed.
    pub fn is_frozen(&self) -> bool {
        self.is_frozen
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub async fn kill(&mut self) {
        let _ended = self.child.kill().await;
    }

    /// Kills the process with SIGKILL without waiting for its end.
    ///
    /// # Errors
    ///
    /// Fails if the process does not run.
    pub fn start_kill(&self) -> Result<()> {
        self.signal(Signal::SIGKILL)
    }

    /// Exit status of the process if it has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Requests a graceful shutdown with SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails if the process does not run.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Sends SIGHUP, on which the process reloads its settings.
    ///
    /// # Errors
    ///
    /// Fails if the process does not run.
    pub fn hang_up(&self) -> Result<()> {
        self.signal(Signal::SIGHUP)
    }

    /// Waits for the end of the process and returns whether its exit status was 0; `None` if it
    /// still runs after `limit`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<bool> {
        let ended = time::timeout(limit, self.child.wait()).await.ok()?;
        Some(ended.is_ok_and(|status| status.success()))
    }
}
