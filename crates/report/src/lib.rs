//! Reports for operators: the history of list edits, the burn rate of error budgets, and the trace
//! of a single request.

pub mod account;
pub mod burn;
pub mod explain;
pub mod html;
pub mod outcome;
pub mod plot;
pub mod scrape;
pub mod settings;

pub use crate::{
    account::{AccountReport, gather_account},
    burn::{BurnReport, burn_report},
    outcome::{CustomerClass, OutcomeCounts},
    scrape::{ScrapeError, ScrapeLog, ScrapeRecord},
    settings::BurnSettings,
};
