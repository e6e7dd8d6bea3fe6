//! Small emulators of the platform, model engines, weight store and plain services.
