//! Waiting of a start for what the VM does not have yet.

use std::time::Duration;

use base::startup::take_when_free;
use tokio::time::Instant;

/// Time after which an address is free that another program has had for long.
const LONG_TAKEN: Duration = Duration::from_secs(3_600);

/// Guards against a process that ends because it waits for an address for a limited time.
#[tokio::test(start_paused = true)]
async fn address_that_is_freed_after_an_hour_is_taken() {
    let began = Instant::now();
    let take = async || match began.elapsed() {
        elapsed if elapsed < LONG_TAKEN => Err("the address is in use"),
        _ => Ok("taken"),
    };

    assert_eq!(take_when_free(take).await, "taken");
    assert!(began.elapsed() < LONG_TAKEN + Duration::from_secs(1));
}
