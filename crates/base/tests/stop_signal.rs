//! Stop signals of a process that does not get the processor.

use std::{thread, time::Duration};

use base::signals::stop_requested;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::time::{self, Instant};

#[tokio::test]
async fn stop_that_is_noticed_late_began_before_its_signal() {
    let waiting = tokio::spawn(stop_requested());
    time::sleep(Duration::from_millis(350)).await;
    let stalled = Instant::now();

    let sender = thread::spawn(|| {
        thread::sleep(Duration::from_millis(100));
        kill(Pid::this(), Signal::SIGTERM).expect("the process can signal itself");
    });
    // The runtime has one thread, so that nothing runs on it meanwhile.
    thread::sleep(Duration::from_millis(900));
    let began = waiting.await.expect("no panic").expect("signals can be received");

    sender.join().expect("no panic");
    let signalled = stalled + Duration::from_millis(100);
    assert!(began <= signalled, "{:?} after the signal", began - signalled);
    assert!(began + Duration::from_millis(350) > signalled, "{:?} before", signalled - began);
}
