//! Signals that ask a process to stop or to read its settings again.

use std::{fs, io, path::PathBuf};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{self, Duration},
};

/// Time between two looks at the settings file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if signals cannot be received.
pub async fn stop_requested() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Waits for SIGTERM or SIGINT, and hands what the settings file holds to `reload` meanwhile.
///
/// # Errors
///
/// Fails if signals cannot be received.
pub async fn reload_until_stopped(
    mut watch: SettingsWatch,
    mut reload: impl FnMut(io::Result<String>),
) -> io::Result<()> {
    let stop = stop_requested();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            stopped = &mut stop => return stopped,
            text = watch.reread() => reload(text),
        }
    }
}

/// Watches the settings file of a process. SIGHUP no longer ends the process once this exists.
#[derive(Debug)]
pub struct SettingsWatch {
    path: PathBuf,
    text: String,
    hang_up: Signal,
}

impl SettingsWatch {
    /// Watches `path`, which held `text` when it was last read.
    ///
    /// # Errors
    ///
    /// Fails if signals cannot be received.
    pub fn start(path: impl Into<PathBuf>, text: impl Into<String>) -> io::Result<Self> {
        let hang_up = signal(SignalKind::hangup())?;
        Ok(Self { path: path.into(), text: text.into(), hang_up })
    }

    /// Waits until the file holds another text, or a signal asks to read it again.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read after a signal; without one it is tried again later.
    pub async fn reread(&mut self) -> io::Result<String> {
        loop {
            let is_asked = tokio::select! {
                _ = self.hang_up.recv() => true,
                () = time::sleep(LOOK) => false,
            };
            match fs::read_to_string(&self.path) {
                Ok(text) if is_asked || text != self.text => {
                    self.text.clone_from(&text);
                    return Ok(text);
                }
                Err(error) if is_asked => return Err(error),
                Ok(_) => {}
                Err(error) => log::debug!("settings: the file cannot be read: {error}"),
            }
        }
    }
}
