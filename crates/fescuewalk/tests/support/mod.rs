//! Helpers that start processes on loopback, with a work directory for their settings.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod entry_memory;
pub mod fleet;
pub mod large_answers;
pub mod memory;
pub mod memory_held;
pub mod platform;

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

/// A directory for the files of one test, removed on drop.
pub struct WorkDir {
    path: PathBuf,
}

impl WorkDir {
    pub fn new(name: &str) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{name}-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Self { path }
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path.join(name);
        fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for WorkDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// A running process; killed when dropped.
pub struct Process {
    child: Child,
    /// First line of standard output: `listening` and pairs of a name and an address.
    pub line: String,
}

impl Process {
    /// Starts a program and waits for its first line, which names its addresses.
    pub fn start(mut command: Command) -> Self {
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        Self { child, line: line.trim().to_owned() }
    }

    /// The address that follows `word` (`http` or `peers`) in the first line.
    pub fn address(&self, word: &str) -> SocketAddr {
        let mut words = self.line.split(' ');
        words.find(|candidate| *candidate == word).unwrap();
        words.next().unwrap().parse().unwrap()
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `STOP`, `CONT` or `KILL`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        Command::new("kill").args([&format!("-{name}"), &id]).status().unwrap();
    }

    /// Sends SIGTERM and waits for the process to end; returns whether it succeeded.
    pub fn stop(mut self) -> bool {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status().unwrap();
        self.child.wait().unwrap().success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn fescuewalk() -> Command {
    Command::new(env!("CARGO_BIN_EXE_fescuewalk"))
}

/// The `fescuewalk-side` program, which a build of the workspace puts into the same directory.
pub fn fescuewalk_side() -> Command {
    Command::new(Path::new(env!("CARGO_BIN_EXE_fescuewalk")).with_file_name("fescuewalk-side"))
}

/// Runs `fescuewalk` and waits for it to end.
pub fn run(args: &[&str]) -> Output {
    fescuewalk().args(args).output().unwrap()
}
