//! Whether the backend server takes new work.

use tokio::sync::watch;

/// Stages of a planned stop; they only ever advance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// New work is taken.
    Serving,
    /// New work is refused; work in flight goes on.
    Draining,
    /// Work in flight has ended or its time is over.
    Stopped,
}

/// The stage, with tasks that wait for its changes.
#[derive(Debug)]
pub struct DrainSwitch {
    stage: watch::Sender<DrainStage>,
}

impl DrainSwitch {
    /// Starts in [`DrainStage::Serving`].
    pub fn new() -> Self {
        Self { stage: watch::Sender::new(DrainStage::Serving) }
    }

    /// The stage now.
    pub fn stage(&self) -> DrainStage {
        *self.stage.borrow()
    }

    /// Advances to `stage`; going back is ignored.
    pub fn advance(&self, stage: DrainStage) {
        self.stage.send_if_modified(|current| {
            let is_later = stage > *current;
            if is_later {
                *current = stage;
            }
            is_later
        });
    }

    /// Waits until the stage is at least `stage`.
    pub async fn reached(&self, stage: DrainStage) {
        let mut changes = self.stage.subscribe();
        let _ = changes.wait_for(|current| *current >= stage).await;
    }
}

impl Default for DrainSwitch {
    fn default() -> Self {
        Self::new()
    }
}
