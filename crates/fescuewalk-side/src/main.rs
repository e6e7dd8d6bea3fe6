//! Placeholder until the process is wired.

fn main() {}
