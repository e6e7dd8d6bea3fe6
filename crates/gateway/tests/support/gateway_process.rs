//! A gateway that ends as a process does.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
};

use base::prelude::*;
use events::{EventLog, LogLimits};
use gateway::{GatewayHandle, GatewaySettings};
use tokio::{
    runtime::Builder,
    sync::{mpsc, oneshot},
    time,
};

/// Tasks that use up the time of a gateway in its stop, as on a VM whose core others use.
#[derive(Debug, Clone, Copy, Default)]
pub struct StopLoad {
    /// When they begin, counted from the stop.
    pub from: Duration,
    /// Number of tasks.
    pub tasks: u32,
    /// Time that each one takes in a turn of the runtime.
    pub slice: Duration,
}

impl StopLoad {
    async fn run(self) {
        time::sleep(self.from).await;
        for _ in 0..self.tasks {
            tokio::spawn(async move {
                loop {
                    thread::sleep(self.slice);
                    tokio::task::yield_now().await;
                }
            });
        }
    }
}

/// How a gateway ends.
enum GatewayEnd {
    Planned(StopLoad),
    AtOnce,
}

/// A gateway on a runtime of its own, which is dropped when the gateway ends. What the gateway
/// leaves undone then stays so, as at the end of a process. If this is dropped, it ends at once.
pub struct GatewayProcess {
    pub callers: SocketAddr,
    stop: oneshot::Sender<GatewayEnd>,
    stalls: mpsc::UnboundedSender<Duration>,
    thread: thread::JoinHandle<()>,
    log: Arc<Mutex<Vec<u8>>>,
}

impl GatewayProcess {
    pub(super) fn start(settings: GatewaySettings, callers: SocketAddr) -> Self {
        let (stop, stopped) = oneshot::channel();
        let (stalls, stalled) = mpsc::unbounded_channel();
        let log = SharedLog::default();
        let lines = Arc::clone(&log.0);
        let thread = thread::spawn(move || run_gateway(settings, log, stopped, stalled));
        Self { callers, stop, stalls, thread, log: lines }
    }

    /// Makes the gateway stand still once, as a process that gets no time.
    pub fn stand_still(&self, duration: Duration) {
        self.stalls.send(duration).expect("the gateway runs");
    }

    /// Stops the gateway as planned; returns the lines of its decision log once it has ended.
    pub async fn stop(self) -> Vec<serde_json::Value> {
        self.stop_with(StopLoad::default()).await
    }

    /// The same for a gateway that gets little of its core in the stop.
    pub async fn stop_with(self, load: StopLoad) -> Vec<serde_json::Value> {
        self.end(GatewayEnd::Planned(load)).await
    }

    /// Ends the gateway at once, as a killed process, without a planned stop.
    pub async fn kill(self) {
        self.end(GatewayEnd::AtOnce).await;
    }

    async fn end(self, end: GatewayEnd) -> Vec<serde_json::Value> {
        self.stop.send(end).ok().expect("the gateway runs");
        let ended = tokio::task::spawn_blocking(|| self.thread.join()).await;
        ended.expect("the wait does not panic").expect("the gateway does not panic");
        let log = self.log.lock().expect("the writer does not panic");
        let lines = log.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        lines.map(|line| serde_json::from_slice(line).expect("a line of JSON")).collect()
    }
}

fn run_gateway(
    settings: GatewaySettings,
    output: SharedLog,
    stopped: oneshot::Receiver<GatewayEnd>,
    mut stalled: mpsc::UnboundedReceiver<Duration>,
) {
    let vm = "entry".parse().expect("a valid name");
    let (log, writer) = EventLog::start(&vm, LogLimits::default(), output);
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let handle = GatewayHandle::start(settings, log.clone()).await;
        // Blocks the only thread of the runtime.
        tokio::spawn(async move { stalled.recv().await.map(thread::sleep) });
        if let Ok(GatewayEnd::Planned(load)) = stopped.await {
            tokio::spawn(load.run());
            handle.stop().await;
        }
    });
    drop(runtime);
    log.close();
    writer.join().expect("the writer does not panic");
}

/// Lines of a decision log in memory.
#[derive(Default)]
struct SharedLog(Arc<Mutex<Vec<u8>>>);

impl io::Write for SharedLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no reader panics").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
