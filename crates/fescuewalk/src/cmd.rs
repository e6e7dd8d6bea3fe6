//! One module per subcommand, each with its `command` (arguments and help) and `run`.

pub mod account;
pub mod apply;
pub mod burn;
pub mod check;
pub mod check_config;
pub mod diff;
pub mod entry;
pub mod explain;
pub mod gateway;
pub mod quarantine;
pub mod standin;
pub mod status;
pub mod r#try;
