//! Signals that stop a process or make it reload its settings.

use std::{fs, io, path::PathBuf};

use nix::sys::signal::{SigSet, Signal as SignalNumber};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{self, Duration, Instant},
};

/// Interval between two polls of the settings file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two turns in which a process that waits for a stop signal notes that it runs.
const TURN_INTERVAL: Duration = Duration::from_millis(100);

fn hang_up_set() -> SigSet {
    SigSet::from(SignalNumber::SIGHUP)
}

/// Sets the signal mask of a program: holds back signals without a use and SIGHUP, whose default actions
/// would end the process, and lets the stop signals through. The first step of `main`, because a signal
/// may come at any time after the start.
///
/// # Errors
///
/// Fails if the mask of the thread cannot be changed.
pub fn mask_at_start() -> io::Result<()> {
    hold_unused()?;
    hang_up_set().thread_block()?;
    let_stop_through()
}

/// Ends the hold of SIGHUP in this thread, for commands that a terminal may end.
///
/// # Errors
///
/// Fails if the mask of the thread cannot be changed.
pub fn release_hang_up() -> io::Result<()> {
    Ok(hang_up_set().thread_unblock()?)
}

/// Signals that a process has no use for, and whose default action would end it.
const UNUSED_SIGNALS: [SignalNumber; 9] = [
    SignalNumber::SIGUSR1,
    SignalNumber::SIGUSR2,
    SignalNumber::SIGALRM,
    SignalNumber::SIGVTALRM,
    SignalNumber::SIGPROF,
    SignalNumber::SIGIO,
    SignalNumber::SIGPWR,
    SignalNumber::SIGSTKFLT,
    SignalNumber::SIGXCPU,
];

/// Holds back signals without a use in this thread and all that it starts, and SIGXFSZ, whose default
/// action ends a process whose output has reached the size limit of files; without it, the write fails
/// and the lines are dropped.
fn hold_unused() -> io::Result<()> {
    let mut held: SigSet = UNUSED_SIGNALS.into_iter().collect();
    held.add(SignalNumber::SIGXFSZ);
    Ok(held.thread_block()?)
}

/// Lets the stop signals through. A process inherits the blocked signals of what starts it, and a
/// service manager that waits for its own signals blocks these.
fn let_stop_through() -> io::Result<()> {
    let stop = [SignalNumber::SIGTERM, SignalNumber::SIGINT, SignalNumber::SIGQUIT];
    Ok(stop.into_iter().collect::<SigSet>().thread_unblock()?)
}

/// Waits for SIGTERM, SIGINT or SIGQUIT. Returns the last time at which the signal had not come yet: a process
/// that did not get the processor for a while notices it late.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub async fn stop_requested() -> io::Result<Instant> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut quit = signal(SignalKind::quit())?;
    loop {
        let turn = Instant::now();
        tokio::select! {
            biased;
            _ = terminate.recv() => return Ok(turn),
            _ = interrupt.recv() => return Ok(turn),
            _ = quit.recv() => return Ok(turn),
            () = time::sleep(TURN_INTERVAL) => {}
        }
    }
}

/// Waits for a stop signal as [`stop_requested`] does. Until then passes the text of the settings
/// file, or the error of reading it, to `reload` whenever the file changes or SIGHUP arrives.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub async fn reload_until_stopped(
    mut watch: SettingsWatch,
    mut reload: impl FnMut(io::Result<String>),
) -> io::Result<Instant> {
    let stop = stop_requested();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            stopped = &mut stop => return stopped,
            text = watch.reread() => reload(text),
        }
    }
}

/// Watches the settings file of a process, and receives SIGHUP, which [`mask_at_start`] holds back until
/// then.
#[derive(Debug)]
pub struct SettingsWatch {
    path: PathBuf,
    text: String,
    hang_up: Signal,
}

impl SettingsWatch {
    /// Watches `path`, which contained `text` when it was last read. Ends the hold of SIGHUP in the
    /// thread that calls it.
    ///
    /// # Errors
    ///
    /// Fails if the handler of SIGHUP cannot be installed.
    pub fn start(path: impl Into<PathBuf>, text: impl Into<String>) -> io::Result<Self> {
        let hang_up = signal(SignalKind::hangup())?;
        release_hang_up()?;
        Ok(Self { path: path.into(), text: text.into(), hang_up })
    }

    /// Waits until the text of the file has changed or SIGHUP arrives, and returns the text.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read after SIGHUP. A failed poll is retried at the next
    /// interval.
    pub async fn reread(&mut self) -> io::Result<String> {
        loop {
            let is_signalled = tokio::select! {
                _ = self.hang_up.recv() => true,
                () = time::sleep(POLL_INTERVAL) => false,
            };
            match fs::read_to_string(&self.path) {
                Ok(text) if is_signalled || text != self.text => {
                    self.text.clone_from(&text);
                    return Ok(text);
                }
                Err(error) if is_signalled => return Err(error),
                Ok(_) => {}
                Err(error) => log::debug!(
                    "settings: cannot read the file, retrying in {POLL_INTERVAL:?}: {error}"
                ),
            }
        }
    }
}
