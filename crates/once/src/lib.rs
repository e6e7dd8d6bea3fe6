//! At-most-once execution of requests that are not idempotent.
