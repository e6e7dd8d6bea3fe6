//! An agent that ends like a process.

use std::thread;

use agent::{Agent, AgentSettings};
use tokio::{runtime::Builder, sync::oneshot};

use super::discarding_log;

/// An agent on a runtime of its own, which is dropped when the agent ends, so that nothing of the
/// agent stays. If this is dropped, the agent ends too.
pub struct AgentProcess {
    end: oneshot::Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl AgentProcess {
    /// Starts the agent and waits until it has its sockets.
    pub async fn start(settings: AgentSettings) -> Self {
        let (started, start) = oneshot::channel();
        let (end, ended) = oneshot::channel();
        let thread = thread::spawn(move || run_agent(settings, started, ended));
        start.await.expect("the agent starts");
        Self { end, thread }
    }

    /// Ends the agent at once, as a killed process.
    pub async fn kill(self) {
        self.end.send(()).expect("the agent runs");
        let ended = tokio::task::spawn_blocking(|| self.thread.join()).await;
        ended.expect("the wait does not panic").expect("the agent does not panic");
    }
}

fn run_agent(settings: AgentSettings, started: oneshot::Sender<()>, ended: oneshot::Receiver<()>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let _agent = Agent::start(settings, discarding_log("side")).await;
        started.send(()).expect("the fleet waits for the agent");
        // An error means that the handle was dropped, which ends the agent too.
        let _ = ended.await;
    });
}
