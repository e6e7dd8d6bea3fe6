//! Progress of the planned stop of a side process.

use tokio::sync::watch;

/// Stages of a planned stop; a later stage never returns to an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// New requests and loads are accepted.
    Serving,
    /// New requests and loads are refused; requests in flight continue.
    Draining,
    /// Requests in flight have ended, or the drain limit has passed.
    Stopped,
}

/// Current drain stage, shared by the tasks of the process. Tasks can wait for a stage.
#[derive(Debug)]
pub struct DrainState {
    stage: watch::Sender<DrainStage>,
}

impl DrainState {
    /// Starts in [`DrainStage::Serving`].
    pub fn new() -> Self {
        Self { stage: watch::Sender::new(DrainStage::Serving) }
    }

    /// Returns the current stage.
    pub fn stage(&self) -> DrainStage {
        *self.stage.borrow()
    }

    /// Advances to `stage`; an earlier stage than the current one is ignored.
    pub fn advance(&self, stage: DrainStage) {
        self.stage.send_if_modified(|current| {
            let is_later = stage > *current;
            if is_later {
                *current = stage;
            }
            is_later
        });
    }

    /// Waits until the current stage is `stage` or a later one.
    pub async fn reached(&self, stage: DrainStage) {
        let mut changes = self.stage.subscribe();
        let _ = changes.wait_for(|current| *current >= stage).await;
    }
}

impl Default for DrainState {
    fn default() -> Self {
        Self::new()
    }
}
