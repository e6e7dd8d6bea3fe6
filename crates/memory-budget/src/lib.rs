//! A bounded resource of a process, such as the memory for bodies or the open connections, and
//! who holds how much of it; and who has not read for too long.
//!
//! [`BudgetAccount`] decides; [`SharedBudget`] lets tasks hold parts and notifies them when theirs end.

mod account;
mod address_counts;
mod server_bytes;
mod shared;
mod unread;

pub use crate::{
    account::{BudgetAccount, BudgetLimits, Growth, HolderId},
    address_counts::AddressCounts,
    server_bytes::{SMALL_BODY, ServerBytes},
    shared::{BudgetFull, Holding, SharedBudget},
    unread::{UnreadId, UnreadLimits, UnreadTable},
};
