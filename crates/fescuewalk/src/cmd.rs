//! One module for each subcommand.

pub mod entry;
pub mod standin;
pub mod status;
pub mod r#try;
