//! Tasks that go on after a panic, and panics in the decision log.

use std::{
    any::Any,
    panic::{self, PanicHookInfo},
};

use base::prelude::*;
use tokio::{task::JoinHandle, time};

use crate::sink::EventLog;

/// Time between a panic of a task and its next start.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Starts the task that `start` makes, and again after a pause whenever it panics. `name` is its name in
/// the log. The handle waits until the task ends without a panic.
pub fn spawn_lasting<F>(
    name: &'static str,
    mut start: impl FnMut() -> F + Send + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        loop {
            // A task of its own, so that its panic ends only that one.
            let Err(error) = tokio::spawn(start()).await else { return };
            let Ok(payload) = error.try_into_panic() else { return };
            log::error!(
                "tasks: {name} panicked, starting it again in {} ms: {}",
                RESTART_PAUSE.as_millis(),
                payload_text(&*payload)
            );
            time::sleep(RESTART_PAUSE).await;
        }
    })
}

/// Records each panic of the process in `log`, before what was done with it until now.
pub(crate) fn record_panics(log: &EventLog) {
    let log = log.clone();
    let before = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log.record_panic(&panic_text(info));
        before(info);
    }));
}

fn panic_text(info: &PanicHookInfo<'_>) -> String {
    let place = info.location().map(|at| format!("{}:{}", at.file(), at.line()));
    let place = place.as_deref().unwrap_or("an unknown place");
    format!("panic at {place}: {}", payload_text(info.payload()))
}

fn payload_text(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| payload.downcast_ref::<&str>().copied()).unwrap_or("no message")
}
