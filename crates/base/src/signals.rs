//! Signals that stop a process or make it reload its settings.

use std::{fs, io, path::PathBuf, thread};

use nix::sys::{
    signal::{SigSet, Signal as SignalNumber},
    signalfd::{SfdFlags, SignalFd},
};
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

fn stop_set() -> SigSet {
    [SignalNumber::SIGTERM, SignalNumber::SIGINT, SignalNumber::SIGQUIT].into_iter().collect()
}

/// Sets the signal mask of a program: holds back the stop signals and SIGHUP until the process handles
/// them, and signals without a use, because the default action of each would end the process. The first
/// step of `main`, because a signal may come at any time after the start.
///
/// # Errors
///
/// Fails if the mask of the thread cannot be changed.
pub fn mask_at_start() -> io::Result<()> {
    stop_set().thread_block()?;
    hold_unused()?;
    Ok(hang_up_set().thread_block()?)
}

/// Ends the hold of SIGHUP and the stop signals in this thread, for commands that a terminal may end.
///
/// # Errors
///
/// Fails if the mask of the thread cannot be changed.
pub fn release_signals() -> io::Result<()> {
    release_hang_up()?;
    release_stop()
}

fn release_hang_up() -> io::Result<()> {
    Ok(hang_up_set().thread_unblock()?)
}

/// Ends the hold of the stop signals in this thread. A process may also have inherited it: a service
/// manager that waits for its own signals blocks these.
///
/// # Errors
///
/// Fails if the mask of the thread cannot be changed.
pub fn release_stop() -> io::Result<()> {
    Ok(stop_set().thread_unblock()?)
}

/// Takes a stop signal that [`mask_at_start`] has held back; false if none has come.
fn take_held_stop() -> io::Result<bool> {
    let flags = SfdFlags::SFD_NONBLOCK | SfdFlags::SFD_CLOEXEC;
    let held = SignalFd::with_flags(&stop_set(), flags)?.read_signal()?;
    Ok(held.is_some())
}

/// Blocks the thread for `pause` while [`mask_at_start`] holds back stop signals, or returns true at
/// once if one has come. Without a free descriptor that cannot be known, and a stop signal ends the
/// process by its default action meanwhile.
///
/// # Errors
///
/// Fails if the mask of the thread cannot be changed.
pub fn stopped_before(pause: Duration) -> io::Result<bool> {
    match take_held_stop() {
        Ok(true) => Ok(true),
        Ok(false) => {
            thread::sleep(pause);
            Ok(false)
        }
        Err(_) => {
            release_stop()?;
            thread::sleep(pause);
            stop_set().thread_block()?;
            Ok(false)
        }
    }
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

/// Receives SIGTERM, SIGINT and SIGQUIT.
#[derive(Debug)]
pub struct StopSignals {
    /// Whether one came before the handlers were installed.
    was_held: bool,
    terminate: Signal,
    interrupt: Signal,
    quit: Signal,
}

impl StopSignals {
    /// Installs the handlers and ends the hold of these signals in the thread that calls it; one that
    /// was held back is received.
    ///
    /// # Errors
    ///
    /// Fails if the handlers cannot be installed.
    pub fn start() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        let quit = signal(SignalKind::quit())?;
        // Without a descriptor the handlers receive it, a moment later.
        let was_held = take_held_stop().unwrap_or(false);
        release_stop()?;
        Ok(Self { was_held, terminate, interrupt, quit })
    }

    /// Waits for a stop signal. Returns the last time at which the signal had not come yet: a process
    /// that did not get the processor for a while notices it late.
    pub async fn requested(&mut self) -> Instant {
        loop {
            let turn = Instant::now();
            if self.was_held {
                return turn;
            }
            tokio::select! {
                biased;
                _ = self.terminate.recv() => return turn,
                _ = self.interrupt.recv() => return turn,
                _ = self.quit.recv() => return turn,
                () = time::sleep(TURN_INTERVAL) => {}
            }
        }
    }

    /// Runs `start` until it is done; `None` if a stop signal comes first.
    pub async fn unless_requested<T>(&mut self, start: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            _ = self.requested() => None,
            started = start => Some(started),
        }
    }
}

/// Waits for a stop signal as [`StopSignals::requested`] does.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub async fn stop_requested() -> io::Result<Instant> {
    Ok(StopSignals::start()?.requested().await)
}

/// Waits for a stop signal as [`StopSignals::requested`] does. Until then passes the text of the
/// settings file, or the error of reading it, to `reload` whenever the file changes or SIGHUP arrives.
pub async fn reload_until_stopped(
    mut watch: SettingsWatch,
    mut stop: StopSignals,
    mut reload: impl FnMut(io::Result<String>),
) -> Instant {
    let stopped = stop.requested();
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            turn = &mut stopped => return turn,
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
