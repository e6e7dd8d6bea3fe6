//! Small emulators of the platform, model engines, weight store and plain services.

pub mod platform;
pub mod server;
